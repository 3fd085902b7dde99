package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// Config is the configuration of an Instance.
type Config struct {
	// Self is the address at which peers reach the instance.
	Self netip.AddrPort
	// Zone is the availability zone of the instance, and Zones are all zones.
	Zone  string
	Zones []string
	// Weight is the weight of the machine as a leader, which Weight returns, or 0 if it
	// is not known.
	Weight int
	// Unfenced is set if workers accept commands of any term.
	Unfenced bool
	// ResubmitDelay is the time after which a caller that got no answer may submit its
	// job to another instance, or 0 for a default.
	ResubmitDelay time.Duration
	// RemoteRackFactor is the factor by which the run time of a task grows on a rack that
	// does not hold its data, or 0 for a default.
	RemoteRackFactor float64
	// Callers tells whether callers are connected, or is nil if they count as connected until
	// Abandon is called.
	Callers Callers
	// Incarnation distinguishes this process from earlier ones at the same address.
	Incarnation uint64
	// Wall is the time of day when the process started.
	Wall time.Time
}

// An Instance is the control state of one entry instance.
//
// It is not safe for concurrent use: only the control goroutine may call it.
type Instance struct {
	cfg        Config
	leadership *peer.Leadership
	receiver   *receiver
	dispatcher *dispatcher
	table      *table
	effects    Effects
	outbox     map[netip.AddrPort]*peer.Envelope
	// tables is the encoded configuration of the operators, and version its version.
	tables  []byte
	version uint64
	// behindSince is since when a peer is known to have a newer configuration, or zero,
	// and tablesRequestedAt when one was last requested from a peer.
	behindSince, tablesRequestedAt time.Time

	peers  map[netip.AddrPort]*peerState
	shards shardState
	// sequence is the number of the latest envelope to any peer.
	sequence  uint64
	lastEvent time.Time
	lastProbe time.Time
	leaving   bool
	// expectedWorkers is the number of workers that an earlier leader knew.
	expectedWorkers int
	// tablesReadAt and workersReadAt are when the store last answered a read of the
	// operators' configuration and of the worker table, or zero.
	tablesReadAt, workersReadAt time.Time
}

// NewInstance returns the control state of a process that starts at now.
func NewInstance(now time.Time, cfg Config) *Instance {
	i := &Instance{
		cfg: cfg,
		leadership: peer.NewLeadership(now, peer.LeadershipConfig{
			Self: cfg.Self, Zone: cfg.Zone, Zones: cfg.Zones, Weight: cfg.Weight, Unfenced: cfg.Unfenced, Wall: cfg.Wall,
		}),
		dispatcher: newDispatcher(cfg.Self, runConfirmation(cfg.ResubmitDelay)),
		table:      newTable(),
		outbox:     make(map[netip.AddrPort]*peer.Envelope),
		peers:      make(map[netip.AddrPort]*peerState),
		lastEvent:  now,
	}
	i.shards = shardState{count: 1, own: cfg.Zone}
	i.receiver = newReceiver(now, i)
	i.dispatcher.effects = &i.effects
	i.dispatcher.session = uint64(now.UnixNano())
	i.dispatcher.unfenced = cfg.Unfenced
	i.dispatcher.reportEnd = i.reportEnd
	i.dispatcher.onFenced = i.handleFenced
	i.dispatcher.zoneOf = i.leadership.Zone
	i.dispatcher.shardOf = i.leadership.ShardOfWorker
	i.dispatcher.workersReadAt = i.WorkersReadAt
	i.dispatcher.confirmedBy = i.confirmedBy
	i.dispatcher.mayCommand = i.leadership.MayCommand
	i.dispatcher.otherLeaders = func(now time.Time) int { return len(i.otherLeaders(now)) }
	if cfg.RemoteRackFactor > 0 {
		i.dispatcher.remoteRackFactor = cfg.RemoteRackFactor
	}
	i.dispatcher.onRemoved = func(w Worker) { i.table.remove(w.ID, w.Version) }
	return i
}

// advance is called with the time of each event. After a pause of the process it
// gives up all zones, which another instance may lead meanwhile.
func (i *Instance) advance(now time.Time) {
	gap := now.Sub(i.lastEvent)
	if gap > receiverTimeout {
		i.effects.decide("process-paused", i.cfg.Zone, "for", gap, "led", len(i.dispatcher.terms), "gave-up", gap > pauseThreshold, "open-jobs", len(i.receiver.open))
	}
	if gap > pauseThreshold {
		i.leadership.Resumed(now)
		i.followTerms(now)
	}
	i.lastEvent = now
	if i.cfg.Unfenced && i.leadership.Leading() {
		i.leadership.Expire(now)
		i.followTerms(now)
	}
}

// Submit adds a job of a caller. The answer follows in a later Effects.
func (i *Instance) Submit(now time.Time, caller CallerID, job Job) {
	i.advance(now)
	i.receiver.submit(now, caller, job)
}

// Abandon records that a caller has disconnected.
func (i *Instance) Abandon(now time.Time, caller CallerID) {
	i.advance(now)
	i.receiver.abandon(now, caller)
}

// Cancel ends a job at the request of its caller and reports whether the job was
// known.
func (i *Instance) Cancel(now time.Time, id string) bool {
	i.advance(now)
	return i.receiver.cancel(now, id)
}

// HasOpenJob reports whether callers wait for the job with this ID.
func (i *Instance) HasOpenJob(id string) bool {
	_, open := i.receiver.open[id]
	return open
}

// OpenJobs returns the number of jobs for which callers wait.
func (i *Instance) OpenJobs() int { return len(i.receiver.open) }

// AddMember adds another instance to the known members. This instance sends it
// heartbeats from then on. The weight is that of the other instance's Config, or 0 if it
// is not known.
func (i *Instance) AddMember(now time.Time, addr netip.AddrPort, zone string, weight int) {
	i.advance(now)
	i.leadership.AddMember(now, addr, zone)
	if weight > 0 {
		i.leadership.SetWeight(addr, weight)
	}
}

// SetExpectedWorkers sets the number of workers that an earlier leader knew. It is
// used while this instance knows no worker.
func (i *Instance) SetExpectedWorkers(now time.Time, workers int) {
	i.advance(now)
	i.expectedWorkers = workers
	i.updateLeadership()
	i.checkShards(now)
}

// updateLeadership sets the inputs of the leadership that depend on the workers:
// whether there are too many workers for one leader, and the revision of the worker
// table.
func (i *Instance) updateLeadership() {
	workers := len(i.dispatcher.sortedWorkers)
	if workers == 0 {
		workers = i.expectedWorkers
	}
	i.leadership.SetLeaderPerZone(tooManyForOne(workers, i.leadership.HighestWeight(), i.leadership.LeaderPerZone()))
	i.leadership.SetTableRevision(i.table.revision)
}

// SetTables sets the operators' configuration, unless the known one is as new.
func (i *Instance) SetTables(now time.Time, version uint64, tables []byte) {
	i.advance(now)
	if version > i.version {
		i.version, i.tables = version, tables
		i.behindSince, i.tablesRequestedAt = time.Time{}, time.Time{}
		i.effects.decide("configuration", "tables", "version", version, "read", SinceOrNever(now, i.tablesReadAt))
	}
}

// RecordTablesRead records that the store has answered a read of the operators'
// configuration, whether or not it is a new one.
func (i *Instance) RecordTablesRead(now time.Time) {
	i.advance(now)
	i.tablesReadAt = now
}

// RecordWorkersRead records that the store has answered a read of the worker table or
// of its changes.
func (i *Instance) RecordWorkersRead(now time.Time) {
	i.advance(now)
	i.workersReadAt = now
}

// TablesReadAt returns when the store last answered a read of the operators'
// configuration, or the zero time.
func (i *Instance) TablesReadAt() time.Time { return i.tablesReadAt }

// WorkersReadAt returns when the store last answered a read of the worker table, or the
// zero time.
func (i *Instance) WorkersReadAt() time.Time { return i.workersReadAt }

// TablesVersion returns the version of the operators' configuration that this instance
// knows, or 0.
func (i *Instance) TablesVersion() uint64 { return i.version }

// SetWorkers replaces the worker table with the one that this instance has read from
// the store.
func (i *Instance) SetWorkers(now time.Time, workers []Worker) {
	i.RecordWorkersRead(now)
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

// fromStore is the source, in the log, of an entry that this instance has read from the
// store.
const fromStore = "store"

// SetWorker adds or updates an entry of the worker table, as read from the store.
func (i *Instance) SetWorker(now time.Time, w Worker) {
	i.advance(now)
	i.setWorker(now, w, fromStore)
}

// setWorker adds or updates an entry of the worker table. source is fromStore or the
// address of the peer that sent the entry.
func (i *Instance) setWorker(now time.Time, w Worker, source string) {
	latest, changed := i.table.set(w)
	if changed {
		i.effects.decide("worker", w.ID, "zone", latest.Zone, "address", latest.Address, "leaving", latest.Leaving, "remaining", latest.Remaining,
			"millicores", latest.Capacity.Millicores, "version", latest.Version, "received", w.Version, "from", source)
	}
	i.dispatcher.setWorker(now, latest)
}

// RemoveWorker records that the store no longer lists a worker. The entry is kept until
// the leader of the worker's zone knows that nothing can run on the worker.
func (i *Instance) RemoveWorker(now time.Time, id string) {
	i.advance(now)
	i.unlistWorker(now, id, fromStore)
}

// unlistWorker records in the dispatcher that a worker is no longer listed. source is
// fromStore or the address of the peer that reported it.
func (i *Instance) unlistWorker(now time.Time, id, source string) {
	if w := i.dispatcher.workers[id]; w != nil && w.missingSince.IsZero() {
		i.effects.decide("worker-unlisted", id, "zone", w.Zone, "runs", len(w.runs), "version", w.Version, "from", source)
	}
	i.dispatcher.markWorkerMissing(now, id)
}

// Leading reports whether this instance leads an availability zone, and therefore has
// to read the worker table.
func (i *Instance) Leading() bool { return i.leadership.Leading() }

// Leave begins a shutdown: this instance gives up leadership to others.
func (i *Instance) Leave(now time.Time) {
	i.advance(now)
	i.leaving = true
	i.leadership.Leave()
	i.broadcast(now, i.leadership.Heartbeat(now))
}

// Close makes the instance refuse new jobs, apart from those whose callers wait no longer than
// until end, at which Abort follows at the earliest.
func (i *Instance) Close(now, end time.Time) {
	i.advance(now)
	i.receiver.closed, i.receiver.end = true, end
}

// Abort answers all callers at once, because the process is about to exit.
func (i *Instance) Abort(now time.Time) {
	i.advance(now)
	i.receiver.abort(now)
}

// StartDone handles the outcome of s. clock is the worker's clock when it answered.
func (i *Instance) StartDone(now time.Time, s Start, outcome Outcome, clock time.Duration) {
	i.advance(now)
	i.dispatcher.startDone(now, s, outcome, clock)
}

// StopDone handles the outcome of s. clock is the worker's clock when it answered.
func (i *Instance) StopDone(now time.Time, s Stop, outcome Outcome, clock time.Duration) {
	i.advance(now)
	i.dispatcher.stopDone(now, s, outcome, clock)
}

// PollDone handles the outcome of poll, with the worker's report.
func (i *Instance) PollDone(now time.Time, poll Poll, report Report, outcome Outcome) {
	i.advance(now)
	if poll.Number == 0 {
		if outcome == Accepted || outcome == Fenced {
			i.leadership.RecordPoll(now, poll.zone, outcome == Fenced || len(report.Running) > 0)
		}
		return
	}
	i.dispatcher.pollDone(now, poll, report, outcome)
}

// Tick handles everything that depends on the time.
func (i *Instance) Tick(now time.Time) {
	i.advance(now)
	i.updateLeadership()
	i.checkShards(now)
	if heartbeat := i.leadership.Tick(now); heartbeat != nil {
		i.broadcast(now, heartbeat)
	}
	i.followTerms(now)
	i.receiver.tick(now)
	i.probe(now)
	i.dispatcher.tick(now, i.leadership)
}

// Take returns the effects since the last call.
func (i *Instance) Take(now time.Time) Effects {
	i.followTerms(now)
	if i.dispatcher.leading() {
		i.dispatcher.place(now)
		i.dispatcher.issuePolls(now)
	}
	for _, addr := range slices.SortedFunc(maps.Keys(i.outbox), netip.AddrPort.Compare) {
		i.peer(addr).withdrawals.addTo(now, i.outbox[addr])
		env := i.outbox[addr]
		env.Zone = i.leadership.Shard()
		i.sequence++
		env.Sequence, env.Session, env.ToSession = i.sequence, i.dispatcher.session, i.peer(addr).session
		i.effects.Sends = append(i.effects.Sends, Send{To: addr, Envelope: env})
	}
	clear(i.outbox)
	effects := i.effects
	i.effects = Effects{}
	return effects
}

// followTerms makes the dispatcher lead exactly the zones that this instance leads,
// with their terms.
func (i *Instance) followTerms(now time.Time) {
	var ended []string
	for _, zone := range slices.Sorted(maps.Keys(i.dispatcher.terms)) {
		if _, leads := i.leadership.Leads(zone); !leads {
			ended = append(ended, zone)
		}
	}
	if len(ended) > 0 {
		i.dispatcher.dropTerms(now, ended)
	}
	i.followShards(now)
	for _, zone := range i.leadership.Shards() {
		if term, leads := i.leadership.Leads(zone); leads && i.dispatcher.terms[zone] != term {
			i.dispatcher.setTerm(now, zone, term)
		}
	}
	i.receiver.followLeaders(now)
}

// probe asks workers of the zones that may have lost their leader whether an instance
// uses them. A probe carries the term of the last known leader, so it does not fence
// that leader.
func (i *Instance) probe(now time.Time) {
	if now.Sub(i.lastProbe) < probeInterval {
		return
	}
	i.lastProbe = now
	for _, zone := range i.leadership.UnconfirmedZones(now) {
		claim, _ := i.leadership.Claim(now, zone)
		probes := 0
		for _, w := range i.dispatcher.sortedWorkers {
			if w.shard != zone || probes == probesPerZone || w.Incarnation > peer.TermMillis(claim.Term) {
				// A worker that has started since may have seen a raised token.
				continue
			}
			probes++
			command := Command{Worker: w.ID, Address: w.Address, Term: claim.Term, IssuedAt: now, SendBefore: now.Add(maxCommandAge)}
			i.effects.Polls = append(i.effects.Polls, Poll{Command: command, zone: zone})
		}
	}
}

// handleFenced gives up a zone whose workers have accepted a later leader.
func (i *Instance) handleFenced(now time.Time, zone string) {
	i.effects.decide("fenced", zone, "term", i.dispatcher.terms[zone])
	i.leadership.Fenced(now, zone)
	i.followTerms(now)
}
