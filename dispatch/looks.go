package dispatch

import "time"

const (
	// stuckAfter is the time without progress after which a run is stopped.
	stuckAfter = 400 * time.Millisecond
	// slowFactor is the multiple of its expected run time after which a run
	// counts against its worker's speed while it is still at work.
	slowFactor = 2
)

// look asks w what runs there; the answer may wait for an end.
func (d *dispatcher) look(now time.Time, w *worker, wait time.Duration) {
	d.looks++
	w.looks = d.looks
	w.lookSent = now
	acknowledged := w.processed
	if len(w.unclaimed) > 0 {
		acknowledged = w.unclaimed[0].Sequence - 1
	}
	d.effects.Polls = append(d.effects.Polls, Poll{
		Command:       d.orderTo(now, w, true),
		Number:        d.looks,
		Acknowledged:  acknowledged,
		Wait:          wait,
		NewConnection: w.misses > 0,
	})
}

// peek asks w at once, beside a look that may be outstanding.
func (d *dispatcher) peek(now time.Time, w *worker) {
	w.lookSent = time.Time{}
	w.nextLook = now
	w.peek = true
}

// lookAll sends the looks that are due.
func (d *dispatcher) lookAll(now time.Time) {
	for _, w := range d.order {
		if _, led := d.terms[w.Zone]; led {
			d.lookDue(now, w)
		}
	}
}

func (d *dispatcher) lookDue(now time.Time, w *worker) {
	switch {
	case w.lookSent.IsZero() && !now.Before(w.nextLook):
		d.look(now, w, w.wait())
	case len(w.runs) > 0 && w.seen && w.misses == 0 && w.leaseEnd-w.clock-now.Sub(w.clockAt) < leaseTime-renewAfter:
		d.look(now, w, 0)
	}
}

// wait returns for how long the next look at w may wait for an end.
func (w *worker) wait() time.Duration {
	peek := w.peek
	w.peek = false
	switch {
	case !w.seen || peek || w.misses > 0:
		return 0
	case w.foreign > 0:
		return stopTime
	case len(w.runs) > 0:
		return lookWait
	default:
		return idleWait
	}
}

// lookDone takes in the answer to a Look.
func (d *dispatcher) lookDone(now time.Time, l Poll, report Report, outcome Outcome) {
	w := d.workers[l.Worker]
	if w == nil || d.terms[w.Zone] != l.Term {
		return
	}
	latest := l.Number == w.looks
	if latest {
		w.lookSent = time.Time{}
	}
	switch outcome {
	case Accepted:
		d.report(now, w, l, report)
		if latest {
			w.nextLook = now
		}
	case Fenced:
		d.fenced(now, w.Zone)
	case OtherIncarnation:
		d.voidAll(now, w, "other-life")
		d.missed(now, w, latest)
	default:
		d.missed(now, w, latest)
	}
}

// missed takes in that a look was not answered.
func (d *dispatcher) missed(now time.Time, w *worker, latest bool) {
	if !latest {
		return
	}
	if w.misses == 0 {
		d.effects.decide("worker-silent", w.ID, "zone", w.Zone, "runs", len(w.runs))
	}
	w.misses++
	w.nextLook = now.Add(min(missPause<<min(w.misses-1, 8), maxMissPause))
}

// report takes in what w says of its runs.
func (d *dispatcher) report(now time.Time, w *worker, l Poll, rep Report) {
	if w.born != 0 && rep.Incarnation != w.born {
		d.reborn(now, w)
		w.processed, w.unclaimed, w.clockAt, w.leaseEnd = 0, nil, time.Time{}, 0
	}
	w.born = rep.Incarnation
	if !w.clockAt.IsZero() && (rep.Clock < w.clock || (rep.Clock == w.clock && l.Number < w.reported)) {
		return
	}
	w.reported = l.Number
	if w.misses > 0 {
		d.effects.decide("worker-back", w.ID, "misses", w.misses)
	}
	w.misses = 0
	w.clock, w.clockAt = rep.Clock, now
	fresh := !w.seen
	w.seen = true
	d.takeFinished(now, w, rep.Finished)
	d.takeRunning(now, w, rep)
	if fresh && len(rep.Running) > 0 {
		d.effects.decide("worker-taken-over", w.ID, "zone", w.Zone, "running", len(rep.Running), "foreign", w.foreign)
	}
}

// takeFinished takes in the ends that are new.
func (d *dispatcher) takeFinished(now time.Time, w *worker, finished []FinishedTask) {
	for _, f := range finished {
		if f.Sequence <= w.processed {
			continue
		}
		w.processed = f.Sequence
		r := w.runs[f.Task]
		known := r != nil && r.number == f.Number
		if (!known || r.foreign) && now.Sub(d.taken[w.Zone]) < grace {
			w.unclaimed = append(w.unclaimed, f)
		}
		if known {
			d.ended(now, w, r, f.Result)
			continue
		}
		if j := d.jobs[f.Task.Job]; j != nil && f.Result == RunSucceeded && r == nil {
			d.taskDone(now, j, f.Task)
		}
	}
	if len(w.unclaimed) > 0 && now.Sub(d.taken[w.Zone]) >= grace {
		w.unclaimed = nil
	}
}

// takeRunning compares what runs on w with what is known.
func (d *dispatcher) takeRunning(now time.Time, w *worker, rep Report) {
	listed := make(map[TaskID]bool, len(rep.Running))
	for _, p := range rep.Running {
		listed[p.Task] = true
		r := w.runs[p.Task]
		if r == nil || r.number != p.Number {
			d.found(now, w, p)
			continue
		}
		d.progress(now, w, r, p.Percent)
	}
	if len(w.runs) == len(listed) {
		return
	}
	for _, r := range w.sorted() {
		if !listed[r.id] {
			d.absent(now, w, r, rep.Clock)
		}
	}
}

// found takes in a run that this leader did not order, or not with that number.
func (d *dispatcher) found(now time.Time, w *worker, p RunningTask) {
	if known := w.runs[p.Task]; known != nil {
		d.renumber(now, w, known, p)
		return
	}
	r := &run{id: p.Task, number: p.Number, foreign: true, since: now, movedAt: now, percent: p.Percent, state: runStarted}
	if other := d.running[p.Task]; other != nil {
		// The task may be at work on another worker, too: both runs end.
		d.stopTask(now, other, p.Task)
		d.addRun(w, r)
		d.stop(now, w, r)
		return
	}
	d.addRun(w, r)
	j := d.jobs[p.Task.Job]
	if j == nil || p.Task.Step >= len(j.steps) || p.Task.Index >= len(j.steps[p.Task.Step]) {
		return
	}
	d.adopt(w, j.steps[p.Task.Step][p.Task.Index])
}

// renumber takes in that a worker runs another number of a task than is known:
// another leader has started it since, or a late order was carried out. It ends
// before the task is started anew.
func (d *dispatcher) renumber(now time.Time, w *worker, known *run, p RunningTask) {
	if p.Number > known.number {
		known.number = p.Number
		d.stop(now, w, known)
		return
	}
	d.effects.Stops = append(d.effects.Stops, Stop{Command: d.orderTo(now, w, false), Task: p.Task, Number: p.Number})
}

// stopTask stops the run of a task on w, unless that is under way.
func (d *dispatcher) stopTask(now time.Time, w *worker, id TaskID) {
	if r := w.runs[id]; r != nil && r.state != runStopping {
		d.stop(now, w, r)
	}
}

// progress takes in that r is at work.
func (d *dispatcher) progress(now time.Time, w *worker, r *run, percent int) {
	if r.state == runSent || r.state == runUnclear {
		r.state = runStarted
	}
	if percent != r.percent {
		r.percent, r.movedAt = percent, now
	}
	if r.task == nil || r.state != runStarted {
		return
	}
	if now.Sub(r.movedAt) > stuckAfter {
		d.effects.decide("run-stuck", r.id.Job, "worker", w.ID, "run", r.number, "percent", percent, "still-for", now.Sub(r.movedAt))
		d.blame(now, w, "run-stuck")
		r.task.avoid = w.ID
		d.stop(now, w, r)
		return
	}
	j := r.task.job
	expected := d.estimates.expect(j.Route, j.Steps[r.id.Step].Estimate)
	elapsed := now.Sub(r.since)
	if percent > 0 && elapsed > slowFactor*w.on(expected) {
		w.learnSpeed(time.Duration(float64(expected)*float64(percent)/100), elapsed, slowWeight)
	}
}

// absent takes in that r neither runs nor has ended, by a report that the worker
// made at clock.
func (d *dispatcher) absent(now time.Time, w *worker, r *run, clock time.Duration) {
	switch r.state {
	case runSent:
		return
	case runUnclear:
		d.stop(now, w, r)
	case runStopping:
		if r.stopped > 0 && clock > r.stopped {
			d.void(now, w, r, "never-started")
		}
	case runStarted:
		if clock > r.clock && r.clock > 0 {
			d.void(now, w, r, "vanished")
		}
	}
}

// void ends a run that cannot be at work any more.
func (d *dispatcher) void(now time.Time, w *worker, r *run, why string) {
	d.effects.decide("run-void", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number, "why", why)
	d.ended(now, w, r, RunAborted)
}

// voidAll ends all runs on w.
func (d *dispatcher) voidAll(now time.Time, w *worker, why string) {
	for _, r := range w.sorted() {
		d.void(now, w, r, why)
	}
}

// reborn takes in that w is in another life. Its runs have ended, but an order
// that was not answered may still reach the new life.
func (d *dispatcher) reborn(now time.Time, w *worker) {
	for _, r := range w.sorted() {
		if r.unsure || r.state == runSent {
			d.stop(now, w, r)
			continue
		}
		d.void(now, w, r, "reborn")
	}
}

// watch moves what depends on the time on all workers.
func (d *dispatcher) watch(now time.Time) {
	for _, w := range append([]*worker(nil), d.order...) {
		if len(w.runs) > 0 {
			d.watchRuns(now, w)
		}
		d.forgetWorker(now, w)
	}
}

func (d *dispatcher) watchRuns(now time.Time, w *worker) {
	_, led := d.terms[w.Zone]
	if (w.misses > 0 || !led || !w.seen) && w.lapsed(now) {
		d.voidAll(now, w, "lapsed")
		return
	}
	if !led {
		return
	}
	for _, r := range w.sorted() {
		switch {
		case r.foreign && r.state == runStarted && now.Sub(r.since) > grace:
			d.effects.decide("run-unclaimed", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number)
			d.stop(now, w, r)
		case r.state == runStopping && r.stopped == 0 && now.Sub(r.stopSent) > stopAgain:
			d.stop(now, w, r)
		}
	}
}
