package dispatch

import "time"

const (
	// stallTimeout is the time without progress after which a run is stopped.
	stallTimeout = 400 * time.Millisecond
	// slowFactor is the multiple of its expected run time after which an unfinished
	// run lowers the speed of its worker.
	slowFactor = 2
)

// poll issues a poll of w. The worker may wait for up to wait for a run to end.
func (d *dispatcher) poll(now time.Time, w *worker, wait time.Duration) {
	d.hedgeBudget.earn()
	w.pollSent, w.pollWait = now, wait
	w.latestPoll = d.sendPoll(now, w, wait)
}

// sendPoll issues a poll of w and returns its number.
func (d *dispatcher) sendPoll(now time.Time, w *worker, wait time.Duration) uint64 {
	d.pollCount++
	acknowledged := w.lastProcessed
	if len(w.unclaimedEnds) > 0 {
		acknowledged = w.unclaimedEnds[0].Sequence - 1
	}
	d.effects.Polls = append(d.effects.Polls, Poll{
		Command:       d.commandTo(now, w, true),
		Number:        d.pollCount,
		Acknowledged:  acknowledged,
		Wait:          wait,
		NewConnection: w.missedPolls > 0,
	})
	return d.pollCount
}

// pollNow makes an immediate poll of w due, even if a poll is outstanding.
func (d *dispatcher) pollNow(now time.Time, w *worker) {
	w.pollSent = time.Time{}
	w.nextPoll = now
	w.immediatePoll = true
	d.pollDue = append(d.pollDue, w)
}

// issuePolls issues the polls that are due. A poll becomes due by an event at its worker,
// which is then in pollDue, or by the passing of time, which ticks follow.
func (d *dispatcher) issuePolls(now time.Time) {
	due := d.pollDue
	if d.pollAny {
		due = d.ledWorkers()
	}
	for _, w := range due {
		if _, led := d.terms[w.shard]; led && d.workers[w.ID] == w {
			d.pollIfDue(now, w)
		}
	}
	d.pollDue, d.pollAny = d.pollDue[:0], false
}

func (d *dispatcher) pollIfDue(now time.Time, w *worker) {
	if from, _ := d.mayCommand(now, w.shard); now.Before(from) {
		return
	}
	switch {
	case w.pollSent.IsZero() && !now.Before(w.nextPoll):
		d.poll(now, w, w.wait())
	case d.renewalDue(now, w):
		d.poll(now, w, 0)
	}
	d.pollOverdue(now, w)
}

// wait returns the time for which w may delay its answer to the next poll.
func (w *worker) wait() time.Duration {
	immediate := w.immediatePoll
	w.immediatePoll = false
	switch {
	case !w.polled || immediate || w.missedPolls > 0:
		return 0
	case w.orphans > 0:
		return maxStopTime
	case len(w.runs) > 0:
		return pollWait
	default:
		return idlePollWait
	}
}

// pollDone handles the outcome of poll.
func (d *dispatcher) pollDone(now time.Time, poll Poll, report Report, outcome Outcome) {
	w := d.workers[poll.Worker]
	if w == nil || !d.current(w, poll.Command) {
		return
	}
	latest := poll.Number == w.latestPoll
	if latest {
		w.pollSent = time.Time{}
	}
	processed := w.lastProcessed
	switch outcome {
	case Accepted:
		d.applyReport(now, w, poll, report)
		d.answered(now, w, poll.IssuedAt, poll.Wait == 0)
		if latest {
			w.nextPoll = now
			d.pollDue = append(d.pollDue, w)
		}
	case Fenced:
		if d.fencedByLeader(w, poll.Command) {
			d.onFenced(now, w.shard)
			return
		}
		d.pollDue = append(d.pollDue, w)
	case OtherIncarnation:
		d.concludeAllRuns(now, w, "other-life")
		d.pollMissed(now, w, poll, latest)
	default:
		d.pollMissed(now, w, poll, latest)
	}
	d.sidePollDone(now, w, poll, w.lastProcessed > processed)
}

// pollMissed handles a poll without an answer. It is followed by another one at once; if
// that gets none either, later ones follow after growing pauses. A worker that has answered
// another command since is live: it stays in use.
func (d *dispatcher) pollMissed(now time.Time, w *worker, poll Poll, latest bool) {
	if !latest {
		return
	}
	d.pollDue = append(d.pollDue, w)
	w.nextPoll = now
	if w.answeredAt.After(poll.IssuedAt) {
		return
	}
	if w.missedPolls == 0 {
		d.effects.decide("worker-silent", w.ID, "zone", w.Zone, "runs", len(w.runs))
	}
	w.missedPolls++
	if w.missedPolls > 1 {
		d.raiseToken(w)
		w.nextPoll = now.Add(min(pollRetryDelay<<min(w.missedPolls-2, 8), maxPollRetryDelay))
	}
}

// applyReport applies a worker's report to its runs.
func (d *dispatcher) applyReport(now time.Time, w *worker, poll Poll, report Report) {
	if w.incarnation != 0 && report.Incarnation != w.incarnation {
		if poll.IssuedAt.Before(w.incarnationSince) {
			return // a late answer of a former incarnation
		}
		d.workerRestarted(now, w)
		w.lastProcessed, w.unclaimedEnds, w.clockAt, w.leaseEnd, w.renewedUntil = 0, nil, time.Time{}, 0, 0
		w.clockBound = clockBound{}
	}
	if w.incarnation != report.Incarnation {
		w.incarnation, w.incarnationSince = report.Incarnation, now
	}
	if !w.clockAt.IsZero() && (report.Clock < w.clock || (report.Clock == w.clock && poll.Number < w.latestReport)) {
		return
	}
	// Of two reports of the same time either may be the later one.
	sameTime := w.polled && !w.clockAt.IsZero() && report.Clock == w.clock
	w.latestReport = poll.Number
	if w.missedPolls > 0 {
		d.effects.decide("worker-back", w.ID, "misses", w.missedPolls)
		w.nextPoll = now
		d.pollDue = append(d.pollDue, w)
	}
	w.missedPolls = 0
	w.clockBound.note(poll.IssuedAt, report.Clock)
	w.endsWithin = d.endsReportedWithin(w, poll, report)
	w.clock, w.clockAt = report.Clock, now
	fresh := !w.polled
	if fresh {
		// An earlier leader may have renewed the lease just before.
		w.extendLease(w.clock + leaseDuration)
	}
	w.polled = true
	d.applyFinished(now, w, report.Finished)
	d.applyRunning(now, w, poll, report, sameTime)
	if fresh && len(report.Running) > 0 {
		d.effects.decide("worker-taken-over", w.ID, "zone", w.Zone, "running", len(report.Running), "orphaned", w.orphans)
	}
}

// applyFinished handles the ends that are new.
func (d *dispatcher) applyFinished(now time.Time, w *worker, finished []FinishedTask) {
	for _, f := range finished {
		if f.Sequence <= w.lastProcessed {
			continue
		}
		w.lastProcessed = f.Sequence
		r := w.runs[f.Task]
		known := r != nil && r.number == f.Number
		if (!known || r.orphaned) && now.Sub(d.takenOver[w.shard]) < orphanGracePeriod {
			w.unclaimedEnds = append(w.unclaimedEnds, f)
		}
		switch {
		case known:
			d.runEnded(now, w, r, f.Result)
		case f.Result == RunSucceeded:
			d.unneededRunSucceeded(now, f.Task)
		}
	}
	if len(w.unclaimedEnds) > 0 && now.Sub(d.takenOver[w.shard]) >= orphanGracePeriod {
		w.unclaimedEnds = nil
	}
}

// applyRunning compares the reported runs with the known runs. If sameTime is set, the report
// may be older than the one before: a run that only this one lists may have ended.
func (d *dispatcher) applyRunning(now time.Time, w *worker, poll Poll, report Report, sameTime bool) {
	listed := make(map[TaskID]bool, len(report.Running))
	for _, p := range report.Running {
		listed[p.Task] = true
		r := w.runs[p.Task]
		if r == nil || r.number != p.Number {
			if !sameTime {
				d.runFound(now, w, p)
			}
			continue
		}
		d.recordProgress(now, w, r, p.Percent)
	}
	if len(w.runs) == len(listed) {
		return
	}
	for _, r := range w.sortedRuns() {
		if !listed[r.id] {
			d.runAbsent(now, w, r, poll, report.Clock)
		}
	}
}

// runFound handles a run that this leader did not start, or started with another
// number.
func (d *dispatcher) runFound(now time.Time, w *worker, p RunningTask) {
	if known := w.runs[p.Task]; known != nil {
		d.runNumberMismatch(now, w, known, p)
		return
	}
	r := &run{id: p.Task, number: p.Number, orphaned: true, since: now, progressAt: now, percent: p.Percent, state: runStarted}
	if other := d.running[p.Task]; other != nil {
		// The task may be running on another worker, too. Both runs are stopped.
		d.effects.decide("run-duplicate", p.Task.Job, "step", p.Task.Step, "task", p.Task.Index, "worker", w.ID, "run", p.Number,
			"other", other.ID, "other-run", other.runs[p.Task].number, "other-polled", other.polled)
		d.stopRun(now, other, other.runs[p.Task])
		d.addRun(w, r)
		d.stop(now, w, r)
		return
	}
	d.addRun(w, r)
	j := d.jobs[p.Task.Job]
	if j == nil {
		return
	}
	if t := j.task(p.Task); t != nil {
		d.adopt(now, w, t)
	}
}

// runNumberMismatch handles a run that has another number than the known run of its
// task: another leader has started it since, or a late start command was carried out.
// The run is stopped before the task is started again.
func (d *dispatcher) runNumberMismatch(now time.Time, w *worker, known *run, p RunningTask) {
	if p.Number > known.number {
		known.number = p.Number
		d.stop(now, w, known)
		return
	}
	d.effects.Stops = append(d.effects.Stops, Stop{Command: d.commandTo(now, w, false), Task: p.Task, Number: p.Number})
}

// recordProgress handles a report that r is running. It stops a run that has stalled.
func (d *dispatcher) recordProgress(now time.Time, w *worker, r *run, percent int) {
	d.startConfirmed(now, w, r)
	if percent != r.percent {
		r.percent, r.progressAt = percent, now
	}
	d.expectEnd(now, w, r)
	if r.task == nil || r.state != runStarted {
		return
	}
	if now.Sub(r.progressAt) > stallTimeout {
		d.effects.decide("run-stalled", r.id.Job, "worker", w.ID, "run", r.number, "percent", percent, "no-progress-for", now.Sub(r.progressAt))
		d.recordFailure(now, w, "run-stalled")
		r.task.avoidWorker = w.ID
		d.stop(now, w, r)
		return
	}
	j := r.task.job
	expected := d.estimates.expectedRunTime(j.Route, j.Steps[r.id.Step].Estimate)
	elapsed := w.elapsed(r)
	if percent > 0 && elapsed > slowFactor*w.runTime(expected) {
		w.updateSpeed(time.Duration(float64(expected)*float64(percent)/100), elapsed, slowRunWeight)
	}
}

// runAbsent handles a report, the answer to poll made at clock, in which r is neither
// running nor finished.
func (d *dispatcher) runAbsent(now time.Time, w *worker, r *run, poll Poll, clock time.Duration) {
	switch r.state {
	case runSent:
		return
	case runUnknown:
		if poll.IssuedAt.Before(r.uncertainSince) {
			return // the start command may have arrived after this poll
		}
		d.startLost(now, w)
		d.stop(now, w, r)
	case runStopping:
		if r.stopClock > 0 && clock > r.stopClock {
			d.concludeRun(now, w, r, "never-started")
		}
	case runStarted:
		if clock > r.answerClock && r.answerClock > 0 {
			d.concludeRun(now, w, r, "vanished")
		}
	}
}

// concludeRun concludes that a run is not running any more.
func (d *dispatcher) concludeRun(now time.Time, w *worker, r *run, why string) {
	if r.state == runSent {
		r.mayStartLate = true
	}
	d.effects.decide("run-not-running", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number, "why", why)
	d.runSettled(now, w, r, why)
	d.runEnded(now, w, r, RunAborted)
}

// concludeAllRuns concludes that no run on w is running any more.
func (d *dispatcher) concludeAllRuns(now time.Time, w *worker, why string) {
	for _, r := range w.sortedRuns() {
		d.concludeRun(now, w, r, why)
	}
}

// workerRestarted handles a new incarnation of w. The earlier runs have ended, but a
// start command without an answer may still reach the new incarnation. Such a run is
// stopped instead of concluded.
func (d *dispatcher) workerRestarted(now time.Time, w *worker) {
	d.raiseToken(w)
	for _, r := range w.sortedRuns() {
		if r.mayStartLate || r.state == runSent {
			r.mayStartLate = true
			d.stop(now, w, r)
			continue
		}
		d.concludeRun(now, w, r, "restarted")
	}
}

// checkWorkers handles what depends on the time at all workers.
func (d *dispatcher) checkWorkers(now time.Time) {
	for _, w := range append([]*worker(nil), d.sortedWorkers...) {
		if len(w.runs) > 0 {
			d.checkRuns(now, w)
		}
		d.removeWorker(now, w)
	}
}

func (d *dispatcher) checkRuns(now time.Time, w *worker) {
	_, led := d.terms[w.shard]
	if (w.missedPolls > 0 || !led || !w.polled) && w.allRunsExpired(now) {
		d.concludeAllRuns(now, w, "lapsed")
		d.raiseToken(w)
		return
	}
	if !led {
		return
	}
	d.giveUpUnsettled(now, w)
	for _, r := range w.sortedRuns() {
		switch {
		case r.orphaned && r.state == runStarted && now.Sub(r.since) > orphanGracePeriod:
			d.effects.decide("run-unclaimed", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number)
			d.stop(now, w, r)
		case d.stopRetryDue(now, w, r):
			d.stop(now, w, r)
		}
	}
}
