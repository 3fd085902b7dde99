package dispatch_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// Properties of the fake workers, those that the platform states.
const (
	workerLease    = time.Second
	workerStopTime = 50 * time.Millisecond
	// workerDrift is the share by which a worker's clock is slow.
	workerDrift = 0.02
)

// fakeRun is a run on a fakeWorker.
type fakeRun struct {
	number int
	// began and ends bound the time at work.
	began, ends time.Time
	how         dispatch.RunResult
}

// A fakeWorker keeps the rules of the platform's workers: leases, run numbers,
// fencing and a list of ends.
type fakeWorker struct {
	world *world
	entry dispatch.Worker
	born  time.Time
	down  bool
	// failing says that every run here fails at once.
	failing bool
	token   uint64
	lease   time.Duration
	runs    map[dispatch.TaskID]*fakeRun
	// highest is the highest number of a run stopped or ended here.
	highest map[dispatch.TaskID]int
	ends    []dispatch.FinishedTask
	next    int64
	waiting []func()
}

func (w *fakeWorker) clock() time.Duration {
	return time.Duration(float64(w.world.now.Sub(w.born)) * (1 - workerDrift))
}

// at returns when the worker's clock shows c.
func (w *fakeWorker) at(c time.Duration) time.Time {
	return w.born.Add(time.Duration(float64(c) / (1 - workerDrift)))
}

// settle ends the runs whose time is over.
func (w *fakeWorker) settle() {
	lapse := w.at(w.lease)
	for _, id := range w.ids() {
		r := w.runs[id]
		switch {
		case w.lease > 0 && lapse.Before(r.ends) && !lapse.After(w.world.now):
			w.finish(id, r, dispatch.RunAborted)
		case !r.ends.After(w.world.now):
			w.finish(id, r, r.how)
		}
	}
}

// ids returns the tasks at work, in order.
func (w *fakeWorker) ids() []dispatch.TaskID {
	return slices.SortedFunc(maps.Keys(w.runs), func(a, b dispatch.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

func (w *fakeWorker) finish(id dispatch.TaskID, r *fakeRun, how dispatch.RunResult) {
	delete(w.runs, id)
	w.highest[id] = max(w.highest[id], r.number)
	w.next++
	w.ends = append(w.ends, dispatch.FinishedTask{Sequence: w.next, Task: id, Number: r.number, Result: how})
	waiting := w.waiting
	w.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}

// fence reports whether an order with a term is obeyed.
func (w *fakeWorker) fence(term uint64) bool {
	if term < w.token {
		return false
	}
	w.token = term
	return true
}

func (w *fakeWorker) extend(lease time.Duration) {
	w.lease = max(w.lease, min(lease, w.clock()+workerLease))
}

func (w *fakeWorker) start(s dispatch.Start) dispatch.Outcome {
	w.settle()
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
	w.world.judgeStart(w, s)
	r := &fakeRun{number: s.Number, began: w.world.now, how: dispatch.RunSucceeded}
	r.ends = w.world.now.Add(w.world.runTime())
	if w.world.random.IntN(50) == 0 {
		r.how = dispatch.RunFailed
	}
	if w.failing {
		r.ends, r.how = w.world.now.Add(workerStopTime), dispatch.RunFailed
	}
	w.runs[s.Task] = r
	w.world.at(r.ends, w.settleUp)
	return dispatch.Accepted
}

// settleUp is called when a run may have ended.
func (w *fakeWorker) settleUp() {
	if !w.down {
		w.settle()
	}
}

func (w *fakeWorker) stop(s dispatch.Stop) dispatch.Outcome {
	w.settle()
	if !w.fence(s.Term) {
		return dispatch.Fenced
	}
	w.highest[s.Task] = max(w.highest[s.Task], s.Number)
	if r := w.runs[s.Task]; r != nil && r.number <= s.Number {
		ends := w.world.now.Add(workerStopTime)
		if ends.Before(r.ends) {
			r.ends, r.how = ends, dispatch.RunAborted
			w.world.at(ends, w.settleUp)
		}
	}
	return dispatch.Accepted
}

// look takes the order; report is asked for later, when it is answered.
func (w *fakeWorker) look(l dispatch.Poll) dispatch.Outcome {
	w.settle()
	if !w.fence(l.Term) {
		return dispatch.Fenced
	}
	if l.Lease > 0 {
		w.extend(l.Lease)
	}
	for len(w.ends) > 0 && w.ends[0].Sequence <= l.Acknowledged {
		w.ends = w.ends[1:]
	}
	return dispatch.Accepted
}

func (w *fakeWorker) report() dispatch.Report {
	w.settle()
	report := dispatch.Report{Incarnation: w.born.UnixMilli(), Clock: w.clock().Truncate(time.Millisecond)}
	for _, id := range w.ids() {
		r := w.runs[id]
		done := 100 * w.world.now.Sub(r.began) / (r.ends.Sub(r.began) + 1)
		report.Running = append(report.Running, dispatch.RunningTask{Task: id, Number: r.number, Percent: int(done)})
	}
	report.Finished = append(report.Finished, w.ends...)
	return report
}

// restart begins a new life.
func (w *fakeWorker) restart() {
	w.down = false
	w.born = w.world.now
	w.entry.Incarnation = w.born.UnixMilli()
	w.token, w.lease, w.next, w.ends = 0, 0, 0, nil
	w.runs = make(map[dispatch.TaskID]*fakeRun)
	w.highest = make(map[dispatch.TaskID]int)
}
