package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// Config configures an Instance.
type Config struct {
	// Self is the instance's address for its peers.
	Self netip.AddrPort
	// Zone is its availability zone, and Zones are all of them.
	Zone  string
	Zones []string
	// Weight is what the machine can do, in thousandths of a core.
	Weight int
	// Incarnation tells this process from its predecessors.
	Incarnation uint64
	// Wall is the time of day at the start.
	Wall time.Time
}

// An Instance is the control state of one entry instance.
//
// It is not safe for concurrent use: the control goroutine owns it.
type Instance struct {
	cfg        Config
	leadership *peer.Leadership
	receiver   *receiver
	dispatcher *dispatcher
	table      *table
	effects    Effects
	outbox     map[netip.AddrPort]*peer.Envelope
	// tables is the configuration as the operators wrote it, and version
	// its version.
	tables  []byte
	version uint64
	peers   map[netip.AddrPort]*peerState
	last    time.Time
	probed  time.Time
	leaving bool
	// fleet is the number of workers that an earlier leader knew.
	fleet int
}

// peerState is how far a peer has what this instance could send it.
type peerState struct {
	version uint64
	// behindSince is when the peer was first seen with an older
	// configuration, or zero.
	behindSince time.Time
	incarnation uint64
	// table is the newest revision of the peer's worker table.
	table uint64
	// given is how far this instance has the peer's worker table.
	given uint64
	// revision is how far the peer has this instance's worker table.
	revision uint64
}

// NewInstance returns the control state of a process that begins at now.
func NewInstance(now time.Time, cfg Config) *Instance {
	i := &Instance{
		cfg: cfg,
		leadership: peer.NewLeadership(now, peer.LeadershipConfig{
			Self: cfg.Self, Zone: cfg.Zone, Zones: cfg.Zones, Weight: cfg.Weight, Wall: cfg.Wall,
		}),
		dispatcher: newDispatcher(cfg.Self),
		table:      newTable(),
		outbox:     make(map[netip.AddrPort]*peer.Envelope),
		peers:      make(map[netip.AddrPort]*peerState),
		last:       now,
	}
	i.receiver = newReceiver(i)
	i.dispatcher.effects = &i.effects
	i.dispatcher.settle = i.settle
	i.dispatcher.fenced = i.fenced
	i.dispatcher.zoneOf = i.leadership.Zone
	i.dispatcher.forgot = func(id string) { i.table.remove(id) }
	return i
}

// advance is called with the time of each event. It gives up what this process
// believed before it stood still.
func (i *Instance) advance(now time.Time) {
	if gap := now.Sub(i.last); gap > wokeAfter {
		i.effects.decide("woke", i.cfg.Zone, "after", gap)
		i.leadership.Resumed(now)
		i.followTerms(now)
	}
	i.last = now
}

// Submit takes a job from a caller. The answer comes in an Effects.
func (i *Instance) Submit(now time.Time, caller CallerID, job Job) {
	i.advance(now)
	i.receiver.submit(now, caller, job)
}

// Abandon notes that a caller has left.
func (i *Instance) Abandon(now time.Time, caller CallerID) {
	i.advance(now)
	i.receiver.abandon(now, caller)
}

// Cancel ends a job at its caller's wish. It reports whether the job was known.
func (i *Instance) Cancel(now time.Time, id string) bool {
	i.advance(now)
	return i.receiver.cancel(now, id)
}

// HasOpenJob reports whether the job is being worked on.
func (i *Instance) HasOpenJob(id string) bool {
	_, open := i.receiver.open[id]
	return open
}

// OpenJobs returns the number of jobs whose callers wait.
func (i *Instance) OpenJobs() int { return len(i.receiver.open) }

// AddMember makes another instance known, and makes this one known to it.
func (i *Instance) AddMember(now time.Time, addr netip.AddrPort, zone string) {
	i.advance(now)
	i.leadership.AddMember(now, addr, zone)
}

// SetExpectedWorkers takes the number of workers that an earlier leader knew. It counts while
// this instance knows none.
func (i *Instance) SetExpectedWorkers(now time.Time, workers int) {
	i.advance(now)
	i.fleet = workers
	i.informLeadership()
}

// informLeadership tells the leadership what it goes by of the workers: whether there
// are too many for one leader, and how new the worker table is.
func (i *Instance) informLeadership() {
	workers := len(i.dispatcher.order)
	if workers == 0 {
		workers = i.fleet
	}
	i.leadership.SetLeaderPerZone(workers > maxWorkersTogether)
	i.leadership.SetTableRevision(i.table.revision)
}

// SetTables takes the configuration as the operators wrote it.
func (i *Instance) SetTables(now time.Time, version uint64, tables []byte) {
	i.advance(now)
	if version > i.version {
		i.version, i.tables = version, tables
		i.effects.decide("configuration", "tables", "version", version)
	}
}

// SetWorkers takes the whole worker table, as read by this instance.
func (i *Instance) SetWorkers(now time.Time, workers []Worker) {
	i.advance(now)
	listed := make(map[string]bool, len(workers))
	for _, w := range workers {
		listed[w.ID] = true
		i.SetWorker(now, w)
	}
	for _, id := range i.table.ids() {
		if !listed[id] {
			i.RemoveWorker(now, id)
		}
	}
}

// SetWorker takes an entry of the worker table.
func (i *Instance) SetWorker(now time.Time, w Worker) {
	i.advance(now)
	if i.table.set(w) {
		i.effects.decide("worker", w.ID, "zone", w.Zone, "address", w.Address, "leaving", w.Leaving, "millicores", w.Capacity.Millicores)
	}
	i.dispatcher.setWorker(now, w)
}

// RemoveWorker notes that a worker is no longer listed.
func (i *Instance) RemoveWorker(now time.Time, id string) {
	i.advance(now)
	w := i.dispatcher.workers[id]
	if w != nil && w.missing.IsZero() {
		i.effects.decide("worker-unlisted", id, "zone", w.Zone, "runs", len(w.runs))
	}
	i.dispatcher.missWorker(now, id)
	if w != nil {
		if _, leads := i.leadership.Leads(w.Zone); leads {
			// Its entry lasts until nothing can run there any more.
			return
		}
	}
	if i.table.remove(id) {
		// Another leader may still have it: it is to say so again.
		for _, p := range i.peers {
			p.given = 0
		}
	}
}

// Leading reports whether this instance leads an availability zone, and so has
// to follow the worker table.
func (i *Instance) Leading() bool { return i.leadership.Leading() }

// HasLeader reports whether a leader of this instance's zone is known and was heard
// lately.
func (i *Instance) HasLeader(now time.Time) bool {
	_, ok := i.leadership.Claim(now, i.cfg.Zone)
	return ok
}

// Leave begins a shutdown: others are to lead.
func (i *Instance) Leave(now time.Time) {
	i.advance(now)
	i.leaving = true
	i.leadership.Leave()
	i.broadcast(i.leadership.Heartbeat(now))
}

// Close makes the instance refuse new jobs.
func (i *Instance) Close(now time.Time) {
	i.advance(now)
	i.receiver.closed = true
}

// Abort answers all callers at once, because the process ends.
func (i *Instance) Abort(now time.Time) {
	i.advance(now)
	i.receiver.abort(now)
}

// StartDone takes in a worker's answer to s, with its clock.
func (i *Instance) StartDone(now time.Time, s Start, outcome Outcome, clock time.Duration) {
	i.advance(now)
	i.dispatcher.startDone(now, s, outcome, clock)
}

// StopDone takes in a worker's answer to s, with its clock.
func (i *Instance) StopDone(now time.Time, s Stop, outcome Outcome, clock time.Duration) {
	i.advance(now)
	i.dispatcher.stopDone(now, s, outcome, clock)
}

// PollDone takes in a worker's answer to l.
func (i *Instance) PollDone(now time.Time, l Poll, report Report, outcome Outcome) {
	i.advance(now)
	if l.Number == 0 {
		if outcome == Accepted || outcome == Fenced {
			i.leadership.RecordPoll(now, l.zone, outcome == Fenced || len(report.Running) > 0)
		}
		return
	}
	i.dispatcher.lookDone(now, l, report, outcome)
}

// Tick moves what depends on the time.
func (i *Instance) Tick(now time.Time) {
	i.advance(now)
	i.informLeadership()
	if beat := i.leadership.Tick(now); beat != nil {
		i.broadcast(beat)
	}
	i.followTerms(now)
	i.receiver.tick(now)
	i.probe(now)
	i.dispatcher.tick(now, i.leadership)
}

// Take returns what is to be done since the last call.
func (i *Instance) Take(now time.Time) Effects {
	i.followTerms(now)
	if i.dispatcher.leading() {
		i.dispatcher.place(now)
		i.dispatcher.lookAll(now)
	}
	for _, addr := range slices.SortedFunc(maps.Keys(i.outbox), netip.AddrPort.Compare) {
		i.effects.Sends = append(i.effects.Sends, Send{To: addr, Envelope: i.outbox[addr]})
	}
	clear(i.outbox)
	effects := i.effects
	i.effects = Effects{}
	return effects
}

// followTerms brings the dispatcher in line with what this instance leads.
func (i *Instance) followTerms(now time.Time) {
	for _, zone := range i.cfg.Zones {
		term, leads := i.leadership.Leads(zone)
		had, led := i.dispatcher.terms[zone]
		switch {
		case leads && (!led || had != term):
			i.dispatcher.setTerm(now, zone, term)
		case !leads && led:
			i.dispatcher.dropTerm(now, zone)
		}
	}
	i.receiver.follow(now)
}

// probe asks workers of the zones that may have lost their leader whether
// somebody else gives them tasks. The question carries the term of the last known leader, which
// takes nothing from it.
func (i *Instance) probe(now time.Time) {
	if now.Sub(i.probed) < probeEvery {
		return
	}
	i.probed = now
	for _, zone := range i.leadership.UnconfirmedZones(now) {
		claim, _ := i.leadership.Claim(now, zone)
		probes := 0
		for _, w := range i.dispatcher.order {
			if w.Zone != zone || probes == probesPerZone {
				continue
			}
			probes++
			order := Command{Worker: w.ID, Address: w.Address, Term: claim.Term, IssuedAt: now}
			i.effects.Polls = append(i.effects.Polls, Poll{Command: order, zone: zone})
		}
	}
}

// fenced gives up a zone whose workers have served a later leader.
func (i *Instance) fenced(now time.Time, zone string) {
	i.effects.decide("fenced", zone, "term", i.dispatcher.terms[zone])
	i.leadership.Fenced(now, zone)
	i.followTerms(now)
}

// settle tells a receiver how a job has ended.
func (i *Instance) settle(now time.Time, to netip.AddrPort, end End) {
	if to == i.cfg.Self {
		i.receiver.settled(now, i.cfg.Self, end)
		return
	}
	env := i.envelope(to)
	env.JobEnds = append(env.JobEnds, encodeEnd(end))
}
