package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/chart"
	"github.com/amaranthwell/amaranthwell/dispatch"
)

// Times of a job whose first task ends unnoticed on a worker that is cut off, and runs a
// second time on another worker.
const (
	unnoticedRunTime = 600 * time.Millisecond
	secondRunTime    = 3 * time.Second
	// secondRunWithin is the time from a cut until the second run starts: the lease that the
	// last poll has renewed must have expired.
	secondRunWithin = 6 * time.Second
	// cutAfter is the time from the second start until the first worker is back, and
	// noticedAfter that until it has answered a poll: a leader polls a silent worker once a
	// second.
	cutAfter     = 200 * time.Millisecond
	noticedAfter = 1100 * time.Millisecond
	// runsGoneAfter is the time after the end of a job in which its runs have to end: the
	// time of a stop, and some messages.
	runsGoneAfter = workerStopTime + 50*time.Millisecond
	// laterStarts is the time in which a job that has ended would start another task.
	laterStarts = 5 * time.Second
)

// runningOn returns the workers on which tasks of a job are running.
func (sim *simulation) runningOn(id string) []*fakeWorker {
	var on []*fakeWorker
	for _, f := range sim.workers {
		for task := range f.runs {
			if task.Job == id {
				on = append(on, f)
				break
			}
		}
	}
	return on
}

// cutOff cuts a worker off from all instances, until the returned function is called.
func (sim *simulation) cutOff(f *fakeWorker) (restore func()) {
	var pairs [][2]string
	for _, n := range sim.instances {
		pairs = append(pairs, [2]string{n.name(), f.entry.ID}, [2]string{f.entry.ID, n.name()})
	}
	for _, pair := range pairs {
		sim.disconnected[pair] = true
	}
	return func() {
		for _, pair := range pairs {
			delete(sim.disconnected, pair)
		}
	}
}

// instanceOf returns the instance at which the caller of a job waits.
func (sim *simulation) instanceOf(j *simulatedJob) (*simulatedInstance, dispatch.CallerID) {
	for _, n := range sim.instances {
		for caller, other := range n.callers {
			if other == j {
				return n, caller
			}
		}
	}
	panic("no caller waits for job " + j.id)
}

// noWorkerHas is a label that no worker has.
const noWorkerHas = "none"

// twoSteps returns the shape of a job of two steps, of which the second one needs a worker
// with a label. A task is expected to take 0.5 s, so that the job is worth something for
// 3 x (stretch x 1 s + 90 ms).
func twoSteps(stretch float64, label string) *jobShape {
	needs := dispatch.Resources{Millicores: taskCPU, Memory: 10}
	return &jobShape{
		steps: []dispatch.Step{
			{Tasks: 1, Needs: needs, Estimate: 500 * time.Millisecond},
			{Tasks: 1, Needs: needs, Estimate: 500 * time.Millisecond, After: []int{0}, Label: label},
		},
		runTimes: []time.Duration{unnoticedRunTime, time.Second},
		stretch:  stretch,
		slack:    100 * time.Millisecond,
		patience: 7 * time.Second,
	}
}

// runTwice submits a job whose first task ends on a worker that is cut off and runs a second
// time elsewhere, for secondRunTime. It returns after the end of the first run was noticed.
func (sim *simulation) runTwice(is *is.I, shape *jobShape) *simulatedJob {
	is.Helper()
	j := sim.submitShaped(0, shape)
	j.tries = maxTries // it is not submitted again
	sim.run(30 * time.Millisecond)
	first := sim.runningOn(j.id)
	is.Equal(len(first), 1)
	restore := sim.cutOff(first[0])
	shape.runTimes[0] = secondRunTime
	for cutAt := sim.now; sim.starts[j.id] < 2 && sim.now.Sub(cutAt) < secondRunWithin; {
		sim.run(10 * time.Millisecond)
	}
	is.Equal(sim.starts[j.id], 2)
	sim.run(cutAfter)
	restore()
	sim.run(noticedAfter)
	return j
}

// TestEndedJobStartsNothing guards against a job that has ended and goes on: the end of a task
// is noticed late, while the task runs a second time on another worker. That run must end with
// the job, and its end must not start the job's next step beside the job that its caller has
// submitted again to another zone.
func TestEndedJobStartsNothing(t *testing.T) {
	const late = 1.94 // given up 5.1 s after its arrival: between the second start and the notice
	for _, test := range []struct {
		name  string
		shape *jobShape
		end   func(*simulation, *simulatedJob)
	}{
		{"too late", twoSteps(late, ""), func(*simulation, *simulatedJob) {}},
		{"too late, without a worker", twoSteps(late, noWorkerHas), func(*simulation, *simulatedJob) {}},
		{"deadline of the caller", twoSteps(100, noWorkerHas), func(sim *simulation, j *simulatedJob) {
			sim.run(j.arrived.Add(j.shape.patience + 2*simulationTick).Sub(sim.now))
		}},
		{"cancelled", twoSteps(100, noWorkerHas), func(sim *simulation, j *simulatedJob) {
			n, _ := sim.instanceOf(j)
			n.do(n.incarnation, func() { n.instance.Cancel(sim.now, j.id) })
		}},
		{"caller gone", twoSteps(100, noWorkerHas), func(sim *simulation, j *simulatedJob) {
			n, caller := sim.instanceOf(j)
			n.do(n.incarnation, func() { n.instance.Abandon(sim.now, caller) })
		}},
		{"receiver gone", twoSteps(100, noWorkerHas), func(sim *simulation, j *simulatedJob) {
			n, _ := sim.instanceOf(j)
			n.kill()
			sim.run(time.Second)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulationOf(1, simulationConfig{apart: true, sound: true})
			sim.run(warmUp)
			j := sim.runTwice(is, test.shape)
			test.end(sim, j)
			sim.run(runsGoneAfter)
			is.Equal(len(sim.runningOn(j.id)), 0) // no run of a job that has ended
			starts := sim.starts[j.id]
			sim.run(laterStarts)
			is.Equal(sim.starts[j.id], starts) // no start of a job that has ended
			is.Equal(sim.violations, nil)
		})
	}
}

// TestDoneTaskHasNoRun guards against a task that is done and has a run: the second run of a
// task is stopped once the end of the first one is noticed, while the job goes on.
func TestDoneTaskHasNoRun(t *testing.T) {
	is := is.New(t)
	sim := newSimulationOf(1, simulationConfig{apart: true, sound: true})
	sim.run(warmUp)
	shape := twoSteps(100, "")
	shape.runTimes[1] = 2 * time.Second // the second step goes on after runTwice
	shape.patience = 9 * time.Second
	j := sim.runTwice(is, shape)
	sim.run(runsGoneAfter)
	is.True(len(j.answered) == 0)
	on := sim.runningOn(j.id)
	is.Equal(len(on), 1) // the second step, which has started
	is.Equal(on[0].ids()[0].Step, 1)
	sim.run(shape.runTimes[1])
	is.Equal(j.end, dispatch.Completed)
	is.Equal(sim.starts[j.id], 3)
}

// TestNothingFollowsAnEnd guards the charts: a job that has ended takes no event, nor does a
// task that is done.
func TestNothingFollowsAnEnd(t *testing.T) {
	for _, test := range []struct {
		chart *chart.Chart
		last  string
	}{{dispatch.JobChart(), "ended"}, {dispatch.TaskChart(), "done"}} {
		is := is.New(t)
		last := test.chart.MustState(test.last)
		for _, event := range test.chart.Events() {
			_, moved := test.chart.Next(last, test.chart.MustEvent(event))
			is.True(!moved)
		}
	}
}
