package dispatch

import "time"

// clockBound bounds when a worker's clock showed 0, on the leader's clock, by the times at
// which commands were issued: a clock in an answer was read after its command was issued.
// When the answer was handled doesn't matter, so that the run times measured by a leader
// that is late don't contain its own delays.
type clockBound struct {
	// zero is the latest known lower bound, and notedAt when its command was issued.
	zero, notedAt time.Time
}

// note records clock, which was read after issuedAt.
func (b *clockBound) note(issuedAt time.Time, clock time.Duration) {
	if clock <= 0 {
		return
	}
	bound := issuedAt.Add(-clock)
	if !b.notedAt.IsZero() {
		elapsed := max(issuedAt.Sub(b.notedAt), 0)
		bound = later(bound, b.zero.Add(-time.Duration(float64(elapsed)*maxClockDrift)))
	}
	b.zero, b.notedAt = bound, later(b.notedAt, issuedAt)
}

// clockAt returns an upper bound of the worker's clock at t. It is above the clock by at
// least the time that a command takes to the worker.
func (b *clockBound) clockAt(t time.Time) time.Duration { return t.Sub(b.zero) }

// maxEndDelayShare is the share of a run time by which its end may have been reported late.
const maxEndDelayShare = 0.25

// endsReportedWithin returns the time, by the worker's clock, that may lie between the end of
// a run and report, the answer to poll that lists it. It is 0 if the worker delayed the answer
// until an end, and otherwise the time without an outstanding poll since the report before.
func (d *dispatcher) endsReportedWithin(w *worker, poll Poll, report Report) time.Duration {
	issued := w.clockBound.clockAt(poll.IssuedAt)
	switch {
	case report.Clock-issued >= d.overdueAfter(w):
		return 0
	case w.clockAt.IsZero():
		return report.Clock
	default:
		return max(issued-w.clock, 0)
	}
}

// measuredRunTime returns the time that r, an end of which was listed in the latest report of
// w, took by the worker's clock. It returns false if that isn't known: r was adopted, its end
// may have been reported late, or its start command has no answer and its outcome is
// uncertain.
func (w *worker) measuredRunTime(r *run) (time.Duration, bool) {
	if r.adopted || (r.answerClock == 0 && (r.mayStartLate || !r.uncertainSince.IsZero())) {
		return 0, false
	}
	runTime := w.elapsed(r)
	limit := max(minHedgeDelay, time.Duration(maxEndDelayShare*float64(runTime)))
	return runTime, runTime > 0 && w.endsWithin < limit
}

// elapsed returns the time since the start of r by the worker's clock in the latest report.
// Without an answer to the start command, it counts from when that was issued.
func (w *worker) elapsed(r *run) time.Duration {
	if r.answerClock > 0 {
		return w.clock - r.answerClock
	}
	return w.clock - w.clockBound.clockAt(r.since)
}
