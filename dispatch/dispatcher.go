package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// troubleLimit is the number of failures in a row after which a worker is left
// out for a time, and then tried with one task at a time.
const troubleLimit = 2

// maxSuspected is the share of the workers that may be left out at once, beside
// one.
const maxSuspected = 0.35

// dispatcher is the state of an instance that leads availability zones.
type dispatcher struct {
	self netip.AddrPort
	// terms are the zones that are led, and taken when each was taken over.
	terms map[string]uint64
	taken map[string]time.Time
	// workers are those of the worker table, and order the same, sorted.
	workers map[string]*worker
	order   []*worker
	jobs    map[string]*activeJob
	queue   queue
	ends    map[string]*keptEnd
	// running finds the worker on which a task may be at work, whether a job
	// of this leader wants it or not. No task is started that is in it.
	running map[TaskID]*worker
	// doubles are the further workers on which a task may be at work, after
	// another leader had started it.
	doubles   map[TaskID][]*worker
	estimates estimates
	// topSpeed is the speed of a fast worker, and typicalCPU what a task
	// usually needs, in thousandths of a core.
	topSpeed   float64
	typicalCPU float64
	effects    *Effects
	// settle tells a receiver how its job has ended.
	settle func(now time.Time, to netip.AddrPort, end End)
	// fenced is told of a zone whose workers have served a later leader.
	fenced func(now time.Time, zone string)
	// zoneOf tells an instance's availability zone.
	zoneOf func(netip.AddrPort) string
	// forgot is told of a worker that was dropped.
	forgot func(id string)
	looks  uint64
}

// keptEnd is the end of a job, kept for receivers that ask again.
type keptEnd struct {
	end       End
	at        time.Time
	receivers []netip.AddrPort
}

func newDispatcher(self netip.AddrPort) *dispatcher {
	return &dispatcher{
		self:      self,
		terms:     make(map[string]uint64),
		taken:     make(map[string]time.Time),
		workers:   make(map[string]*worker),
		jobs:      make(map[string]*activeJob),
		ends:      make(map[string]*keptEnd),
		running:   make(map[TaskID]*worker),
		doubles:   make(map[TaskID][]*worker),
		estimates: make(estimates),
		topSpeed:  1,
	}
}

// leading reports whether any zone is led.
func (d *dispatcher) leading() bool { return len(d.terms) > 0 }

// setTerm takes zone over with term.
func (d *dispatcher) setTerm(now time.Time, zone string, term uint64) {
	d.terms[zone] = term
	d.taken[zone] = now
	for _, w := range d.order {
		if w.Zone == zone {
			w.seen = false
			w.lookSent = time.Time{}
			w.nextLook = now
		}
	}
	d.effects.decide("zone-led", zone, "term", term)
}

// dropTerm gives zone up.
func (d *dispatcher) dropTerm(now time.Time, zone string) {
	delete(d.terms, zone)
	d.effects.decide("zone-given-up", zone)
	if !d.leading() {
		d.reset()
		return
	}
	d.handOver(now, zone)
	for _, w := range d.order {
		if w.Zone != zone {
			continue
		}
		w.seen = false
		w.lookSent = time.Time{}
		// The next leader may keep what runs there for a while.
		w.leaseEnd = max(w.leaseEnd, w.clockLow(now)+grace+leaseTime)
	}
}

// handOver lets go of the jobs that instances of zone gave: they give them to
// the zone's next leader.
func (d *dispatcher) handOver(now time.Time, zone string) {
	for _, id := range d.jobIDs() {
		j := d.jobs[id]
		for _, addr := range slices.SortedFunc(maps.Keys(j.receivers), netip.AddrPort.Compare) {
			if d.zoneOf(addr) == zone {
				d.withdraw(now, addr, id)
			}
		}
	}
}

// reset forgets all jobs and runs: nothing may be ordered any more.
func (d *dispatcher) reset() {
	d.jobs = make(map[string]*activeJob)
	d.queue = queue{}
	d.ends = make(map[string]*keptEnd)
	d.running = make(map[TaskID]*worker)
	d.doubles = make(map[TaskID][]*worker)
	for i, w := range d.order {
		fresh := newWorker(w.Worker)
		fresh.speed = w.speed
		d.order[i] = fresh
		d.workers[w.ID] = fresh
	}
}

// setWorker takes in an entry of the worker table.
func (d *dispatcher) setWorker(now time.Time, entry Worker) {
	w := d.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
		d.workers[entry.ID] = w
		i, _ := slices.BinarySearchFunc(d.order, w, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
		d.order = slices.Insert(d.order, i, w)
		return
	}
	reborn := w.Incarnation != entry.Incarnation || w.Address != entry.Address
	w.Worker = entry
	w.missing = time.Time{}
	if reborn {
		w.nextLook = now
	}
}

// missWorker notes that a worker has vanished from the table.
func (d *dispatcher) missWorker(now time.Time, id string) {
	if w := d.workers[id]; w != nil && w.missing.IsZero() {
		w.missing = now
	}
}

// forgetWorker drops a worker that has been missing for long, once nothing can
// run there any more.
func (d *dispatcher) forgetWorker(now time.Time, w *worker) {
	if w.missing.IsZero() || now.Sub(w.missing) < missingFor {
		return
	}
	if len(w.runs) > 0 {
		return
	}
	delete(d.workers, w.ID)
	d.forgot(w.ID)
	if i := slices.Index(d.order, w); i >= 0 {
		d.order = slices.Delete(d.order, i, i+1)
	}
}

// allSeen reports whether every worker is led and has answered, so that no run
// of an earlier leader is unknown.
func (d *dispatcher) allSeen() bool {
	for _, w := range d.order {
		if _, led := d.terms[w.Zone]; !led || !w.seen {
			return false
		}
	}
	return len(d.order) > 0
}

// give takes a job from the instance that received it.
func (d *dispatcher) give(now time.Time, from netip.AddrPort, job Job) {
	if _, led := d.terms[d.zoneOf(from)]; !led {
		d.effects.decide("job-not-taken", job.ID, "from", from, "zone", d.zoneOf(from))
		return
	}
	if kept := d.ends[job.ID]; kept != nil {
		kept.receivers = append(kept.receivers, from)
		d.settle(now, from, kept.end)
		return
	}
	j := d.jobs[job.ID]
	if j == nil {
		if len(d.jobs) >= maxJobs {
			d.settle(now, from, job.unserved("too-many-jobs"))
			return
		}
		j = d.begin(now, job)
	}
	j.receivers[from] = struct{}{}
	j.CallerDeadline = later(j.CallerDeadline, job.CallerDeadline)
	j.rejoin(job)
	if !j.suspendedAt.IsZero() {
		j.suspendedAt, j.askedAt = time.Time{}, time.Time{}
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

// begin makes job active.
func (d *dispatcher) begin(now time.Time, job Job) *activeJob {
	j := newActiveJob(job)
	d.jobs[job.ID] = j
	var longest, nominal time.Duration
	for _, step := range job.Steps {
		expected := d.estimates.expect(job.Route, step.Estimate)
		longest += expected
		nominal += d.estimates.nominal(job.Route, expected)
		cores := float64(step.Needs.Millicores) / 1000
		j.work += expected.Seconds() * cores * float64(step.Tasks)
		if d.typicalCPU == 0 {
			d.typicalCPU = float64(step.Needs.Millicores)
		}
		d.typicalCPU += estimateWeight * (float64(step.Needs.Millicores) - d.typicalCPU)
	}
	j.chain = longest
	j.objective = job.Arrived.Add(time.Duration(job.Stretch*float64(nominal)) + job.Slack - overhead)
	d.claimRuns(now, j)
	return j
}

// claimRuns finds the runs and ends of j's tasks that an earlier leader ordered.
func (d *dispatcher) claimRuns(now time.Time, j *activeJob) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if w := d.running[t.id]; w != nil {
				d.adopt(w, t)
			}
		}
	}
	for _, w := range d.order {
		for _, f := range w.unclaimed {
			if f.Task.Job == j.ID && f.Result == RunSucceeded {
				d.taskDone(now, j, f.Task)
			}
		}
	}
}

// adopt gives the run of t on w to t, or stops it if t has another.
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
	t.job.place(t)
	d.effects.decide("run-adopted", t.job.ID, "worker", w.ID, "step", t.id.Step, "task", t.id.Index, "run", r.number)
}

// taskDone notes the end of a task, and of its job if it was the last one.
func (d *dispatcher) taskDone(now time.Time, j *activeJob, id TaskID) {
	if id.Step >= len(j.steps) || id.Index >= len(j.steps[id.Step]) {
		return
	}
	if j.finish(j.steps[id.Step][id.Index]) {
		d.end(now, j, End{ID: j.ID, State: Completed})
		return
	}
	if len(j.waiting) > 0 {
		d.queue.add(j)
	}
}

// end settles a job: its receivers are told, and what still runs is stopped.
func (d *dispatcher) end(now time.Time, j *activeJob, end End) {
	if d.jobs[j.ID] != j {
		return
	}
	d.drop(now, j)
	kept := &keptEnd{end: end, at: now}
	for addr := range j.receivers {
		kept.receivers = append(kept.receivers, addr)
	}
	slices.SortFunc(kept.receivers, netip.AddrPort.Compare)
	d.ends[j.ID] = kept
	for _, addr := range kept.receivers {
		d.settle(now, addr, end)
	}
	if end.State == Completed {
		// The receiver's line on the answer says all.
		return
	}
	d.effects.decide("job-"+end.State.String(), j.ID, "route", j.Route, "reason", end.Reason, "age", now.Sub(j.Arrived),
		"expected", j.chain, "queued", len(d.queue.jobs), "left", j.allLeft, "placed", j.placed)
}

// drop forgets a job and stops what runs for it.
func (d *dispatcher) drop(now time.Time, j *activeJob) {
	delete(d.jobs, j.ID)
	j.queued = false
	d.stopRuns(now, j, false)
}

// stopRuns stops the runs of j. Their tasks wait again once the runs have
// ended if keep is set.
func (d *dispatcher) stopRuns(now time.Time, j *activeJob, keep bool) {
	if j.placed == 0 {
		return
	}
	for _, w := range d.order {
		for _, r := range w.sorted() {
			if r.task == nil || r.task.job != j {
				continue
			}
			if !keep {
				r.task = nil
			}
			d.stop(now, w, r)
		}
	}
}

// withdraw notes that the caller behind from has left.
func (d *dispatcher) withdraw(now time.Time, from netip.AddrPort, id string) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	delete(j.receivers, from)
	if len(j.receivers) == 0 {
		d.effects.decide("job-withdrawn", id, "age", now.Sub(j.Arrived), "placed", j.placed)
		d.drop(now, j)
	}
}

// resend tells a receiver again how its jobs have ended.
func (d *dispatcher) resend(now time.Time, to netip.AddrPort) {
	for _, id := range slices.Sorted(maps.Keys(d.ends)) {
		kept := d.ends[id]
		if slices.Contains(kept.receivers, to) {
			d.settle(now, to, kept.end)
		}
	}
}
