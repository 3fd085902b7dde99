package dispatch_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// Properties of the jobs of TestRandomFaultsWithJobsInSteps. The estimates of run times are
// too low by estimateFactor, so that a job can become worthless while it goes on.
const (
	maxSteps       = 3
	maxTasksOfStep = 3
	minStepTime    = 200 * time.Millisecond
	maxStepTime    = 2400 * time.Millisecond
	estimateFactor = 2
	stepsStretch   = 1.6
	stepsSlack     = 60 * time.Millisecond
	stepsPatience  = 9 * time.Second
	// stepsArrivalGap is the mean time between two such jobs: with half of them, the workers
	// of one zone have more than they can run.
	stepsArrivalGap = 250 * time.Millisecond
	// minCut and maxCut bound the time for which a worker is cut off. A leader takes up to
	// 5 s to conclude that the lease of a silent worker has expired.
	minCut, maxCut = time.Second, 7 * time.Second
)

// randomShape returns the shape of a job of up to maxSteps steps, one after the other.
func (sim *simulation) randomShape() *jobShape {
	shape := &jobShape{stretch: stepsStretch, slack: stepsSlack, patience: stepsPatience}
	for n := range 1 + sim.random.IntN(maxSteps) {
		runTime := minStepTime + time.Duration(sim.random.Int64N(int64(maxStepTime-minStepTime)))
		step := dispatch.Step{
			Tasks:    1 + sim.random.IntN(maxTasksOfStep),
			Needs:    dispatch.Resources{Millicores: taskCPU, Memory: 10},
			Estimate: runTime / estimateFactor,
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		shape.steps, shape.runTimes = append(shape.steps, step), append(shape.runTimes, runTime)
	}
	return shape
}

// cutWorkers cuts one or two random workers off for seconds.
func (sim *simulation) cutWorkers() {
	for range 1 + sim.random.IntN(2) {
		f := sim.workers[sim.random.IntN(len(sim.workers))]
		lasts := minCut + time.Duration(sim.random.Int64N(int64(maxCut-minCut)))
		sim.note("%s is cut off for %v", f.entry.ID, lasts)
		sim.after(lasts, sim.cutOff(f))
	}
}

// TestRandomFaultsWithJobsInSteps runs randomized faults, of which many cut workers off for
// seconds, with jobs that take long and whose callers submit them again to any zone. Runs end
// unnoticed and run a second time, while their jobs end in all ways: nothing of a job that has
// ended may run beside its next submission. A third as many seeds also change the number of
// shards of each zone, or restart instances in turn, so that leaders hand jobs over.
func TestRandomFaultsWithJobsInSteps(t *testing.T) {
	for _, test := range []struct {
		name  string
		seeds uint64
		cfg   simulationConfig
	}{
		{"", seeds(), simulationConfig{apart: true, stepped: true}},
		{"shards-", seeds() / 3, simulationConfig{apart: true, stepped: true, shards: true}},
		{"releases-", seeds() / 3, simulationConfig{apart: true, stepped: true, uneven: true}},
	} {
		for seed := range test.seeds {
			t.Run(test.name+strconv.FormatUint(seed, 10), func(t *testing.T) { runRandomFaults(t, newSimulationOf(seed, test.cfg)) })
		}
	}
}
