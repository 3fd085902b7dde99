package dispatch

import (
	"slices"
	"time"
)

// commandTo returns the command header for w at now. If lease is set, and the worker's clock
// and runs are known, it renews the lease of w as far as leaseLimit allows.
func (d *dispatcher) commandTo(now time.Time, w *worker, lease bool) Command {
	command := Command{Worker: w.ID, Address: w.Address, Term: d.token(w), claim: d.terms[w.shard], IssuedAt: now, SendBefore: now.Add(maxCommandAge)}
	if _, until := d.mayCommand(now, w.shard); !until.IsZero() && until.Before(command.SendBefore) {
		command.SendBefore = until
	}
	if !lease || !w.polled || w.clockAt.IsZero() {
		return command
	}
	if limit := d.leaseLimit(now, w); limit.After(now) {
		command.Lease = w.leaseUntil(limit)
		w.renewedUntil = command.Lease
		w.extendLease(command.Lease)
	}
	return command
}

// addRun records a run on w.
func (d *dispatcher) addRun(w *worker, r *run) {
	w.add(r)
	if d.running[r.id] != nil {
		d.duplicates[r.id] = append(d.duplicates[r.id], w)
		return
	}
	d.running[r.id] = w
}

// removeRun removes a run from w.
func (d *dispatcher) removeRun(w *worker, r *run) {
	w.remove(r)
	if r.mayStartLate {
		w.lateStart.add(r)
	}
	duplicates := slices.DeleteFunc(d.duplicates[r.id], func(other *worker) bool { return other == w })
	if d.running[r.id] == w {
		delete(d.running, r.id)
		if len(duplicates) > 0 {
			d.running[r.id], duplicates = duplicates[0], duplicates[1:]
		}
	}
	if len(duplicates) == 0 {
		delete(d.duplicates, r.id)
	} else {
		d.duplicates[r.id] = duplicates
	}
}

// workersRunning returns the workers on which a task may be running, whatever its state and
// that of its job.
func (d *dispatcher) workersRunning(id TaskID) []*worker {
	if d.running[id] == nil {
		return nil
	}
	return append([]*worker{d.running[id]}, d.duplicates[id]...)
}

// start issues a command to run t, which waits, on w.
func (d *dispatcher) start(now time.Time, w *worker, t *task) {
	if !t.apply(eventPlace) {
		return
	}
	t.number++
	r := &run{
		id:         t.id,
		token:      d.token(w),
		number:     t.number,
		needs:      t.job.Steps[t.id.Step].Needs,
		since:      now,
		progressAt: now,
	}
	r.attach(t)
	d.addRun(w, r)
	d.hedgeBudget.earn()
	d.effects.Starts = append(d.effects.Starts, Start{
		Command: d.commandTo(now, w, true),
		Task:    t.id,
		Number:  t.number,
		Spec:    t.job.Spec,
	})
}

// stop issues a command to end a run. The run uses resources until the worker has
// reported its end.
func (d *dispatcher) stop(now time.Time, w *worker, r *run) {
	r.confirmedAt = d.runConfirmedAt(now, r)
	r.mayStartLate = r.mayStartLate || r.state == runSent
	r.state = runStopping
	r.stopSent = now
	r.stopClock = 0
	r.stopTries++
	if _, led := d.terms[w.shard]; !led {
		// The run ends when its lease expires.
		return
	}
	if from, _ := d.mayCommand(now, w.shard); now.Before(from) {
		// The stop is issued again later.
		return
	}
	d.effects.Stops = append(d.effects.Stops, Stop{Command: d.commandTo(now, w, false), Task: r.id, Number: r.number})
}

// runEnded handles the end of a run.
func (d *dispatcher) runEnded(now time.Time, w *worker, r *run, result RunResult) {
	d.removeRun(w, r)
	runTime, measured := w.measuredRunTime(r)
	if result != RunAborted {
		d.startConfirmed(now, w, r)
		d.runSettled(now, w, r, "ended")
	}
	t := r.task
	if t == nil {
		if result == RunSucceeded {
			d.unneededRunSucceeded(now, r.id)
		}
		return
	}
	r.detach()
	switch result {
	case RunSucceeded:
		if measured {
			// The commands and the report take time, too.
			d.recordRunTime(w, t, runTime+w.trip)
		}
		w.failuresInRow = 0
		d.taskSucceeded(now, t)
	case RunFailed:
		d.runFailed(now, w, t)
	default:
		d.requeue(t)
	}
}

// unneededRunSucceeded handles the success of a run for which no task of this leader waited
// when it ended: the job may have been submitted again, or an earlier leader may have started
// the run.
func (d *dispatcher) unneededRunSucceeded(now time.Time, id TaskID) {
	j := d.jobs[id.Job]
	if j == nil {
		return
	}
	if t := j.task(id); t != nil {
		d.taskSucceeded(now, t)
	}
}

// requeue makes t, whose run has ended without success, wait for another one.
func (d *dispatcher) requeue(t *task) {
	if t.apply(eventLoseRun) {
		d.queue.add(t.job)
	}
}

// runFailed handles a failed run of t on w. Only the first failure of a task counts
// against its worker.
func (d *dispatcher) runFailed(now time.Time, w *worker, t *task) {
	j := t.job
	if t.failures == 0 {
		d.recordFailure(now, w, "task-failed")
	}
	t.failures++
	t.avoidWorker = w.ID
	d.effects.decide("run-failed", j.ID, "worker", w.ID, "step", t.id.Step, "task", t.id.Index, "run", t.number, "failures", t.failures)
	if t.failures >= j.MaxAttempts {
		d.endJob(now, j, End{ID: j.ID, State: Failed, Reason: "attempts"})
		return
	}
	d.requeue(t)
}

// recordFailure counts a failure of w and excludes w for a time after failures in a
// row, unless too many other workers fail: the cause is then unlikely to be the
// worker.
func (d *dispatcher) recordFailure(now time.Time, w *worker, why string) {
	w.failuresInRow++
	if w.failuresInRow < failureLimit {
		return
	}
	if others := d.countSuspected(w); others >= max(1, int(maxExcludedShare*float64(len(d.ledWorkers())))) {
		w.failuresInRow = failureLimit - 1
		d.effects.decide("worker-not-excluded", w.ID, "why", why, "suspected", others, "workers", len(d.ledWorkers()))
		return
	}
	pause := min(refusalPause<<min(w.failuresInRow+2, 10), 2*exclusionLimit)
	w.excludedUntil = now.Add(pause)
	d.effects.decide("worker-excluded", w.ID, "why", why, "failures", w.failuresInRow, "for", pause)
}

// countSuspected counts the workers other than w with failureLimit or more failures
// in a row.
func (d *dispatcher) countSuspected(w *worker) int {
	n := 0
	for _, other := range d.ledWorkers() {
		if other != w && other.failuresInRow >= failureLimit {
			n++
		}
	}
	return n
}

// recordRunTime updates the estimates with the run time of a run of t that has succeeded.
func (d *dispatcher) recordRunTime(w *worker, t *task, runTime time.Duration) {
	j := t.job
	step := j.Steps[t.id.Step]
	atSpeedOne := time.Duration(float64(runTime) * w.speed)
	expected, weight := d.estimates.expectedRunTime(j.Route, step.Estimate), firstSpeedWeight
	if j.succeeded > 0 {
		expected, weight = j.runTimeSum/time.Duration(j.succeeded), speedWeight
	}
	d.estimates.recordSpread(j.Route, w.runTime(expected), runTime)
	w.updateSpeed(expected, runTime, w.speedWeight(weight))
	j.runTimeSum += atSpeedOne
	j.succeeded++
	d.estimates.record(j.Route, step.Estimate, atSpeedOne)
}

// startDone handles the outcome of a Start.
func (d *dispatcher) startDone(now time.Time, s Start, outcome Outcome, clock time.Duration) {
	w := d.workers[s.Worker]
	if w == nil || !d.current(w, s.Command) {
		return
	}
	if outcome.isAnswer() {
		d.answered(now, w, s.IssuedAt, true)
	}
	w.clockBound.note(s.IssuedAt, clock)
	r := w.runs[s.Task]
	if r == nil || r.number != s.Number {
		return
	}
	r.answerClock = max(r.answerClock, clock)
	switch outcome {
	case Accepted:
		d.startConfirmed(now, w, r)
		if r.state == runStarted {
			d.expectEnd(now, w, r)
		}
	case OutcomeUnknown:
		d.startUnanswered(now, w, r)
	case Fenced:
		if d.fencedByLeader(w, s.Command) {
			d.onFenced(now, w.shard)
			return
		}
		d.startRefused(now, w, r, outcome)
	default:
		d.startRefused(now, w, r, outcome)
	}
}

// startUnanswered handles a Start whose outcome is unknown.
func (d *dispatcher) startUnanswered(now time.Time, w *worker, r *run) {
	if r.state == runStarted {
		return // a poll has settled it
	}
	d.effects.decide("start-outcome-unknown", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number)
	r.mayStartLate = true
	d.markUncertain(now, w, r)
	if r.state == runUnknown {
		d.pollNow(now, w)
	}
}

// startRefused handles the outcome of a Start that the worker has not carried out and
// never will.
func (d *dispatcher) startRefused(now time.Time, w *worker, r *run, outcome Outcome) {
	r.mayStartLate = false
	d.effects.decide("start-refused", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number, "why", outcome)
	switch outcome {
	case Refused:
		d.recordFailure(now, w, "start-refused")
		w.excludedUntil = later(w.excludedUntil, now.Add(refusalPause))
	case NoResources, TooLate:
		w.excludedUntil = later(w.excludedUntil, now.Add(refusalPause))
		d.pollNow(now, w)
	case OldNumber:
		if r.task != nil {
			r.task.number += runNumberSkip
		}
	}
	d.runEnded(now, w, r, RunAborted)
}

// stopDone handles the outcome of a Stop.
func (d *dispatcher) stopDone(now time.Time, s Stop, outcome Outcome, clock time.Duration) {
	w := d.workers[s.Worker]
	if w == nil || !d.current(w, s.Command) {
		return
	}
	if outcome.isAnswer() {
		d.answered(now, w, s.IssuedAt, true)
	}
	r := w.runs[s.Task]
	if r == nil || r.number != s.Number || r.state != runStopping {
		return
	}
	switch outcome {
	case Accepted:
		if s.IssuedAt.Before(w.incarnationSince) {
			return // perhaps the answer of a former incarnation, with another clock
		}
		r.stopClock = clock
		r.endDue = now
		if !r.mayStartLate {
			d.expectEnd(now, w, r)
		}
		w.sidePollDue = true
		d.pollDue = append(d.pollDue, w)
	case Fenced:
		if d.fencedByLeader(w, s.Command) {
			d.onFenced(now, w.shard)
		}
	}
}
