package dispatch

import (
	"slices"
	"time"
)

// order returns what each order to w carries at now, with a lease if lease is
// set.
func (d *dispatcher) orderTo(now time.Time, w *worker, lease bool) Command {
	o := Command{Worker: w.ID, Address: w.Address, Term: d.terms[w.Zone], IssuedAt: now}
	if lease && !w.clockAt.IsZero() {
		o.Lease = w.lease(now)
		w.extend(o.Lease)
	}
	return o
}

// addRun notes a run on w.
func (d *dispatcher) addRun(w *worker, r *run) {
	w.add(r)
	if d.running[r.id] != nil {
		d.doubles[r.id] = append(d.doubles[r.id], w)
		return
	}
	d.running[r.id] = w
}

// removeRun forgets a run on w.
func (d *dispatcher) removeRun(w *worker, r *run) {
	w.remove(r)
	doubles := slices.DeleteFunc(d.doubles[r.id], func(other *worker) bool { return other == w })
	if d.running[r.id] == w {
		delete(d.running, r.id)
		if len(doubles) > 0 {
			d.running[r.id], doubles = doubles[0], doubles[1:]
		}
	}
	if len(doubles) == 0 {
		delete(d.doubles, r.id)
	} else {
		d.doubles[r.id] = doubles
	}
}

// start orders w to run t.
func (d *dispatcher) start(now time.Time, w *worker, t *task) {
	t.job.place(t)
	t.number++
	d.addRun(w, &run{
		id:      t.id,
		number:  t.number,
		task:    t,
		needs:   t.job.Steps[t.id.Step].Needs,
		since:   now,
		movedAt: now,
	})
	d.effects.Starts = append(d.effects.Starts, Start{
		Command: d.orderTo(now, w, true),
		Task:    t.id,
		Number:  t.number,
		Spec:    t.job.Spec,
	})
}

// stop orders w to end a run. The run takes room until its end is listed.
func (d *dispatcher) stop(now time.Time, w *worker, r *run) {
	r.state = runStopping
	r.stopSent = now
	r.stopped = 0
	if _, led := d.terms[w.Zone]; !led {
		// Its lease ends it.
		return
	}
	d.effects.Stops = append(d.effects.Stops, Stop{Command: d.orderTo(now, w, false), Task: r.id, Number: r.number})
}

// ended takes in the end of a run.
func (d *dispatcher) ended(now time.Time, w *worker, r *run, how RunResult) {
	d.removeRun(w, r)
	t := r.task
	if t == nil {
		return
	}
	j := t.job
	switch how {
	case RunSucceeded:
		d.learn(now, w, r)
		w.trouble = 0
		d.taskDone(now, j, t.id)
	case RunFailed:
		d.failed(now, w, t)
	default:
		j.requeue(t)
		d.queue.add(j)
	}
}

// failed takes in the failure of a run of t on w.
func (d *dispatcher) failed(now time.Time, w *worker, t *task) {
	j := t.job
	if t.failures == 0 {
		d.blame(now, w, "task-failed")
	}
	t.failures++
	t.avoid = w.ID
	d.effects.decide("run-failed", j.ID, "worker", w.ID, "step", t.id.Step, "task", t.id.Index, "run", t.number, "failures", t.failures)
	if t.failures >= j.MaxAttempts {
		d.end(now, j, End{ID: j.ID, State: Failed, Reason: "attempts"})
		return
	}
	j.requeue(t)
	d.queue.add(j)
}

// blame leaves a worker out for a time after failures in a row, unless so many are
// suspected that the cause must lie elsewhere.
func (d *dispatcher) blame(now time.Time, w *worker, why string) {
	w.trouble++
	if w.trouble < troubleLimit {
		return
	}
	if others := d.suspected(w); others >= max(1, int(maxSuspected*float64(len(d.order)))) {
		w.trouble = troubleLimit - 1
		d.effects.decide("worker-spared", w.ID, "why", why, "suspected", others, "workers", len(d.order))
		return
	}
	pause := min(refusedPause<<min(w.trouble+2, 10), 2*maxRefusedPause)
	w.notBefore = now.Add(pause)
	d.effects.decide("worker-left-out", w.ID, "why", why, "failures", w.trouble, "for", pause)
}

// suspected counts the workers other than w that failed too often in a row.
func (d *dispatcher) suspected(w *worker) int {
	n := 0
	for _, other := range d.order {
		if other != w && other.trouble >= troubleLimit {
			n++
		}
	}
	return n
}

// learn takes in the run time of a run that has ended well.
func (d *dispatcher) learn(now time.Time, w *worker, r *run) {
	if r.adopted {
		return
	}
	j := r.task.job
	step := j.Steps[r.id.Step]
	taken := now.Sub(r.since)
	atSpeedOne := time.Duration(float64(taken) * w.speed)
	expected, weight := d.estimates.expect(j.Route, step.Estimate), firstSpeedWeight
	if j.done > 0 {
		expected, weight = j.taken/time.Duration(j.done), speedWeight
	}
	w.learnSpeed(expected, taken, weight)
	j.taken += atSpeedOne
	j.done++
	d.estimates.learn(j.Route, step.Estimate, atSpeedOne)
}

// StartDone takes in a worker's answer to a Start.
func (d *dispatcher) startDone(now time.Time, s Start, outcome Outcome, clock time.Duration) {
	w := d.workers[s.Worker]
	if w == nil || d.terms[w.Zone] != s.Term {
		return
	}
	r := w.runs[s.Task]
	if r == nil || r.number != s.Number {
		return
	}
	r.clock = max(r.clock, clock)
	switch outcome {
	case Accepted:
		if r.state == runSent {
			r.state = runStarted
		}
	case OutcomeUnknown:
		d.effects.decide("start-unclear", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number)
		r.unsure = true
		d.blame(now, w, "start-unclear")
		if r.state == runSent {
			r.state = runUnclear
			d.peek(now, w)
		}
	case Fenced:
		d.fenced(now, w.Zone)
	default:
		d.refused(now, w, r, outcome)
	}
}

// refused takes in that a worker has not started a run, and never will.
func (d *dispatcher) refused(now time.Time, w *worker, r *run, outcome Outcome) {
	d.effects.decide("start-refused", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number, "why", outcome)
	switch outcome {
	case Refused:
		d.blame(now, w, "start-refused")
		w.notBefore = later(w.notBefore, now.Add(refusedPause))
	case NoResources, TooLate:
		w.notBefore = later(w.notBefore, now.Add(refusedPause))
		d.peek(now, w)
	case OldNumber:
		if r.task != nil {
			r.task.number += numberLeap
		}
	}
	d.ended(now, w, r, RunAborted)
}

// stopDone takes in a worker's answer to a Stop.
func (d *dispatcher) stopDone(now time.Time, s Stop, outcome Outcome, clock time.Duration) {
	w := d.workers[s.Worker]
	if w == nil || d.terms[w.Zone] != s.Term {
		return
	}
	r := w.runs[s.Task]
	if r == nil || r.number != s.Number || r.state != runStopping {
		return
	}
	switch outcome {
	case Accepted:
		r.stopped = clock
		d.peek(now, w)
	case Fenced:
		d.fenced(now, w.Zone)
	}
}
