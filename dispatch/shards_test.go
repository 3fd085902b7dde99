package dispatch_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// changeShards lets n decide on another number of shards, so that instances disagree until
// they have learned of it. If isolated is set, n is cut off from the others meanwhile. The
// number that the workers call for is decided on again later.
func (sim *simulation) changeShards(n *simulatedInstance, isolated bool, lasts time.Duration) {
	count := 1 << sim.random.IntN(3)
	if isolated {
		sim.isolateInstance(n, lasts, true, true)
	}
	sim.note("%v decides on %d shards", n.address, count)
	n.do(n.incarnation, func() { n.instance.DecideShards(sim.now, count) })
}

// TestRandomFaultsWithTwoShardsPerZone runs the faults of TestRandomFaultsWithALeaderPerZone
// where each zone has two shards, and others that make instances disagree on that number for a
// while: leaders of the same workers do not know of each other then.
func TestRandomFaultsWithTwoShardsPerZone(t *testing.T) {
	for seed := range seeds() {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runRandomFaults(t, newSimulationOf(seed, simulationConfig{apart: true, shards: true}))
		})
	}
}

// shardCounts returns the numbers of shards that the running instances know.
func (sim *simulation) shardCounts() map[int]int {
	counts := make(map[int]int)
	for _, n := range sim.instances {
		if n.instance != nil {
			counts[n.instance.Shards().Count]++
		}
	}
	return counts
}

// TestChangeOfTheNumberOfShardsUnderLoad changes the number of shards from one to two and back
// while tasks are running. No task runs twice at once, all instances agree within a second,
// and jobs that arrive afterwards complete.
func TestChangeOfTheNumberOfShardsUnderLoad(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		sim := newSimulationOf(seed, simulationConfig{apart: true, shards: true})
		sim.run(warmUp)
		is.Equal(sim.shardCounts(), map[int]int{2: len(sim.instances)})
		is.Equal(sim.countLeaders(), 2*len(simulationZones))
		sim.submitJobs(9 * time.Second)
		for _, count := range []int{1, 2, 1, 2} {
			sim.run(time.Second)
			n := sim.leader()
			n.do(n.incarnation, func() { n.instance.DecideShards(sim.now, count) })
			sim.run(time.Second)
			is.Equal(sim.shardCounts(), map[int]int{count: len(sim.instances)})
		}
		sim.run(8 * time.Second)
		is.Equal(sim.countLeaders(), 2*len(simulationZones))
		sim.checkRefusals()
		is.Equal(sim.violations, nil)
	}
}

// TestNumberOfShardsFollowsTheWorkers guards against zones that are divided although one
// leader suffices, against shards without a second instance, and against a number that changes
// back and forth around a limit.
func TestNumberOfShardsFollowsTheWorkers(t *testing.T) {
	for _, test := range []struct{ workers, instances, heaviest, present, want int }{
		{workers: 117, instances: 12, heaviest: 800, present: 1, want: 1},
		{workers: 200, instances: 12, heaviest: 800, present: 1, want: 1},
		{workers: 201, instances: 12, heaviest: 800, present: 1, want: 2},
		{workers: 161, instances: 12, heaviest: 800, present: 2, want: 2},
		{workers: 160, instances: 12, heaviest: 800, present: 2, want: 1},
		{workers: 1000, instances: 100, heaviest: 800, present: 1, want: 8},
		{workers: 1000, instances: 100, heaviest: 800, present: 8, want: 8},
		{workers: 1000, instances: 100, heaviest: 0, present: 1, want: 8},
		{workers: 1000, instances: 3, heaviest: 800, present: 1, want: 1},
		{workers: 1000, instances: 8, heaviest: 800, present: 1, want: 4},
		{workers: 1000, instances: 2, heaviest: 800, present: 8, want: 8},
		{workers: 1 << 20, instances: 1 << 20, heaviest: 800, present: 1, want: 32},
		{workers: 0, instances: 1, heaviest: 800, present: 8, want: 1},
	} {
		is := is.New(t)
		is.Equal(dispatch.ShardsFor(test.workers, test.instances, test.heaviest, test.present), test.want)
	}
}
