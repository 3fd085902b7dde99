package dispatch_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// Properties of the platform's workers.
const (
	workerLease    = time.Second
	workerStopTime = 50 * time.Millisecond
	// workerDrift is the share by which a worker's clock runs slow.
	workerDrift = 0.02
)

// fakeRun is a run on a fakeWorker.
type fakeRun struct {
	number int
	// started and ends are when the run started and when it ends.
	started, ends time.Time
	result        dispatch.RunResult
}

// A fakeWorker follows the rules of the platform's workers: leases, run numbers,
// fencing and a list of ends.
type fakeWorker struct {
	simulation *simulation
	entry      dispatch.Worker
	started    time.Time
	down       bool
	// failing is set if every run on the worker fails at once.
	failing bool
	token   uint64
	lease   time.Duration
	runs    map[dispatch.TaskID]*fakeRun
	// highest is the highest number of a stopped or ended run of each task.
	highest map[dispatch.TaskID]int
	ends    []dispatch.FinishedTask
	next    int64
	waiting []func()
}

func (w *fakeWorker) clock() time.Duration {
	return time.Duration(float64(w.simulation.now.Sub(w.started)) * (1 - workerDrift))
}

// at returns when the worker's clock shows c.
func (w *fakeWorker) at(c time.Duration) time.Time {
	return w.started.Add(time.Duration(float64(c) / (1 - workerDrift)))
}

// endRuns ends the runs whose end or lease end has passed.
func (w *fakeWorker) endRuns() {
	lapse := w.at(w.lease)
	for _, id := range w.ids() {
		r := w.runs[id]
		switch {
		case w.lease > 0 && lapse.Before(r.ends) && !lapse.After(w.simulation.now):
			w.finish(id, r, dispatch.RunAborted)
		case !r.ends.After(w.simulation.now):
			w.finish(id, r, r.result)
		}
	}
}

// ids returns the running tasks, in order.
func (w *fakeWorker) ids() []dispatch.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b dispatch.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

func (w *fakeWorker) finish(id dispatch.TaskID, r *fakeRun, result dispatch.RunResult) {
	delete(w.runs, id)
	w.highest[id] = max(w.highest[id], r.number)
	w.next++
	w.ends = append(w.ends, dispatch.FinishedTask{Sequence: w.next, Task: id, Number: r.number, Result: result})
	waiting := w.waiting
	w.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}

// fence reports whether a command with a term is accepted, and records the term. A worker
// that does not fence accepts any.
func (w *fakeWorker) fence(term uint64) bool {
	if term < w.token && !w.simulation.unfenced {
		return false
	}
	w.token = max(w.token, term)
	return true
}

// checkTerm checks that a command that was not delayed has no lower term than an earlier
// one, if the worker does not fence.
func (w *fakeWorker) checkTerm(sender *simulatedInstance, term uint64) {
	if w.simulation.unfenced && term < w.token {
		w.simulation.violate("%s received a command from %v with a lower term than before", w.entry.ID, sender.address)
	}
}

func (w *fakeWorker) extend(lease time.Duration) {
	w.lease = max(w.lease, min(lease, w.clock()+workerLease))
}

func (w *fakeWorker) start(s dispatch.Start) dispatch.Outcome {
	w.endRuns()
	if !w.fence(s.Term) {
		return dispatch.Fenced
	}
	if s.Lease <= w.clock() {
		return dispatch.TooLate
	}
	w.extend(s.Lease)
	if r := w.runs[s.Task]; r != nil && r.number == s.Number {
		return dispatch.Accepted
	}
	if s.Number <= w.highest[s.Task] || w.runs[s.Task] != nil {
		return dispatch.OldNumber
	}
	if len(w.runs) >= slotsPerWorker {
		return dispatch.NoResources
	}
	w.simulation.checkStart(w, s)
	r := &fakeRun{number: s.Number, started: w.simulation.now, result: dispatch.RunSucceeded}
	r.ends = w.simulation.now.Add(w.simulation.runTimeOf(s.Task))
	if !w.simulation.sound && w.simulation.random.IntN(50) == 0 {
		r.result = dispatch.RunFailed
	}
	if w.failing {
		r.ends, r.result = w.simulation.now.Add(workerStopTime), dispatch.RunFailed
	}
	w.runs[s.Task] = r
	w.simulation.at(r.ends, w.endRunsIfUp)
	return dispatch.Accepted
}

// endRunsIfUp is called when a run may have ended.
func (w *fakeWorker) endRunsIfUp() {
	if !w.down {
		w.endRuns()
	}
}

func (w *fakeWorker) stop(s dispatch.Stop) dispatch.Outcome {
	w.endRuns()
	if !w.fence(s.Term) {
		return dispatch.Fenced
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Number)
	if r := w.runs[s.Task]; r != nil && r.number <= s.Number {
		ends := w.simulation.now.Add(workerStopTime)
		if ends.Before(r.ends) {
			r.ends, r.result = ends, dispatch.RunAborted
			w.simulation.at(ends, w.endRunsIfUp)
		}
	}
	return dispatch.Accepted
}

// poll handles a poll. Its report is made later, when the poll is answered.
func (w *fakeWorker) poll(poll dispatch.Poll) dispatch.Outcome {
	w.endRuns()
	if !w.fence(poll.Term) {
		return dispatch.Fenced
	}
	if poll.Lease > 0 {
		w.extend(poll.Lease)
	}
	for len(w.ends) > 0 && w.ends[0].Sequence <= poll.Acknowledged {
		w.ends = w.ends[1:]
	}
	return dispatch.Accepted
}

func (w *fakeWorker) report() dispatch.Report {
	w.endRuns()
	report := dispatch.Report{Incarnation: w.started.UnixMilli(), Clock: w.clock().Truncate(time.Millisecond)}
	for _, id := range w.ids() {
		r := w.runs[id]
		done := 100 * w.simulation.now.Sub(r.started) / (r.ends.Sub(r.started) + 1)
		report.Running = append(report.Running, dispatch.RunningTask{Task: id, Number: r.number, Percent: int(done)})
	}
	report.Finished = append(report.Finished, w.ends...)
	return report
}

// restart starts a new incarnation.
func (w *fakeWorker) restart() {
	w.down = false
	w.started = w.simulation.now
	w.entry.Incarnation = w.started.UnixMilli()
	w.token, w.lease, w.next, w.ends = 0, 0, 0, nil
	w.runs = make(map[dispatch.TaskID]*fakeRun)
	w.highest = make(map[dispatch.TaskID]int)
}
