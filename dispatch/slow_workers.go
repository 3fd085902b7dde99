package dispatch

import "time"

// runTimeOn returns the run time on w of a task of step that takes expected at speed 1 where
// its data is.
func (d *dispatcher) runTimeOn(w *worker, step *Step, expected time.Duration) time.Duration {
	runTime := w.runTime(expected)
	if step.Rack != "" && step.Rack != w.Rack {
		runTime = time.Duration(float64(runTime) * d.remoteRackFactor)
	}
	return runTime
}

// fasterSoon reports whether a task that can end in runTime on a free worker would end earlier
// on a faster one that is expected to come free, so that it should wait. It should not if
// jobs ahead of it wait, too: they get the worker.
//
// A task that can still end in time waits for a worker on which it does (chooseWorker), so
// this matters to late ones only.
func (d *dispatcher) fasterSoon(now time.Time, t *task, expected, runTime time.Duration) bool {
	if d.waitingAhead {
		return false
	}
	step := &t.job.Steps[t.id.Step]
	for _, w := range d.ledWorkers() {
		onIt := d.runTimeOn(w, step, expected)
		if onIt >= runTime || w.Pool != t.job.Pool || !d.available(now, w) || d.unreadZones[w.shard] ||
			!w.eligible(step, t) || !d.startsAllowed(now, w) {
			continue
		}
		if free, known := d.roomIn(now, w, step.Needs); known && free+onIt < runTime {
			return true
		}
	}
	return false
}

// roomIn returns the expected time until a run on w ends that leaves room for needs, and
// whether there is such a run. A run that takes longer than expected is expected to take as
// long again as it is overdue.
func (d *dispatcher) roomIn(now time.Time, w *worker, needs Resources) (time.Duration, bool) {
	var first time.Duration
	found := false
	for _, r := range w.runs {
		if r.task == nil || r.adopted || !w.free().plus(r.needs).fits(needs) {
			continue
		}
		j := r.task.job
		step := &j.Steps[r.id.Step]
		left := d.runTimeOn(w, step, d.estimates.expectedRunTime(j.Route, step.Estimate)) - now.Sub(r.since)
		if left < 0 {
			left = -left
		}
		if !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}
