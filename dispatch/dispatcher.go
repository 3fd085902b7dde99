package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// failureLimit is the number of failures in a row after which a worker is excluded
// for a time, and then used for one task at a time.
const failureLimit = 2

// maxExcludedShare is the share of the workers that may be excluded at once. One
// worker may always be excluded.
const maxExcludedShare = 0.35

// dispatcher is the state of an instance that leads availability zones.
type dispatcher struct {
	self netip.AddrPort
	// session identifies the period since this instance last lost its state of jobs and runs.
	session uint64
	// terms are the terms of the zones that this instance leads, and takenOver is
	// when it took each of them over.
	terms     map[string]uint64
	takenOver map[string]time.Time
	// unreadZones are the zones in which no task may be started, because the worker
	// table may be too old.
	unreadZones map[string]bool
	// drained is the list of the drained zones.
	drained drainedZones
	// workers are the workers of the worker table by their IDs, and sortedWorkers the
	// same workers in the order of their IDs.
	workers       map[string]*worker
	sortedWorkers []*worker
	// led are the workers of the zones that this instance leads, in the order of their
	// IDs. It is nil if it has to be determined again.
	led []*worker
	// open are the workers on which place may start tasks.
	open []*worker
	// pollDue are the workers that may have to be polled before the next tick, and
	// pollAny is set if all may.
	pollDue []*worker
	pollAny bool
	jobs    map[string]*activeJob
	queue   queue
	// plannedAt is when the queue was last planned.
	plannedAt time.Time
	// overloaded holds the capacity of the pools that were overloaded then.
	overloaded map[string]int
	demand     demand
	sizes      sizes
	ends       map[string]*keptEnd
	// running maps a task to the worker on which it may be running, whether or not a
	// job of this leader needs the run. A task in this map is not started.
	running map[TaskID]*worker
	// duplicates maps a task to further workers on which it may be running after
	// another leader has started it, too.
	duplicates map[TaskID][]*worker
	estimates  estimates
	// topSpeed is the speed of a fast worker, and typicalMillicores the moving
	// average of the processors that a task needs.
	topSpeed          float64
	typicalMillicores float64
	effects           *Effects
	// reportEnd reports the end of a job to one of its receivers.
	reportEnd func(now time.Time, to netip.AddrPort, end End)
	// onFenced is called with a zone whose workers have accepted a later leader.
	onFenced func(now time.Time, zone string)
	// zoneOf returns an instance's shard, which is its availability zone if that is not
	// divided, and shardOf that of a worker.
	zoneOf  func(netip.AddrPort) string
	shardOf func(zone, id string) string
	// workersReadAt returns when the worker table was last read from the store, or
	// zero.
	workersReadAt func() time.Time
	// mayCommand returns the time from which and, unless it is zero, the time until
	// which this instance may send commands to the workers of a zone that it leads.
	mayCommand func(now time.Time, zone string) (from, until time.Time)
	// confirmedBy returns the latest time at which an instance is known to have waited
	// for the jobs that it had forwarded and not withdrawn, or zero.
	confirmedBy func(now time.Time, receiver netip.AddrPort) time.Time
	// runConfirmation is the time for which a run may continue after its receiver was
	// last known to wait for it.
	runConfirmation time.Duration
	// onRemoved is called with a worker that was removed.
	onRemoved func(w Worker)
	pollCount uint64
	// loads are the loads of the other zones, and foreign the receivers whose jobs were
	// redirected to this leader.
	loads   receivedLoads
	foreign foreignReceivers
	// otherLeaders returns the number of other instances that lead a zone.
	otherLeaders func(now time.Time) int
	// remoteRackFactor is the factor by which the expected run time of a task grows on a
	// rack that does not hold its data.
	remoteRackFactor float64
	// waitingAhead is set while place considers a job behind another one of which a task
	// has found no worker.
	waitingAhead bool
	// typicalAnswers estimates the answer times of all workers. It applies to workers that
	// have not answered yet.
	typicalAnswers answerTimes
	hedgeBudget    hedgeBudget
	// lastTick is when tick was last called, and overdueFrom the time from which answers
	// may count as overdue.
	lastTick, overdueFrom time.Time
	// restartPollNext is the index in led at which pollForRestarts continues.
	restartPollNext int
	// unfenced is set if workers accept commands of any term.
	unfenced bool
	// former are removed workers, by their IDs, at which a start command may still arrive.
	former map[string]formerWorker
}

// keptEnd is the end of a job, kept for receivers that forward the job again.
type keptEnd struct {
	end       End
	at        time.Time
	receivers []netip.AddrPort
	// arrived is when the job arrived from its caller for the first time.
	arrived time.Time
	// earlierLeaders and earlierRunsEndBy are those of the job.
	earlierLeaders   int
	earlierRunsEndBy time.Time
}

// resubmit reports whether job is a new submission of a job that was refused or given up. If
// so, job gets the arrival time of the first submission, on which its worth depends, and the
// earlier leaders, whose runs of its tasks may not have ended. A receiver that has only missed the end marks the
// job as one that was forwarded before.
func (k *keptEnd) resubmit(job *Job) bool {
	if job.EarlierLeaders > 0 || (k.end.State != NotRun && k.end.State != Overdue) {
		return false
	}
	job.Arrived = k.arrived
	if k.end.State == Overdue {
		job.EarlierLeaders, job.EarlierRunsEndBy = k.earlierLeaders+1, k.earlierRunsEndBy
	}
	return true
}

func newDispatcher(self netip.AddrPort, runConfirmation time.Duration) *dispatcher {
	return &dispatcher{
		self:            self,
		terms:           make(map[string]uint64),
		takenOver:       make(map[string]time.Time),
		unreadZones:     make(map[string]bool),
		workers:         make(map[string]*worker),
		jobs:            make(map[string]*activeJob),
		ends:            make(map[string]*keptEnd),
		running:         make(map[TaskID]*worker),
		duplicates:      make(map[TaskID][]*worker),
		estimates:       make(estimates),
		demand:          make(demand),
		sizes:           make(sizes),
		topSpeed:        1,
		former:          make(map[string]formerWorker),
		runConfirmation: runConfirmation,
		shardOf:         func(zone, _ string) string { return zone },
		foreign:         make(foreignReceivers),

		remoteRackFactor: defaultRemoteRackFactor,
		hedgeBudget:      hedgeBudget{tokens: hedgeBurst},
	}
}

// leading reports whether this instance leads any zone.
func (d *dispatcher) leading() bool { return len(d.terms) > 0 }

// setTerm starts to lead zone with term.
func (d *dispatcher) setTerm(now time.Time, zone string, term uint64) {
	d.terms[zone] = term
	d.takenOver[zone] = now
	d.led = nil
	d.pollAny = true
	for _, w := range d.sortedWorkers {
		if w.shard == zone {
			w.polled = false
			w.pollSent = time.Time{}
			w.nextPoll = now
			if w.token >= term {
				// Commands of this instance's earlier term may still arrive.
				w.token = peer.RaiseTerm(w.token)
			}
		}
	}
	d.effects.decide("zone-leadership-started", zone, "term", term, "workers-read", SinceOrNever(now, d.workersReadAt()))
}

// dropTerms ceases to lead zones. It sends no command to their workers.
func (d *dispatcher) dropTerms(now time.Time, zones []string) {
	for _, zone := range zones {
		delete(d.terms, zone)
		d.effects.decide("zone-leadership-ended", zone)
	}
	d.led = nil
	if !d.leading() {
		d.reset()
		return
	}
	for _, zone := range zones {
		d.releaseJobsOf(now, zone)
	}
	for _, w := range d.sortedWorkers {
		if !slices.Contains(zones, w.shard) {
			continue
		}
		w.polled = false
		w.pollSent = time.Time{}
		// The next leader may be of a version that renews the leases of these runs for a
		// while.
		w.leaseEnd = max(w.leaseEnd, w.clockLow(now)+orphanGracePeriod+leaseDuration)
	}
}

// releaseJobsOf withdraws the jobs that instances forwarded to the leader of zone. They
// forward them to the next leader of the zone.
func (d *dispatcher) releaseJobsOf(now time.Time, zone string) {
	for _, id := range d.jobIDs() {
		j := d.jobs[id]
		for _, addr := range slices.SortedFunc(maps.Keys(j.receivers), netip.AddrPort.Compare) {
			if j.receivers[addr] == zone {
				d.withdraw(now, addr, id)
			}
		}
	}
}

// reset discards all jobs and runs, because this instance may not send commands any
// more.
func (d *dispatcher) reset() {
	d.session++
	for _, j := range d.jobs {
		j.apply(eventEnd)
	}
	d.jobs = make(map[string]*activeJob)
	d.queue = queue{}
	d.ends = make(map[string]*keptEnd)
	d.running = make(map[TaskID]*worker)
	d.duplicates = make(map[TaskID][]*worker)
	d.led, d.pollDue = nil, nil
	d.loads, d.foreign = receivedLoads{}, make(foreignReceivers)
	for i, w := range d.sortedWorkers {
		fresh := freshWorker(w)
		d.sortedWorkers[i] = fresh
		d.workers[w.ID] = fresh
	}
}

// setWorker adds or updates an entry of the worker table.
func (d *dispatcher) setWorker(now time.Time, entry Worker) {
	w := d.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
		w.shard = d.shardOf(entry.Zone, entry.ID)
		d.restoreFormer(w)
		d.workers[entry.ID] = w
		i, _ := slices.BinarySearchFunc(d.sortedWorkers, w, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
		d.sortedWorkers = slices.Insert(d.sortedWorkers, i, w)
		d.led = nil
		d.pollDue = append(d.pollDue, w)
		return
	}
	if w.Zone != entry.Zone {
		d.led = nil
	}
	restarted := w.Incarnation != entry.Incarnation || w.Address != entry.Address
	if w.Incarnation != entry.Incarnation && w.incarnation != entry.Incarnation {
		d.raiseToken(w)
	}
	w.Worker = entry
	w.shard = d.shardOf(entry.Zone, entry.ID)
	w.missingSince = time.Time{}
	if restarted {
		w.nextPoll = now
		d.pollDue = append(d.pollDue, w)
	}
}

// markWorkerMissing records that a worker is no longer in the table.
func (d *dispatcher) markWorkerMissing(now time.Time, id string) {
	if w := d.workers[id]; w != nil && w.missingSince.IsZero() {
		w.missingSince = now
	}
}

// removeWorker removes a worker, of a zone that this instance leads, that was missing for
// missingWorkerTimeout while it could be polled, once nothing can run on it and no earlier
// start command is expected to arrive there.
func (d *dispatcher) removeWorker(now time.Time, w *worker) {
	if _, led := d.terms[w.shard]; !led || w.missingSince.IsZero() {
		return
	}
	if now.Sub(later(w.missingSince, d.takenOver[w.shard])) < missingWorkerTimeout || len(w.runs) > 0 || w.mayRestart(now) {
		return
	}
	d.recordFormer(now, w)
	d.dropWorker(w.ID)
	d.onRemoved(w.Worker)
}

// dropWorker removes a worker on which no run is known.
func (d *dispatcher) dropWorker(id string) {
	w := d.workers[id]
	if w == nil || len(w.runs) > 0 {
		return
	}
	delete(d.workers, id)
	if i := slices.Index(d.sortedWorkers, w); i >= 0 {
		d.sortedWorkers = slices.Delete(d.sortedWorkers, i, i+1)
	}
	d.led = nil
}

// ledWorkers returns the workers of the zones that this instance leads, in the order of
// their IDs. The slice is valid until the next change of the zones or of the worker table.
func (d *dispatcher) ledWorkers() []*worker {
	if d.led != nil {
		return d.led
	}
	d.led = make([]*worker, 0, len(d.sortedWorkers))
	for _, w := range d.sortedWorkers {
		if _, led := d.terms[w.shard]; led {
			d.led = append(d.led, w)
		}
	}
	return d.led
}

// allPolled reports whether this instance leads the zones of all workers of pool and each
// of these has answered a poll, so that every run of an earlier leader in the pool is known.
// No leader starts a task outside its pool.
func (d *dispatcher) allPolled(pool string) bool {
	found := false
	for _, w := range d.sortedWorkers {
		if w.Pool != pool {
			continue
		}
		if _, led := d.terms[w.shard]; !led || !w.polled {
			return false
		}
		found = true
	}
	return found
}
