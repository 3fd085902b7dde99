package dispatch_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// shardRecoveryTime is added to recoveryTime if the zones are divided. A leader that was cut
// off with its own number of shards imposes it when it is back, and another number is decided
// on 5 s after a leader has read the worker table.
const shardRecoveryTime = 6 * time.Second

// failedShardSeeds are seeds that failed once with two shards a zone.
var failedShardSeeds = []uint64{
	521, // a decision that followed later than the time that was left for the recovery
}

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
	for _, seed := range failedShardSeeds {
		t.Run("again-"+strconv.FormatUint(seed, 10), func(t *testing.T) {
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

// TestReceiverForgetsTheLeaderOfItsFormerShard moves an instance to a shard whose leader was
// lost long before. The leader of its former shard may still be running its jobs: the time
// after which no earlier run is running must not count from the loss of the other leader.
func TestReceiverForgetsTheLeaderOfItsFormerShard(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.AddMember(s.now, firstLeader, "hr-north-a", 0)
	s.AddMember(s.now, secondLeader, "hr-north-a", 0)
	heartbeat := func(from netip.AddrPort, shard string, term uint64) {
		s.Receive(s.now, from, &peer.Envelope{From: from.String(), Incarnation: 1, Zone: shard, Beat: &peer.Beat{
			Leads: []*peer.Lead{{Zone: shard, Term: term}}, Shards: 1<<8 | 2, TableRevision: 1, LeaderPerZone: true,
		}})
	}
	heartbeat(firstLeader, "hr-north-a/0of2", 1<<50)
	former := s.Shards().Own
	other := map[string]string{"hr-north-a/0of2": "hr-north-a/1of2", "hr-north-a/1of2": "hr-north-a/0of2"}[former]
	heartbeat(secondLeader, other, 1<<50)
	job := s.job("5c0e7a21d94b36f8")
	for n := 0; s.Shards().Own == former && n < 400; n++ {
		heartbeat(firstLeader, former, 1<<50+1)
		if n == 150 {
			job.Arrived, job.CallerDeadline = s.now, s.now.Add(30*time.Second)
			s.Submit(s.now, 1, job)
		}
		s.advance(100 * time.Millisecond)
	}
	is.Equal(s.Shards().Own, other) // it has had no other instance for long
	s.advance(100 * time.Millisecond)
	s.effects = dispatch.Effects{}
	heartbeat(secondLeader, other, 1<<51)
	s.advance(20 * time.Millisecond)
	forwarded := 0
	for _, send := range s.effects.Sends {
		for _, j := range send.Envelope.Jobs {
			forwarded++
			is.Equal(send.To, secondLeader)
			is.Equal(j.Round, uint32(1))
			is.True(time.Duration(j.SettleNanos) > time.Second)
		}
	}
	is.Equal(forwarded, 1)
}

// TestWorkersStayInUseAfterAChangeOfTheNumberOfShards lets the only instance of a system divide
// its zone while the store does not list the workers again. It leads both shards, one after
// the other, and polls all workers, each as one of its shard.
func TestWorkersStayInUseAfterAChangeOfTheNumberOfShards(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	const workers = 8
	for n := range workers {
		s.SetWorker(s.now, dispatch.Worker{
			ID: "w-" + strconv.Itoa(n), Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
			Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
		})
	}
	s.advance(4 * time.Second)
	is.Equal(s.Shards().Led, []string{"hr-north-a"})
	s.DecideShards(s.now, 2)
	s.take()
	is.Equal(s.Shards().Led, nil)
	s.effects = dispatch.Effects{}
	s.advance(4 * time.Second)
	is.Equal(s.Shards().Led, []string{"hr-north-a/0of2", "hr-north-a/1of2"})
	terms := make(map[uint64]int)
	polled := make(map[string]bool)
	for _, poll := range s.effects.Polls {
		if poll.Number > 0 && !polled[poll.Worker] {
			polled[poll.Worker] = true
			terms[poll.Term]++
		}
	}
	is.Equal(len(polled), workers)
	is.Equal(len(terms), 2) // one for each shard
}
