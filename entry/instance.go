package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// An Instance is the control state of one entry instance.
//
// Its methods handle events, and Take returns the actions that follow from them.
// An Instance is not safe for concurrent use.
type Instance struct {
	cfg         Config
	members     *peer.Members
	keys        *caller.KeyIssuer
	submissions *caller.SubmissionTable[waiter]

	// tables is the configuration in force, or nil before the first one.
	// offset is the log offset up to which it is current, and snapshot its
	// encoding for peers with an older configuration.
	tables   *operator.Tables
	offset   uint64
	snapshot []byte
	// offered holds when a snapshot was last sent to each peer with an older
	// configuration. The first snapshot to a peer may be withheld instead; its
	// time is kept likewise.
	offered map[netip.AddrPort]time.Time

	// relays holds, by request number, the submissions that were passed on to
	// the owners of their keys and are not answered yet. lastRequest is the
	// highest request number used.
	relays      map[uint64]*relay
	lastRequest uint64
	// jobs holds the jobs that this instance owns and that have not ended.
	jobs map[caller.Key]*job
	// queues holds the owned jobs that have unassigned tasks, by route.
	queues map[string]*queue
	// routeOrder holds the keys of queues, the most urgent route first.
	routeOrder []string
	// held holds the jobs of which tasks are or were assigned to this instance
	// as their holder, until their owners settle them.
	held map[caller.Key]*heldJob
	// pools holds the pools of the tables, by name. A pool stays when the
	// tables no longer contain it.
	pools map[string]*pool
	// serversVersion is the value of members.Version when the held backend
	// servers were last determined.
	serversVersion uint64

	// outboxes holds the content of the next envelope to each peer.
	outboxes map[netip.AddrPort]*outbox
	// effects collects the actions for the next Take.
	effects Effects
	// leaving is set once Leave was called.
	leaving bool
	// lastIssued is when a caller last got a key from IssueKey.
	lastIssued time.Time
	// list is the platform's list as last set.
	list   peer.InstanceList
	counts Counts
	// changes holds the states against which the next state changes are
	// detected.
	changes changes
}

// A waiter is the recipient of an answer to an owned submission: a caller of this
// instance, or the entry instance that relayed the submission.
type waiter struct {
	// caller is zero if the submission was relayed.
	caller CallerID
	// peer is the relaying instance, and request the number under which it
	// waits for the answer.
	peer    netip.AddrPort
	request uint64
}

// New returns an Instance without configuration or peers. It returns an error if
// cfg is invalid.
func New(cfg Config) (*Instance, error) {
	cfg.setDefaults()
	keys, err := caller.NewKeyIssuer(caller.KeyIssuerConfig{
		Owner:       cfg.Self,
		Incarnation: cfg.Incarnation,
		Secret:      cfg.Secret,
		Start:       cfg.Start,
	})
	if err != nil {
		return nil, err
	}
	submissions, err := caller.NewSubmissionTable[waiter](cfg.Submissions)
	if err != nil {
		return nil, err
	}
	return &Instance{
		cfg:         cfg,
		keys:        keys,
		submissions: submissions,
		members: peer.NewMembers(peer.MembersConfig{
			Self:        cfg.Self,
			Zone:        cfg.Zone,
			Incarnation: cfg.Incarnation,
		}),
		offered:  make(map[netip.AddrPort]time.Time),
		relays:   make(map[uint64]*relay),
		jobs:     make(map[caller.Key]*job),
		queues:   make(map[string]*queue),
		held:     make(map[caller.Key]*heldJob),
		pools:    make(map[string]*pool),
		outboxes: make(map[netip.AddrPort]*outbox),
	}, nil
}

// SetList sets the platform's list of instances as read at now.
func (i *Instance) SetList(now time.Time, list peer.InstanceList) {
	i.list = list
	i.members.SetList(now, list)
	i.markLeaving(now)
}

// SetTables puts into force the configuration that results from the log up to
// offset. The snapshot is its encoding for peers with an older configuration. A
// call with a lower offset than that of an earlier call is ignored.
func (i *Instance) SetTables(now time.Time, tables *operator.Tables, offset uint64, snapshot []byte) {
	if offset < i.offset {
		return
	}
	i.offset, i.snapshot = offset, snapshot
	if tables == i.tables {
		return
	}
	i.tables = tables
	i.configure(now)
}

// Leave begins a graceful shutdown: the instance issues no new keys, releases the
// backend servers that it holds and completes the work that it has accepted.
func (i *Instance) Leave(now time.Time) {
	i.leaving = true
	i.members.SetLeaving()
	for _, addr := range i.members.Addresses() {
		i.announceLeaving(addr)
	}
	i.updateServers(now)
}

// Leaving reports whether a graceful shutdown has begun.
func (i *Instance) Leaving() bool { return i.leaving }

// Drained reports whether a shutdown at now would interrupt nothing: there is no
// open job, no held task, no key that may yet be used, no answer or result that a
// peer has not acknowledged, and no peer that may still send tasks because it has
// not acknowledged the shutdown.
func (i *Instance) Drained(now time.Time) bool {
	if !i.lastIssued.IsZero() && now.Sub(i.lastIssued) < i.cfg.UseWithin {
		return false
	}
	return len(i.jobs) == 0 && len(i.relays) == 0 && !i.hasHeldTasks() && !i.awaitsAcknowledgement(now)
}

// Ready reports whether the instance accepts jobs from callers.
func (i *Instance) Ready() bool { return i.tables != nil && !i.leaving }

// Tick applies all timeouts that are due at now. It must be called every few
// milliseconds.
func (i *Instance) Tick(now time.Time) {
	for _, addr := range i.members.Tick(now) {
		i.peerGone(now, addr)
	}
	i.submissions.Expire(now)
	i.expireRelays(now)
	i.expireJobs(now)
	i.expireHeld(now)
	i.returnUnstartable(now)
	i.reportChanges(now)
}

// Take assigns and starts all tasks that can be assigned or started at now, and
// returns the actions decided on since the last call.
func (i *Instance) Take(now time.Time) Effects {
	i.updateServers(now)
	i.dispatch(now)
	i.startTasks(now)
	i.flush(now)
	effects := i.effects
	i.effects = Effects{}
	return effects
}
