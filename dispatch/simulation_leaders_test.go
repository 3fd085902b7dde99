package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// leader returns the instance that leads, or nil.
func (w *simulation) leader() *simulatedInstance {
	for _, n := range w.instances {
		if n.instance != nil && !n.paused && n.instance.Leading() {
			return n
		}
	}
	return nil
}

// TestNoFalseRefusalAfterAChangeOfLeaders kills one leader after the other while more
// jobs arrive than the workers can run. Some jobs cannot be served, but no job that
// has started a task is reported as not run.
func TestNoFalseRefusalAfterAChangeOfLeaders(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	w.run(warmUp)
	for range 6 {
		for range 40 {
			w.submit(w.random.IntN(len(simulationZones)))
		}
		w.run(400 * time.Millisecond)
		if n := w.leader(); n != nil {
			n.kill()
			w.after(time.Second, n.start)
		}
		w.run(1500 * time.Millisecond)
	}
	w.run(10 * time.Second)
	w.checkRefusals()
	is.Equal(w.violations, nil)
	overdue := 0
	for _, j := range w.jobs {
		if slices.Contains(j.answered, dispatch.Overdue) {
			overdue++
		}
	}
	is.True(overdue > 0) // some jobs could not be served
}

// TestReceiverForgetsAnEndedLeaderLoss isolates the leader for less time than its
// followers need to replace it, long before it is replaced. The time after which no
// earlier run is running must count from the later loss: counted from the first one
// it passes too early, and a task may run twice.
func TestReceiverForgetsAnEndedLeaderLoss(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		w := newSimulation(seed)
		w.run(warmUp)
		w.submitJobs(8 * time.Second)
		for range 6 {
			leader := w.leader()
			w.isolateInstance(leader, 480*time.Millisecond, true, true)
			w.run(1500 * time.Millisecond)
			// Two of the workers do not answer the next leader.
			for _, f := range w.workers[:2] {
				for _, n := range w.instances {
					if n != leader {
						w.disconnect(n.name(), f.entry.ID, 300*time.Millisecond, true)
					}
				}
			}
			w.isolateInstance(leader, 900*time.Millisecond, true, true)
			w.run(1500 * time.Millisecond)
		}
		is.Equal(w.violations, nil)
	}
}

// TestFailingWorkersAreExcluded makes one worker fail all its runs. Jobs complete on
// the others.
func TestFailingWorkersAreExcluded(t *testing.T) {
	is := is.New(t)
	w := newSimulation(2)
	w.workers[0].failing = true
	w.run(warmUp)
	w.submitJobs(6 * time.Second)
	w.run(12 * time.Second)
	completed := 0
	for _, j := range w.jobs {
		if j.end == dispatch.Completed {
			completed++
		}
	}
	is.Equal(w.violations, nil)
	is.True(completed*10 >= len(w.jobs)*9) // one of twelve workers fails, and tasks are tried three times
}

// TestLeavingWorkerGetsNoTask marks a worker as leaving. It starts no run from then
// on.
func TestLeavingWorkerGetsNoTask(t *testing.T) {
	is := is.New(t)
	w := newSimulation(3)
	w.run(warmUp)
	w.submitJobs(3 * time.Second)
	w.run(time.Second)
	leaving := w.workers[0]
	leaving.entry.Leaving = true
	for _, n := range w.instances {
		n.do(n.incarnation, n.listWorkers)
	}
	w.run(10 * time.Millisecond)
	before := leaving.next + int64(len(leaving.runs))
	w.run(8 * time.Second)
	is.Equal(leaving.next, before)
	is.Equal(w.violations, nil)
}
