package dispatch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/peer"
)

// Guards against two runs of a task at once: a redirected job returns home, where the leader
// was lost long before, and may be running in the other zone. The next home leader must wait
// for the runs there, not only for those of the lost home leader.
func TestReturnedJobKeepsTheEndOfItsRunsElsewhere(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, secondLeader, 2048)
	s.redirect("1")
	for range 20 { // the home leader is lost
		s.leads(secondLeader, otherZone, 2048)
		s.advance(50 * time.Millisecond)
	}
	s.LinkReset(s.now, secondLeader)
	s.take()
	s.ended(secondLeader, &peer.JobEnd{Id: "1", State: peer.JobState_JOB_STATE_REDIRECTED})
	s.leads(thirdLeader, homeZone, 4096)
	s.take()
	sent := s.jobSent(thirdLeader)
	is.True(sent != nil)
	is.True(settle(sent) > time.Second)
}

// leadsShard delivers a heartbeat of the leader of a shard, with a decision on the number of
// shards.
func (s *scriptedInstance) leadsShard(from netip.AddrPort, shard string, term uint64, sharding uint32) {
	s.Receive(s.now, from, &peer.Envelope{
		Zone: shard, Incarnation: 1,
		Beat: &peer.Beat{Leads: []*peer.Lead{{Zone: shard, Term: term}}, LeaderPerZone: true, Weight: 1, TableRevision: 1, Shards: sharding},
	})
	s.take()
}

// Guards against redirected jobs that wait for the leader of a shard that does not exist any
// more: they return home with the change of the number of shards, as jobs that may be running.
func TestRedirectedJobsReturnWhenTheNumberOfShardsChanges(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, secondLeader, 2048)
	s.redirect("1")
	s.follow(200*time.Millisecond, secondLeader, 2048)
	const two = 1<<8 | 2
	s.leadsShard(secondLeader, otherZone+"/0of2", 1<<50, two)
	is.True(s.hasWithdrawn(secondLeader, "1"))
	own := s.Shards().Own
	is.True(own != homeZone)
	s.leadsShard(thirdLeader, own, 1<<50, two)
	sent := s.jobSent(thirdLeader)
	is.True(sent != nil)
	is.Equal(sent.Zone, own) // not redirected again
	is.True(sent.Round > 0)
	is.True(settle(sent) > time.Second)
}

// Guards against shards of one zone that do not share their capacity: the callers of one
// instance send more than its shard can serve.
func TestFloodOfOneShardIsServedByTheOther(t *testing.T) {
	is := is.New(t)
	sim := newSimulationOf(1, simulationConfig{apart: true, shards: true})
	sim.run(warmUp)
	for range 60 {
		sim.nextJob++
		j := &simulatedJob{id: fmt.Sprintf("%016x", sim.nextJob), tasks: 1, arrived: sim.now, tries: 1}
		sim.jobs[j.id] = j
		sim.instances[0].submit(j)
		sim.run(10 * time.Millisecond)
	}
	sim.run(8 * time.Second)
	is.True(sim.redirectedTo[simulationZones[0]] > 0) // to the other shard of the zone
	is.True(sim.redirectedTo[simulationZones[1]]+sim.redirectedTo[simulationZones[2]] > 0)
	sim.checkRefusals()
	is.Equal(sim.violations, nil)
}
