package dispatch

import (
	"math"
	"time"
)

const (
	// maxHedges is the number of extra polls of a worker in a row without an answer of
	// any kind, each after twice the time of the one before. After that the time-outs of
	// the commands decide.
	maxHedges = 5
	// minRunSpread is the smallest deviation of the logarithm of a run time from the
	// expected one that is assumed, and runSpreads the number of deviations after which
	// the end of a run is overdue.
	minRunSpread = 0.05
	runSpreads   = 2
	// unknownRunSpread is the deviation before any run time is known: the end of a run is
	// overdue after twice its expected run time.
	unknownRunSpread = math.Ln2 / runSpreads
	// minProgress is the least progress, in percent, that predicts the end of a run better
	// than the expected run time.
	minProgress = 25
	// maxTickGap is the time between two ticks above which the process counts as paused.
	maxTickGap = 50 * time.Millisecond
	// overrunGrowth is the factor by which a run without reported progress exceeds its
	// expected run time before its worker is asked again.
	overrunGrowth = 1.5
	// confirmedStartWindow is the time for which a confirmed start shows that a worker carries
	// out starts, and lostStartLimit the number of lost starts in a row at which they count
	// as failures of such a worker nevertheless.
	confirmedStartWindow = time.Second
	lostStartLimit       = 4
)

// answered records that w itself has answered a command that was issued at issuedAt. If
// prompt is set, the worker did not wait before it answered.
func (d *dispatcher) answered(now time.Time, w *worker, issuedAt time.Time, prompt bool) {
	if prompt {
		w.trip = min(w.trip, max(now.Sub(issuedAt), 0))
		w.answers.record(now.Sub(issuedAt))
		d.typicalAnswers.record(now.Sub(issuedAt))
	}
	w.answeredAt = now
	w.unresponsive = false
	w.hedges = 0
}

// suspect records that a command that was issued at issuedAt is overdue. The worker gets no
// further task until it answers, unless it has answered another command since.
func (w *worker) suspect(issuedAt time.Time) {
	if !w.answeredAt.After(issuedAt) {
		w.unresponsive = true
	}
}

// overdueAfter returns the time after which an answer of w is overdue.
func (d *dispatcher) overdueAfter(w *worker) time.Duration {
	if w.answers.known {
		return w.answers.overdue()
	}
	return d.typicalAnswers.overdue()
}

// isAnswer reports whether o shows that the intended worker has received the command.
func (o Outcome) isAnswer() bool {
	return o != OutcomeUnknown && o != OtherIncarnation && o != NotSent
}

// markUncertain records that the start command of r has no answer although it should have one.
func (d *dispatcher) markUncertain(now time.Time, w *worker, r *run) {
	w.suspect(r.since)
	if r.state != runSent {
		return
	}
	r.state = runUnknown
	r.mayStartLate = true
	r.uncertainSince = now
	d.effects.routine("run-in-doubt", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number,
		"after", now.Sub(r.since))
}

// runSettled records what has become of r, if its state was uncertain.
func (d *dispatcher) runSettled(now time.Time, w *worker, r *run, as string) {
	if r.uncertainSince.IsZero() {
		return
	}
	d.effects.routine("run-settled", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number,
		"as", as, "after", now.Sub(r.uncertainSince))
	r.uncertainSince = time.Time{}
}

// startConfirmed records that w has carried out the start command of r.
func (d *dispatcher) startConfirmed(now time.Time, w *worker, r *run) {
	r.mayStartLate = false
	w.lostStarts = 0
	w.startConfirmedAt = now
	if r.state == runSent || r.state == runUnknown {
		r.state = runStarted
		d.runSettled(now, w, r, "started")
	}
}

// startLost records that w has not carried out a start command that it should have
// received. Only starts that are lost in a row, or at a worker that carries out no others,
// count as failures: the cause is then likely to be the worker.
func (d *dispatcher) startLost(now time.Time, w *worker) {
	w.lostStarts++
	if now.Sub(w.startConfirmedAt) < confirmedStartWindow && w.lostStarts < lostStartLimit {
		return
	}
	d.recordFailure(now, w, "start-outcome-unknown")
}

// expectEnd sets the time by which r, which is running at now, should have ended.
func (d *dispatcher) expectEnd(now time.Time, w *worker, r *run) {
	if r.state == runStopping {
		r.endDue = now.Add(maxStopTime)
		return
	}
	elapsed := now.Sub(r.since)
	if r.adopted || r.task == nil {
		r.endDue = now.Add(max(pollWait, elapsed/2))
		return
	}
	j := r.task.job
	total := w.runTime(d.estimates.expectedRunTime(j.Route, j.Steps[r.id.Step].Estimate))
	if r.percent >= minProgress || (r.percent > 0 && elapsed > total) {
		total = elapsed * 100 / time.Duration(r.percent)
	}
	spread := math.Exp(runSpreads * d.estimates.spread(j.Route))
	r.endDue = r.since.Add(time.Duration(float64(total) * spread))
	if !r.endDue.After(now) {
		r.endDue = r.since.Add(time.Duration(float64(elapsed) * overrunGrowth))
	}
}

// spread returns the mean deviation of the logarithm of a run time of route from the
// expected one.
func (e estimates) spread(route string) float64 {
	if r := e[route]; r != nil && r.spreadKnown {
		return max(r.spread, minRunSpread)
	}
	return unknownRunSpread
}

// recordSpread updates the spread of route with a run that took runTime and was expected
// to take expected.
func (e estimates) recordSpread(route string, expected, runTime time.Duration) {
	r := e[route]
	if r == nil || expected <= 0 || runTime <= 0 {
		return
	}
	deviation := math.Abs(math.Log(runTime.Seconds() / expected.Seconds()))
	if !r.spreadKnown {
		r.spread, r.spreadKnown = deviation, true
		return
	}
	r.spread += estimateWeight * (deviation - r.spread)
}

// noteTick records a tick. After a pause of the process, answers that have arrived meanwhile
// are handled before any counts as overdue.
func (d *dispatcher) noteTick(now time.Time) {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > maxTickGap {
		d.overdueFrom = now.Add(minHedgeDelay)
	}
	d.lastTick = now
}

// pollOverdue polls w at once, beside an outstanding poll, if an answer or the end of a run
// is overdue.
func (d *dispatcher) pollOverdue(now time.Time, w *worker) {
	overdue := !now.Before(d.overdueFrom) && d.findOverdue(now, w)
	switch {
	case w.sidePollDue:
	case !overdue || w.hedges >= maxHedges || w.missedPolls > 1:
		return
	case !w.sidePollSent.IsZero() && now.Sub(w.sidePollSent) < d.overdueAfter(w)<<w.hedges:
		return
	case !d.hedgeBudget.spend():
		return
	default:
		w.hedges++
	}
	d.sidePoll(now, w)
}

// findOverdue reports whether an answer of w or the end of a run on it is overdue.
func (d *dispatcher) findOverdue(now time.Time, w *worker) bool {
	limit := d.overdueAfter(w)
	overdue := false
	if !w.pollSent.IsZero() && w.pollWait == 0 && now.Sub(w.pollSent) >= limit {
		w.suspect(w.pollSent)
		overdue = true
	}
	var unanswered []*run
	for _, r := range w.runs {
		switch {
		case r.state == runSent && now.Sub(r.since) >= limit:
			unanswered = append(unanswered, r)
		case r.state == runUnknown, r.endOverdue(now, limit):
			overdue = true
		}
	}
	sortRuns(unanswered)
	for _, r := range unanswered {
		d.markUncertain(now, w, r)
		overdue = true
	}
	return overdue
}

// endOverdue reports whether a report of the end of r is overdue by limit.
func (r *run) endOverdue(now time.Time, limit time.Duration) bool {
	known := r.state == runStarted || (r.state == runStopping && r.stopClock > 0)
	return known && !r.endDue.IsZero() && now.Sub(r.endDue) >= limit
}

// sidePoll polls w at once beside the outstanding poll, which goes on.
func (d *dispatcher) sidePoll(now time.Time, w *worker) {
	w.sidePollDue = false
	w.sidePollSent = now
	w.latestSidePoll = d.sendPoll(now, w, 0)
}

// sidePollDone handles the outcome of a side poll. If its report had ends that the
// outstanding poll should have reported, the answer to that poll is lost: the next poll
// follows at once.
func (d *dispatcher) sidePollDone(now time.Time, w *worker, poll Poll, newEnds bool) {
	if poll.Number != w.latestSidePoll {
		return
	}
	w.sidePollSent = time.Time{}
	if newEnds && !w.pollSent.IsZero() && w.pollSent.Before(poll.IssuedAt) {
		w.pollSent = time.Time{}
		w.nextPoll = now
		d.pollDue = append(d.pollDue, w)
	}
}

// stopRetryDue reports whether the stop command of r, which has no answer yet, is to be
// repeated. It is repeated early while a task waits for the end of r.
func (d *dispatcher) stopRetryDue(now time.Time, w *worker, r *run) bool {
	if r.state != runStopping || r.stopClock != 0 {
		return false
	}
	age := now.Sub(r.stopSent)
	if age > stopRetryInterval {
		return true
	}
	return r.task != nil && age >= d.overdueAfter(w)<<min(r.stopTries, 4) && d.hedgeBudget.spend()
}

// silentHedges is the number of extra polls in a row without an answer after which a worker
// counts as silent: by then all its answers on several connections would be lost.
const silentHedges = 4

// leaseOver returns the time after which no run on w can be running any more if w stays
// silent.
func (w *worker) leaseOver() time.Time {
	left := w.leaseEnd + maxStopTime - w.clock
	return w.clockAt.Add(time.Duration(float64(left) / (1 - maxClockDrift)))
}

// giveUpUnsettled gives up the jobs that wait for a run on w whose state stays unknown too long:
// w is silent, and another run could only start once the lease has expired, too late for the
// job to be worth anything.
func (d *dispatcher) giveUpUnsettled(now time.Time, w *worker) {
	if !w.unresponsive || w.hedges < silentHedges || w.clockAt.IsZero() || now.Sub(w.sidePollSent) < d.overdueAfter(w) {
		return
	}
	over := w.leaseOver()
	for _, r := range w.sortedRuns() {
		if r.task == nil {
			continue
		}
		j := r.task.job
		again := d.estimates.expectedRunTime(j.Route, j.Steps[r.id.Step].Estimate)
		if over.Add(time.Duration(float64(again) / d.topSpeed)).After(j.worthlessAfter()) {
			d.giveUp(now, j, "worker-silent")
		}
	}
}
