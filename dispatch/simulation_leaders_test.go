package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// leader returns the instance that leads, or nil.
func (sim *simulation) leader() *simulatedInstance {
	for _, n := range sim.instances {
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
	sim := newSimulation(1)
	sim.run(warmUp)
	for range 6 {
		for range 40 {
			sim.submit(sim.random.IntN(len(simulationZones)))
		}
		sim.run(400 * time.Millisecond)
		if n := sim.leader(); n != nil {
			n.kill()
			sim.after(time.Second, n.start)
		}
		sim.run(1500 * time.Millisecond)
	}
	sim.run(10 * time.Second)
	sim.checkRefusals()
	is.Equal(sim.violations, nil)
	overdue := 0
	for _, j := range sim.jobs {
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
		sim := newSimulation(seed)
		sim.run(warmUp)
		sim.submitJobs(8 * time.Second)
		for range 6 {
			leader := sim.leader()
			sim.isolateInstance(leader, 480*time.Millisecond, true, true)
			sim.run(1500 * time.Millisecond)
			// Two of the workers do not answer the next leader.
			for _, f := range sim.workers[:2] {
				for _, n := range sim.instances {
					if n != leader {
						sim.disconnect(n.name(), f.entry.ID, 300*time.Millisecond, true)
					}
				}
			}
			sim.isolateInstance(leader, 900*time.Millisecond, true, true)
			sim.run(1500 * time.Millisecond)
		}
		is.Equal(sim.violations, nil)
	}
}

// TestFailingWorkersAreExcluded makes one worker fail all its runs. Jobs complete on
// the others.
func TestFailingWorkersAreExcluded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2)
	sim.workers[0].failing = true
	sim.run(warmUp)
	sim.submitJobs(6 * time.Second)
	sim.run(12 * time.Second)
	completed := 0
	for _, j := range sim.jobs {
		if j.end == dispatch.Completed {
			completed++
		}
	}
	is.Equal(sim.violations, nil)
	is.True(completed*10 >= len(sim.jobs)*9) // one of twelve workers fails, and tasks are tried three times
}

// TestLeavingWorkerGetsNoTask marks a worker as leaving. It starts no run from then
// on.
func TestLeavingWorkerGetsNoTask(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3)
	sim.run(warmUp)
	sim.submitJobs(3 * time.Second)
	sim.run(time.Second)
	leaving := sim.workers[0]
	leaving.entry.Leaving = true
	for _, n := range sim.instances {
		n.do(n.incarnation, n.listWorkers)
	}
	sim.run(10 * time.Millisecond)
	before := leaving.next + int64(len(leaving.runs))
	sim.run(8 * time.Second)
	is.Equal(leaving.next, before)
	is.Equal(sim.violations, nil)
}
