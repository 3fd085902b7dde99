package dispatch

import (
	"net/netip"
	"slices"
	"time"
)

// A Worker is an entry of the worker table.
type Worker struct {
	// ID names the worker, and Address is the address that receives its commands.
	ID       string
	Address  netip.AddrPort
	Pool     string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	// Leaving is set if the worker is about to exit and gets no new task.
	Leaving bool
	// Remaining is the time that a leaving worker had left at least when its entry was
	// written, or 0 if it is not known. It is for the log only.
	Remaining time.Duration
	// Incarnation distinguishes the incarnations of a worker under the same ID. It is the
	// time of the worker's start in milliseconds since the Unix epoch, or 0 if that is not
	// known.
	Incarnation int64
	// Version orders the entries of one worker: the entry with the highest version
	// is the latest. It is 0 if it is not known.
	Version int64
}

// equal reports whether w and v are equal, apart from their versions.
func (w Worker) equal(v Worker) bool {
	return w.ID == v.ID && w.Address == v.Address && w.Pool == v.Pool && w.Zone == v.Zone && w.Rack == v.Rack &&
		w.Capacity == v.Capacity && w.Leaving == v.Leaving && w.Incarnation == v.Incarnation && slices.Equal(w.Labels, v.Labels)
}

// A Report is a worker's answer to a poll.
type Report struct {
	Incarnation int64
	// Clock is the worker's monotonic clock.
	Clock    time.Duration
	Running  []RunningTask
	Finished []FinishedTask
}

// A RunningTask is a task that is running on a worker.
type RunningTask struct {
	Task   TaskID
	Number int
	// Percent is the progress of the run, in [0, 100].
	Percent int
}

// A RunResult is the way in which a run ended.
type RunResult int

// The results of a run.
const (
	// RunAborted means that the run was stopped, that its lease expired, or that it
	// was interrupted.
	RunAborted RunResult = iota
	RunSucceeded
	RunFailed
)

// A FinishedTask is a run that has ended and whose end is not yet acknowledged.
type FinishedTask struct {
	// Sequence is the number of this end within the worker's incarnation, from 1.
	Sequence int64
	Task     TaskID
	Number   int
	Result   RunResult
}

// runState is what is known about a run.
type runState uint8

const (
	// runSent means that the start command was issued and its outcome is outstanding.
	runSent runState = iota
	// runStarted means that the worker has confirmed the run.
	runStarted
	// runUnknown means that the outcome of the start command is unknown.
	runUnknown
	// runStopping means that a stop command was issued.
	runStopping
)

// run is a run of a task on a worker.
type run struct {
	id     TaskID
	number int
	// task is the task that waits for the run, or nil if none does: see attach.
	task  *task
	needs Resources
	// orphaned is set if an earlier leader started the run and this one has not
	// adopted it. Its resources are unknown.
	orphaned bool
	// adopted is set if the run was orphaned before. Its start time is unknown.
	adopted bool
	// mayStartLate is set if the outcome of a start command for the run is unknown.
	// The command may be carried out late, even by another incarnation of the worker.
	mayStartLate bool
	// token is the fencing token of the start command.
	token uint64
	state runState
	// uncertainSince is since when the outcome of the start command is uncertain, or zero.
	uncertainSince time.Time
	// endDue is when the run should have ended, or zero if it is not known to run.
	endDue time.Time
	// since is when the run was started or found.
	since time.Time
	// answerClock is the worker's clock at the latest answer to a start command for
	// the run.
	answerClock time.Duration
	// stopSent is when the latest stop command was sent, and stopClock the worker's
	// clock when it accepted one, or 0.
	stopSent  time.Time
	stopClock time.Duration
	// stopTries is the number of stop commands.
	stopTries int
	// confirmedAt is, for a run that is to be stopped, the latest time at which a receiver
	// is known to have waited for it before, or zero.
	confirmedAt time.Time
	// percent is the last reported progress, and progressAt is when it last changed.
	percent    int
	progressAt time.Time
}

// worker is what a leader knows about a Worker.
type worker struct {
	Worker
	// shard is the shard that contains the worker. It is the worker's zone if that is not
	// divided. What a leader leads is a shard.
	shard string
	// polled is set once the worker has answered a poll of this leader.
	polled      bool
	incarnation int64
	// incarnationSince is when the first report of that incarnation arrived, or zero.
	incarnationSince time.Time
	runs             map[TaskID]*run
	used             Resources
	// orphans is the number of orphaned runs.
	orphans int
	// clock is the worker's clock. It was read no later than clockAt.
	clock   time.Duration
	clockAt time.Time
	// clockBound bounds the clock at the time at which a command was issued.
	clockBound clockBound
	// leaseEnd is the time on the worker's clock by which all its runs end if no
	// lease is renewed, and renewedUntil the end of the lease that this leader last
	// requested, or 0.
	leaseEnd, renewedUntil time.Duration
	// lastProcessed is the sequence number of the last end that was handled.
	// unclaimedEnds are the ends of runs whose jobs may still be forwarded.
	lastProcessed int64
	unclaimedEnds []FinishedTask
	// pollSent is when the outstanding poll was sent, or zero. latestPoll is the
	// number of the latest poll.
	pollSent   time.Time
	latestPoll uint64
	nextPoll   time.Time
	// pollWait is the time for which the worker may delay its answer to that poll.
	pollWait time.Duration
	// sidePollSent is when the outstanding poll beside it was sent, or zero, and
	// latestSidePoll the number of the latest one. sidePollDue is set if one is to be
	// sent at once.
	sidePollSent   time.Time
	latestSidePoll uint64
	sidePollDue    bool
	// answers estimates the worker's answer times, answeredAt is when it last answered a
	// command, and hedges counts the extra polls since then.
	answers answerTimes
	// trip is the shortest answer time, at most minHedgeDelay.
	trip       time.Duration
	answeredAt time.Time
	hedges     int
	// unresponsive is set while an answer is overdue and no other one has arrived since the
	// command.
	unresponsive bool
	// lostStarts counts the start commands in a row that were not carried out, and
	// startConfirmedAt is when the worker was last known to have carried out one.
	lostStarts       int
	startConfirmedAt time.Time
	// token is the fencing token to use unless the term of the zone is higher.
	token uint64
	// lateStart describes the start commands of removed runs that may still arrive.
	lateStart lateStart
	// restartPollSent is when the worker was last polled to notice its restart.
	restartPollSent time.Time
	// endsWithin is the longest time before the latest report at which a run that it lists
	// as ended may have ended.
	endsWithin time.Duration
	// immediatePoll is set if the worker must answer the next poll at once.
	// missedPolls counts the polls in a row without an answer.
	immediatePoll bool
	missedPolls   int
	// latestReport is the number of the poll whose report was last applied.
	latestReport uint64
	// excludedUntil is the time from which the worker may be assigned tasks again.
	excludedUntil time.Time
	// speed is relative to the median worker, and uncertainSpeed the number of further run
	// times after which it counts as known.
	speed          float64
	uncertainSpeed int
	// missingSince is when the worker disappeared from the worker table, or zero.
	missingSince time.Time
	// failuresInRow counts the failures since the last success.
	failuresInRow int
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, runs: make(map[TaskID]*run), speed: 1, trip: minHedgeDelay}
}

// free returns the resources that no run uses.
func (w *worker) free() Resources { return w.Capacity.minus(w.used) }

// usable reports whether the worker may be assigned a task at now.
func (w *worker) usable(now time.Time) bool {
	return w.polled && !w.Leaving && w.orphans == 0 && w.missedPolls == 0 && !w.unresponsive && !w.gone(now) && !now.Before(w.excludedUntil)
}

// gone reports whether the worker has been missing from the table for too long to be
// listed again.
func (w *worker) gone(now time.Time) bool {
	return !w.missingSince.IsZero() && now.Sub(w.missingSince) >= relistTimeout
}

// clockLow returns a lower bound of the worker's clock at now.
func (w *worker) clockLow(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-maxClockDrift))
}

// clockHigh returns an estimate of the worker's clock at now, which is too high if that
// clock runs slow.
func (w *worker) clockHigh(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// leaseUntil returns the end, on the worker's clock, of a lease until t.
func (w *worker) leaseUntil(t time.Time) time.Duration { return w.clockHigh(t) }

// extendLease records that a command was sent with a lease until end.
func (w *worker) extendLease(end time.Duration) { w.leaseEnd = max(w.leaseEnd, end) }

// allRunsExpired reports whether every run on the worker must have ended because its
// lease has expired.
func (w *worker) allRunsExpired(now time.Time) bool {
	return w.clockAt.IsZero() || w.clockLow(now) > w.leaseEnd+maxStopTime
}

// add records a run. Only the dispatcher may call it, which also finds runs by their
// tasks.
func (w *worker) add(r *run) {
	w.runs[r.id] = r
	w.used = w.used.plus(r.needs)
	if r.orphaned {
		w.orphans++
	}
}

// remove removes a run.
func (w *worker) remove(r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.used = w.used.minus(r.needs)
	if r.orphaned {
		w.orphans--
	}
}

// adopt assigns a run to a task that needs it.
func (w *worker) adopt(r *run, t *task) {
	if r.orphaned {
		w.orphans--
	}
	r.orphaned, r.adopted = false, true
	r.attach(t)
	w.used = w.used.minus(r.needs)
	r.needs = t.job.Steps[t.id.Step].Needs
	w.used = w.used.plus(r.needs)
}

// attach makes t wait for r.
func (r *run) attach(t *task) { r.task, t.run = t, r }

// detach makes the task that waits for r, if there is one, wait for it no longer.
func (r *run) detach() {
	if r.task != nil {
		r.task.run, r.task = nil, nil
	}
}

// sortedRuns returns the runs in the order of their tasks.
func (w *worker) sortedRuns() []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	sortRuns(all)
	return all
}

// sortRuns sorts runs in the order of their tasks.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int { return a.id.compare(b.id) })
}
