package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// Guards against a new leader of a drained zone that refuses jobs because it has not received
// the loads of the other zones yet, or that keeps them until it has polled its workers, on
// which nothing may start anyway.
func TestNewLeaderOfADrainedZoneWaitsForLoads(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.SetDrainedZones(s.now, 2, []string{homeZone})
	s.listTwoWorkers()
	for n := 0; !s.Leading() && n < 1000; n++ {
		s.leads(secondLeader, otherZone, 2048)
		s.advance(10 * time.Millisecond)
	}
	s.RecordWorkersRead(s.now)
	s.effects = dispatch.Effects{}
	s.Submit(s.now, 1, s.job("1"))
	s.leads(secondLeader, otherZone, 2048)
	s.advance(60 * time.Millisecond)
	is.Equal(len(s.effects.Answers), 0) // no load was received yet
	s.leadsWithRoom()
	s.advance(20 * time.Millisecond)
	is.True(s.jobSent(secondLeader) != nil)
	is.Equal(len(s.effects.Starts), 0)
}

// drainedZoneRun submits jobs to a drained zone that has a leader of its own, at a rate that
// the other zones can serve, while change acts on the zone's leader, and returns the jobs.
func drainedZoneRun(sim *simulation, change func(leader *simulatedInstance)) []*simulatedJob {
	sim.run(warmUp + faultTime) // single tasks take longer than the objective before
	sim.followKnowledge()
	sim.drain(simulationZones[0], time.Minute)
	sim.run(knowledgeLimit)
	sim.startedInZone = make(map[string]int)
	var jobs []*simulatedJob
	for n := range 20 {
		if n == 10 {
			change(sim.leaderOf(0))
		}
		jobs = append(jobs, sim.submit(0))
		sim.run(200 * time.Millisecond)
	}
	sim.run(6 * time.Second)
	return jobs
}

// leaderOf returns the leader of a zone that is led by one of its own instances.
func (sim *simulation) leaderOf(zone int) *simulatedInstance {
	n := slices.IndexFunc(sim.instances, func(n *simulatedInstance) bool {
		return n.zone == zone && n.instance != nil && n.instance.Leading()
	})
	return sim.instances[n]
}

// Guards against a drained zone whose callers are refused, or served late, while the other
// zones have capacity.
func TestJobsOfADrainedZoneEndInTimeElsewhere(t *testing.T) {
	for _, shards := range []bool{false, true} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(shards, seed), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulationOf(seed, simulationConfig{apart: true, shards: shards})
				for _, j := range drainedZoneRun(sim, func(*simulatedInstance) {}) {
					is.Equal(j.end, dispatch.Completed)
					is.Equal(j.tries, 1)
					is.True(j.ended.Sub(j.arrived) < 4*400*time.Millisecond+time.Second) // stretch and slack
				}
				is.Equal(sim.startedInZone[simulationZones[0]], 0)
				is.Equal(sim.violations, nil)
			})
		}
	}
}

// Guards against refused jobs of a drained zone whose leader is leaving: its successor knows the
// drained zones, and no load at first. No job of theirs had an earlier leader that was lost.
func TestJobsOfADrainedZoneAreServedWhileItsLeaderLeaves(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulationOf(seed, simulationConfig{apart: true})
			jobs := drainedZoneRun(sim, func(leader *simulatedInstance) {
				leader.do(leader.incarnation, func() { leader.instance.Leave(sim.now) })
			})
			for _, j := range jobs {
				is.Equal(j.end, dispatch.Completed)
			}
			is.Equal(sim.startedInZone[simulationZones[0]], 0)
			is.Equal(sim.violations, nil)
		})
	}
}

// Guards against starts in a drained zone by a leader that replaces one that was lost, and
// against jobs without an answer. Those that were forwarded to the lost leader are not
// redirected, and may be refused.
func TestDrainedZoneWhoseLeaderIsLost(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulationOf(seed, simulationConfig{apart: true})
			lost := sim.now
			jobs := drainedZoneRun(sim, func(leader *simulatedInstance) {
				lost = sim.now
				leader.kill()
			})
			for _, j := range jobs {
				if j.arrived.Before(lost.Add(-time.Second)) || j.arrived.After(lost.Add(time.Second)) {
					is.Equal(j.end, dispatch.Completed)
				}
				is.True(len(j.answered) > 0)
			}
			is.Equal(sim.startedInZone[simulationZones[0]], 0)
			is.Equal(sim.violations, nil)
		})
	}
}
