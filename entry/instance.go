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
// Its methods take what happened, and Take returns what is to be done about
// it. An Instance is not safe for concurrent use: the control goroutine owns
// it.
type Instance struct {
	cfg     Config
	members *peer.Members
	keys    *caller.KeyIssuer
	book    *caller.SubmissionTable[waiter]

	// tables is the configuration in force, or nil, at an offset of the log,
	// and snapshot its form for peers that are behind.
	tables   *operator.Tables
	offset   uint64
	snapshot []byte
	// offered is when a snapshot was last sent to a peer that is behind.
	offered map[netip.AddrPort]time.Time

	// relays holds the submissions that wait for their keys' owners, by
	// their request numbers, and requests is the last of those.
	relays   map[uint64]*relay
	requests uint64
	// jobs holds the jobs that this instance owns and that have not ended.
	jobs map[caller.Key]*job
	// queues holds the owned jobs with tasks to be given out, by route.
	queues map[string]*queue
	// order holds the names of queues, the most urgent first.
	order []string
	// held holds what this instance knows as a holder, by job.
	held map[caller.Key]*heldJob
	// pools holds the pools of the tables.
	pools map[string]*pool
	// assigned is the version of members that the pools were assigned by.
	assigned uint64

	outboxes map[netip.AddrPort]*outbox
	effects  Effects
	leaving  bool
	// issued is when the last key was issued.
	issued time.Time
	// listed is the platform's list as last seen.
	listed peer.InstanceList
	counts Counts
	// changes holds the states that operators were last told of.
	changes changes
}

// A waiter is whom an answer of this instance's book goes to: a caller here,
// or an entry instance that a caller reached.
type waiter struct {
	caller CallerID
	peer   netip.AddrPort
	// request is the peer's number for the submission.
	request uint64
}

// New returns an Instance without configuration or peers. It returns an error
// if cfg is out of range.
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
	book, err := caller.NewSubmissionTable[waiter](cfg.Submissions)
	if err != nil {
		return nil, err
	}
	return &Instance{
		cfg:  cfg,
		keys: keys,
		book: book,
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

// SetList takes the platform's list as seen at now.
func (i *Instance) SetList(now time.Time, list peer.InstanceList) {
	i.listed = list
	i.members.SetList(now, list)
	i.markLeaving(now)
}

// SetTables puts the configuration at an offset of the log in force. The
// snapshot is its form for peers that are behind. A call with a lower offset
// than before is ignored.
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

// Leave begins a graceful shutdown: the instance accepts no new key, gives up
// the backend servers that it holds and ends what it has begun.
func (i *Instance) Leave(now time.Time) {
	i.leaving = true
	i.members.SetLeaving()
	for _, addr := range i.members.Addresses() {
		i.tellLeaving(addr)
	}
	i.assign(now)
}

// Leaving reports whether a graceful shutdown has begun.
func (i *Instance) Leaving() bool { return i.leaving }

// Drained reports whether nothing is left at now that a shutdown would
// interrupt: no job, no task, no key that may yet be used, no answer that a peer
// has not acknowledged, and no peer that may still send tasks since it does not
// know of the shutdown.
func (i *Instance) Drained(now time.Time) bool {
	if !i.issued.IsZero() && now.Sub(i.issued) < i.cfg.UseWithin {
		return false
	}
	return len(i.jobs) == 0 && len(i.relays) == 0 && !i.holdsTasks() && !i.owes(now)
}

// Ready reports whether the instance can take jobs from callers.
func (i *Instance) Ready() bool { return i.tables != nil && !i.leaving }

// Tick applies the passing of time. It is to be called every few milliseconds.
func (i *Instance) Tick(now time.Time) {
	for _, addr := range i.members.Tick(now) {
		i.peerGone(now, addr)
	}
	i.book.Expire(now)
	i.expireRelays(now)
	i.expireJobs(now)
	i.expireHeld(now)
	i.returnStranded(now)
	i.noteChanges(now)
}

// Take decides on all that can be started or given out at now, and returns what
// is to be done since the last call.
func (i *Instance) Take(now time.Time) Effects {
	i.assign(now)
	i.dispatch(now)
	i.startHeld(now)
	i.flush(now)
	effects := i.effects
	i.effects = Effects{}
	return effects
}
