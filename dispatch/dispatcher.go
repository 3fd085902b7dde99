package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
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
	// terms are the terms of the zones that this instance leads, and takenOver is
	// when it took each of them over.
	terms     map[string]uint64
	takenOver map[string]time.Time
	// unreadZones are the zones in which no task may be started, because the worker
	// table may be too old.
	unreadZones map[string]bool
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
	ends    map[string]*keptEnd
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
	// zoneOf returns an instance's availability zone.
	zoneOf func(netip.AddrPort) string
	// workersReadAt returns when the worker table was last read from the store, or
	// zero.
	workersReadAt func() time.Time
	// mayCommand returns the time from which and, unless it is zero, the time until
	// which this instance may send commands to the workers of a zone that it leads.
	mayCommand func(now time.Time, zone string) (from, until time.Time)
	// onForgotten is called with a worker that was removed.
	onForgotten func(w Worker)
	pollCount   uint64
}

// keptEnd is the end of a job, kept for receivers that forward the job again.
type keptEnd struct {
	end       End
	at        time.Time
	receivers []netip.AddrPort
}

func newDispatcher(self netip.AddrPort) *dispatcher {
	return &dispatcher{
		self:        self,
		terms:       make(map[string]uint64),
		takenOver:   make(map[string]time.Time),
		unreadZones: make(map[string]bool),
		workers:     make(map[string]*worker),
		jobs:        make(map[string]*activeJob),
		ends:        make(map[string]*keptEnd),
		running:     make(map[TaskID]*worker),
		duplicates:  make(map[TaskID][]*worker),
		estimates:   make(estimates),
		topSpeed:    1,
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
		if w.Zone == zone {
			w.polled = false
			w.pollSent = time.Time{}
			w.nextPoll = now
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
		if !slices.Contains(zones, w.Zone) {
			continue
		}
		w.polled = false
		w.pollSent = time.Time{}
		// The next leader may renew the leases of these runs for a while.
		w.leaseEnd = max(w.leaseEnd, w.clockLow(now)+orphanGracePeriod+leaseDuration)
	}
}

// releaseJobsOf withdraws the jobs that instances of zone forwarded. They forward
// them to the next leader of the zone.
func (d *dispatcher) releaseJobsOf(now time.Time, zone string) {
	for _, id := range d.jobIDs() {
		j := d.jobs[id]
		for _, addr := range slices.SortedFunc(maps.Keys(j.receivers), netip.AddrPort.Compare) {
			if d.zoneOf(addr) == zone {
				d.withdraw(now, addr, id)
			}
		}
	}
}

// reset discards all jobs and runs, because this instance may not send commands any
// more.
func (d *dispatcher) reset() {
	d.jobs = make(map[string]*activeJob)
	d.queue = queue{}
	d.ends = make(map[string]*keptEnd)
	d.running = make(map[TaskID]*worker)
	d.duplicates = make(map[TaskID][]*worker)
	d.led, d.pollDue = nil, nil
	for i, w := range d.sortedWorkers {
		fresh := newWorker(w.Worker)
		fresh.speed = w.speed
		d.sortedWorkers[i] = fresh
		d.workers[w.ID] = fresh
	}
}

// setWorker adds or updates an entry of the worker table.
func (d *dispatcher) setWorker(now time.Time, entry Worker) {
	w := d.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
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
	w.Worker = entry
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

// forgetWorker removes a worker, of a zone that this instance leads, that was missing for
// missingWorkerTimeout while it could be polled, once nothing can run on it.
func (d *dispatcher) forgetWorker(now time.Time, w *worker) {
	if _, led := d.terms[w.Zone]; !led || w.missingSince.IsZero() {
		return
	}
	if now.Sub(later(w.missingSince, d.takenOver[w.Zone])) < missingWorkerTimeout || len(w.runs) > 0 {
		return
	}
	d.dropWorker(w.ID)
	d.onForgotten(w.Worker)
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
		if _, led := d.terms[w.Zone]; led {
			d.led = append(d.led, w)
		}
	}
	return d.led
}

// allPolled reports whether this instance leads the zones of all workers and each
// worker has answered a poll, so that every run of an earlier leader is known.
func (d *dispatcher) allPolled() bool {
	for _, w := range d.sortedWorkers {
		if _, led := d.terms[w.Zone]; !led || !w.polled {
			return false
		}
	}
	return len(d.sortedWorkers) > 0
}

// addJob adds a job that the instance from has forwarded, or reports its end if that
// is known.
func (d *dispatcher) addJob(now time.Time, from netip.AddrPort, job Job) {
	if _, led := d.terms[d.zoneOf(from)]; !led {
		d.effects.decide("job-rejected", job.ID, "from", from, "zone", d.zoneOf(from))
		return
	}
	if kept := d.ends[job.ID]; kept != nil {
		kept.receivers = append(kept.receivers, from)
		d.reportEnd(now, from, kept.end)
		return
	}
	j := d.jobs[job.ID]
	if j == nil {
		if len(d.jobs) >= maxJobs {
			d.reportEnd(now, from, job.notServed("too-many-jobs"))
			return
		}
		j = d.activate(now, job)
	}
	j.receivers[from] = struct{}{}
	j.CallerDeadline = later(j.CallerDeadline, job.CallerDeadline)
	j.forwardedAgain(job)
	if !j.suspendedAt.IsZero() {
		j.suspendedAt, j.forwardRequestedAt = time.Time{}, time.Time{}
		d.effects.decide("job-resumed", j.ID, "receiver", from)
	}
	if len(j.waiting) > 0 {
		d.queue.add(j)
	}
}

// later returns the later of a and b.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// activate adds job as an active job.
func (d *dispatcher) activate(now time.Time, job Job) *activeJob {
	j := newActiveJob(job)
	d.jobs[job.ID] = j
	var longest, nominal time.Duration
	for _, step := range job.Steps {
		expected := d.estimates.expectedRunTime(job.Route, step.Estimate)
		longest += expected
		nominal += d.estimates.nominalRunTime(job.Route, expected)
		cores := float64(step.Needs.Millicores) / 1000
		j.work += expected.Seconds() * cores * float64(step.Tasks)
		if d.typicalMillicores == 0 {
			d.typicalMillicores = float64(step.Needs.Millicores)
		}
		d.typicalMillicores += estimateWeight * (float64(step.Needs.Millicores) - d.typicalMillicores)
	}
	j.chainTime = longest
	j.objective = job.Arrived.Add(time.Duration(job.Stretch*float64(nominal)) + job.Slack - overhead)
	d.adoptRuns(now, j)
	return j
}

// adoptRuns adopts the runs and the ends of j's tasks that an earlier leader has
// started.
func (d *dispatcher) adoptRuns(now time.Time, j *activeJob) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if w := d.running[t.id]; w != nil {
				d.adopt(w, t)
			}
		}
	}
	for _, w := range d.ledWorkers() {
		for _, f := range w.unclaimedEnds {
			if f.Task.Job == j.ID && f.Result == RunSucceeded {
				d.taskSucceeded(now, j, f.Task)
			}
		}
	}
}

// adopt assigns the run of t on w to t, unless the run is being stopped or t has
// another run.
func (d *dispatcher) adopt(w *worker, t *task) {
	r := w.runs[t.id]
	if r == nil {
		return
	}
	t.number = max(t.number, r.number)
	if r.state == runStopping {
		return
	}
	if t.state != taskWaiting || r.task != nil {
		return
	}
	w.adopt(r, t)
	t.job.markPlaced(t)
	d.effects.decide("run-adopted", t.job.ID, "worker", w.ID, "step", t.id.Step, "task", t.id.Index, "run", r.number)
}

// taskSucceeded records the end of a task, and ends its job if it was the last one.
func (d *dispatcher) taskSucceeded(now time.Time, j *activeJob, id TaskID) {
	if id.Step >= len(j.steps) || id.Index >= len(j.steps[id.Step]) {
		return
	}
	if j.finish(j.steps[id.Step][id.Index]) {
		d.endJob(now, j, End{ID: j.ID, State: Completed})
		return
	}
	if len(j.waiting) > 0 {
		d.queue.add(j)
	}
}

// endJob ends a job: it reports the end to the receivers of the job, and stops its
// runs.
func (d *dispatcher) endJob(now time.Time, j *activeJob, end End) {
	if d.jobs[j.ID] != j {
		return
	}
	d.dropJob(now, j)
	kept := &keptEnd{end: end, at: now}
	for addr := range j.receivers {
		kept.receivers = append(kept.receivers, addr)
	}
	slices.SortFunc(kept.receivers, netip.AddrPort.Compare)
	d.ends[j.ID] = kept
	for _, addr := range kept.receivers {
		d.reportEnd(now, addr, end)
	}
	if end.State == Completed {
		// The receiver logs the answer to the caller.
		return
	}
	d.effects.decide("job-"+end.State.String(), j.ID, "route", j.Route, "reason", end.Reason, "age", now.Sub(j.Arrived),
		"expected", j.chainTime, "queued", len(d.queue.jobs), "left", j.totalRemaining, "placed", j.placed)
}

// dropJob removes a job and stops its runs.
func (d *dispatcher) dropJob(now time.Time, j *activeJob) {
	delete(d.jobs, j.ID)
	j.queued = false
	d.stopRuns(now, j, false)
}

// stopRuns stops the runs of j. If keep is set, their tasks wait again once the runs
// have ended.
func (d *dispatcher) stopRuns(now time.Time, j *activeJob, keep bool) {
	if j.placed == 0 {
		return
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if w := d.running[t.id]; w != nil {
				d.stopRunOf(now, w, t, keep)
			}
			for _, w := range slices.Clone(d.duplicates[t.id]) {
				d.stopRunOf(now, w, t, keep)
			}
		}
	}
}

// stopRunOf stops the run of t on w, if t needs it. If keep is set, t waits again once the
// run has ended.
func (d *dispatcher) stopRunOf(now time.Time, w *worker, t *task, keep bool) {
	r := w.runs[t.id]
	if r == nil || r.task != t {
		return
	}
	if !keep {
		r.task = nil
	}
	d.stop(now, w, r)
}

// withdraw removes from as a receiver of a job, and drops a job without receivers.
func (d *dispatcher) withdraw(now time.Time, from netip.AddrPort, id string) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	delete(j.receivers, from)
	if len(j.receivers) == 0 {
		d.effects.decide("job-withdrawn", id, "age", now.Sub(j.Arrived), "placed", j.placed)
		d.dropJob(now, j)
	}
}

// resendEnds reports to a receiver again how its jobs have ended.
func (d *dispatcher) resendEnds(now time.Time, to netip.AddrPort) {
	for _, id := range slices.Sorted(maps.Keys(d.ends)) {
		kept := d.ends[id]
		if slices.Contains(kept.receivers, to) {
			d.reportEnd(now, to, kept.end)
		}
	}
}
