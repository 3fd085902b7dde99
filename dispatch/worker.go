package dispatch

import (
	"net/netip"
	"slices"
	"time"
)

// A Worker is an entry of the worker table.
type Worker struct {
	// ID names the worker, and Address is where it takes orders.
	ID       string
	Address  netip.AddrPort
	Pool     string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	// Leaving says that the worker is about to end and gets no new task.
	Leaving bool
	// Incarnation tells this life of the worker from others under the same ID.
	Incarnation int64
}

// same reports whether w and v say the same.
func (w Worker) same(v Worker) bool {
	return w.ID == v.ID && w.Address == v.Address && w.Pool == v.Pool && w.Zone == v.Zone && w.Rack == v.Rack &&
		w.Capacity == v.Capacity && w.Leaving == v.Leaving && w.Incarnation == v.Incarnation && slices.Equal(w.Labels, v.Labels)
}

// A Report is a worker's answer to a look.
type Report struct {
	Incarnation int64
	// Clock is the worker's own steady clock.
	Clock    time.Duration
	Running  []RunningTask
	Finished []FinishedTask
}

// A RunningTask is a task that is at work on a worker.
type RunningTask struct {
	Task   TaskID
	Number int
	// Percent is how much of its work is done, in [0, 100].
	Percent int
}

// RunResult says how a run ended.
type RunResult int

// The ends of a run.
const (
	// RunAborted means stopped, lapsed or broken off.
	RunAborted RunResult = iota
	RunSucceeded
	RunFailed
)

// A FinishedTask is the end of a run that was not acknowledged yet.
type FinishedTask struct {
	// Sequence numbers the ends of one life of a worker from 1.
	Sequence int64
	Task     TaskID
	Number   int
	Result   RunResult
}

// runState says what is known of a run.
type runState uint8

const (
	// runSent has been ordered, and the answer is outstanding.
	runSent runState = iota
	// runStarted was confirmed by the worker.
	runStarted
	// runUnclear was ordered without an answer.
	runUnclear
	// runStopping was told to stop.
	runStopping
)

// run is a run of a task on a worker.
type run struct {
	id     TaskID
	number int
	// task is nil if no job of this leader wants the run.
	task  *task
	needs Resources
	// foreign says that an earlier leader ordered the run, so that it is not
	// known what it needs.
	foreign bool
	// adopted says that the run was foreign, so that its start is unknown.
	adopted bool
	// unsure says that an order to start the run was not answered: it may be
	// carried out late, even in another life of the worker.
	unsure bool
	state  runState
	// since is when the run was ordered, or found.
	since time.Time
	// clock is the worker's clock at the latest answer about the run.
	clock time.Duration
	// stopSent is when the latest order to stop was sent, and stopped the
	// worker's clock when it took it.
	stopSent time.Time
	stopped  time.Duration
	// percent is the progress last seen, and movedAt when it last changed.
	percent int
	movedAt time.Time
}

// worker is what a leader knows of a Worker.
type worker struct {
	Worker
	// seen says that the worker has answered a look with this leader's term.
	seen bool
	born int64
	runs map[TaskID]*run
	used Resources
	// foreign counts the foreign runs.
	foreign int
	// clock is the worker's clock, read no later than clockAt.
	clock   time.Duration
	clockAt time.Time
	// leaseEnd is when, on the worker's clock, everything there ends at the
	// latest if no more orders are given.
	leaseEnd time.Duration
	// processed is the last end that was taken in, and unclaimed the ends
	// whose jobs may still come.
	processed int64
	unclaimed []FinishedTask
	// lookSent is when the look that is outstanding was sent, or zero.
	lookSent time.Time
	looks    uint64
	nextLook time.Time
	// peek says that the next look is to be answered at once.
	peek   bool
	misses int
	// reported is the number of the look whose report was last taken in.
	reported uint64
	// notBefore is when the worker may be given a task again.
	notBefore time.Time
	// speed is relative to the typical worker.
	speed float64
	// missing is when the entry vanished from the worker table, or zero.
	missing time.Time
	// trouble counts the failures since the last success.
	trouble int
}

func newWorker(w Worker) *worker {
	return &worker{Worker: w, runs: make(map[TaskID]*run), speed: 1}
}

// free returns the room that no run takes.
func (w *worker) free() Resources { return w.Capacity.minus(w.used) }

// usable reports whether the worker may be given a task at now.
func (w *worker) usable(now time.Time) bool {
	return w.seen && !w.Leaving && w.foreign == 0 && w.misses == 0 && !w.gone(now) && !now.Before(w.notBefore)
}

// gone reports whether the worker has been missing in the table for so long that its
// entry will not come back.
func (w *worker) gone(now time.Time) bool {
	return !w.missing.IsZero() && now.Sub(w.missing) >= backWithin
}

// clockLow returns the least that the worker's clock can show at now.
func (w *worker) clockLow(now time.Time) time.Duration {
	return w.clock + time.Duration(float64(now.Sub(w.clockAt))*(1-clockDrift))
}

// lease returns the end of a lease that an order sent at now gives, on the
// worker's clock.
func (w *worker) lease(now time.Time) time.Duration {
	return w.clock + now.Sub(w.clockAt) + leaseTime
}

// extend notes that an order with the lease's end was sent.
func (w *worker) extend(end time.Duration) { w.leaseEnd = max(w.leaseEnd, end) }

// lapsed reports whether every run on the worker must have ended.
func (w *worker) lapsed(now time.Time) bool {
	return w.clockAt.IsZero() || w.clockLow(now) > w.leaseEnd+stopTime
}

// add notes a run. Only a dispatcher calls it, which finds runs by their task.
func (w *worker) add(r *run) {
	w.runs[r.id] = r
	w.used = w.used.plus(r.needs)
	if r.foreign {
		w.foreign++
	}
}

// remove forgets a run.
func (w *worker) remove(r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.used = w.used.minus(r.needs)
	if r.foreign {
		w.foreign--
	}
}

// adopt gives a run to a task that wants it.
func (w *worker) adopt(r *run, t *task) {
	if r.foreign {
		w.foreign--
	}
	r.foreign, r.adopted = false, true
	r.task = t
	w.used = w.used.minus(r.needs)
	r.needs = t.job.Steps[t.id.Step].Needs
	w.used = w.used.plus(r.needs)
}

// sorted returns the runs in a fixed order.
func (w *worker) sorted() []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return a.id.compare(b.id) })
	return all
}
