package dispatch_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

const (
	homeZone  = "hr-north-a"
	otherZone = "hr-north-b"
)

var (
	thirdLeader     = netip.MustParseAddrPort("10.1.0.3:70")
	foreignReceiver = netip.MustParseAddrPort("10.1.0.9:70")
)

// newInstanceOfTwoZones returns an instance of the home zone that is too light to lead both
// zones.
func newInstanceOfTwoZones() *scriptedInstance {
	s := &scriptedInstance{now: simulationStart, clockStart: simulationStart}
	s.Instance = dispatch.NewInstance(s.now, dispatch.Config{
		Self: selfAddress, Zone: homeZone, Zones: []string{homeZone, otherZone}, Weight: 1, Wall: s.now,
	})
	s.SetDrainedZones(s.now, 1, nil)
	return s
}

// leads delivers a heartbeat of the leader of zone.
func (s *scriptedInstance) leads(from netip.AddrPort, zone string, term uint64) {
	s.Receive(s.now, from, &peer.Envelope{
		Zone: zone, Incarnation: 1,
		Beat: &peer.Beat{Leads: []*peer.Lead{{Zone: zone, Term: term}}, LeaderPerZone: true, Weight: 1, TableRevision: 1},
	})
}

// follow advances the time by d while the home leader and, if other is valid, the leader of
// the other zone send heartbeats.
func (s *scriptedInstance) follow(d time.Duration, other netip.AddrPort, term uint64) {
	for range d / (50 * time.Millisecond) {
		s.leads(firstLeader, homeZone, 1024)
		if other.IsValid() {
			s.leads(other, otherZone, term)
		}
		s.advance(50 * time.Millisecond)
	}
}

// ended delivers the state of a job that a leader reports.
func (s *scriptedInstance) ended(from netip.AddrPort, end *peer.JobEnd) {
	s.Receive(s.now, from, &peer.Envelope{Incarnation: 1, JobEnds: []*peer.JobEnd{end}})
	s.take()
}

// redirect submits a job that the home leader redirects to the other zone.
func (s *scriptedInstance) redirect(id string) {
	s.Submit(s.now, 1, s.job(id))
	s.take()
	s.ended(firstLeader, &peer.JobEnd{Id: id, State: peer.JobState_JOB_STATE_REDIRECTED, Zone: otherZone})
}

// hasWithdrawn reports whether a job was withdrawn from addr.
func (s *scriptedInstance) hasWithdrawn(addr netip.AddrPort, id string) bool {
	return slices.ContainsFunc(s.effects.Sends, func(send dispatch.Send) bool {
		return send.To == addr && slices.Contains(send.Envelope.Withdrawn, id)
	})
}

// settle returns the time until the runs of earlier leaders of a job have ended.
func settle(j *peer.Job) time.Duration { return time.Duration(j.SettleNanos) }

// TestReceiverForwardsARedirectedJobOnce guards against a redirected job that is lost or that
// two leaders have: the receiver forwards it to the other zone's leader, ignores a repeated
// answer of the home leader, and takes the answer of the other leader only.
func TestReceiverForwardsARedirectedJobOnce(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, secondLeader, 2048)
	s.redirect("1")
	sent := s.jobSent(secondLeader)
	is.True(sent != nil)
	is.Equal(sent.Zone, otherZone)
	is.Equal(int(sent.Round), 0)

	s.effects = dispatch.Effects{}
	s.ended(firstLeader, &peer.JobEnd{Id: "1", State: peer.JobState_JOB_STATE_REDIRECTED, Zone: otherZone})
	is.Equal(s.jobSent(secondLeader), nil)
	s.ended(firstLeader, &peer.JobEnd{Id: "1", State: peer.JobState_JOB_STATE_NOT_RUN})
	is.Equal(len(s.effects.Answers), 0)
	s.ended(secondLeader, &peer.JobEnd{Id: "1", State: peer.JobState_JOB_STATE_NOT_RUN})
	is.Equal(len(s.effects.Answers), 1)
}

// TestRejectedJobReturnsHome guards against a redirected job that waits at an instance that
// does not lead the other zone. If that instance had it twice, it may have started tasks.
func TestRejectedJobReturnsHome(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		s := newInstanceOfTwoZones()
		s.follow(500*time.Millisecond, secondLeader, 2048)
		s.redirect("1")
		if reset {
			s.LinkReset(s.now, secondLeader)
			s.take()
		}
		s.effects = dispatch.Effects{}
		s.ended(secondLeader, &peer.JobEnd{Id: "1", State: peer.JobState_JOB_STATE_REDIRECTED})
		sent := s.jobSent(firstLeader)
		is.True(sent != nil)
		is.Equal(sent.Zone, homeZone) // so that it is not redirected again
		is.Equal(sent.Round > 0, reset)
		is.Equal(settle(sent) > time.Second, reset)
		is.True(s.hasWithdrawn(secondLeader, "1"))
	}
}

// TestRedirectToAnUnknownLeaderReturnsHome guards against a job that waits for a leader of
// another zone of which the receiver has never heard.
func TestRedirectToAnUnknownLeaderReturnsHome(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, netip.AddrPort{}, 0)
	s.redirect("1")
	sent := s.jobSent(firstLeader)
	is.Equal(sent.Zone, homeZone)
	is.Equal(int(sent.Round), 0)
}

// TestRedirectedJobFollowsTheLeaderOfItsZone replaces the leader of the other zone. The next
// one gets the job as one that may have run.
func TestRedirectedJobFollowsTheLeaderOfItsZone(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, secondLeader, 2048)
	s.redirect("1")
	s.follow(100*time.Millisecond, secondLeader, 2048)
	s.leads(thirdLeader, otherZone, 4096)
	s.take()
	sent := s.jobSent(thirdLeader)
	is.True(sent != nil)
	is.Equal(sent.Zone, otherZone)
	is.Equal(int(sent.Round), 1)
	is.True(settle(sent) > time.Second)
	is.True(s.hasWithdrawn(secondLeader, "1"))
}

// TestJobReturnsFromAZoneWithoutALeader silences the leader of the other zone. The home leader
// gets the job as one whose earlier runs end after the last heartbeat of that leader.
func TestJobReturnsFromAZoneWithoutALeader(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, secondLeader, 2048)
	s.redirect("1")
	s.follow(200*time.Millisecond, secondLeader, 2048)
	lastSeen := s.now.Add(-50 * time.Millisecond)
	s.effects = dispatch.Effects{}
	s.follow(1800*time.Millisecond, netip.AddrPort{}, 0)
	is.Equal(s.jobSent(firstLeader), nil)
	for s.jobSent(firstLeader) == nil {
		s.follow(50*time.Millisecond, netip.AddrPort{}, 0)
	}
	sent := s.jobSent(firstLeader)
	is.Equal(sent.Zone, homeZone)
	is.Equal(int(sent.Round), 1)
	left := lastSeen.Add(1250 * time.Millisecond).Sub(s.now)
	is.True((settle(sent) - left).Abs() <= 60*time.Millisecond)
	is.True(s.hasWithdrawn(secondLeader, "1"))

	// Until it is reached again, no job is redirected to that zone.
	s.effects = dispatch.Effects{}
	s.Submit(s.now, 2, s.job("2"))
	s.take()
	s.ended(firstLeader, &peer.JobEnd{Id: "2", State: peer.JobState_JOB_STATE_REDIRECTED, Zone: otherZone})
	is.Equal(s.jobSent(secondLeader), nil)
	is.Equal(s.jobSent(firstLeader).Zone, homeZone)
}

// forwardForeign delivers a redirected job of a receiver of the other zone.
func (s *scriptedInstance) forwardForeign(id, zone string) {
	s.Receive(s.now, foreignReceiver, &peer.Envelope{
		Zone: otherZone, Incarnation: 3,
		Jobs: []*peer.Job{{
			Id: id, Route: "previews", Pool: "editor", MaxAttempts: 1, Stretch: 2, SlackNanos: int64(time.Second), Zone: zone,
			PatienceNanos: int64(3 * time.Second),
			Steps:         []*peer.Step{{Tasks: 1, Millicores: 1000, MemoryMib: 1, EstimateNanos: int64(60 * time.Millisecond)}},
		}},
	})
	s.take()
}

// answerHeartbeats delivers the foreign receiver's answers to the heartbeats that were sent to
// it since the last call, and returns their number.
func (s *scriptedInstance) answerHeartbeats() int {
	n := 0
	for _, send := range s.effects.Sends {
		if send.To != foreignReceiver || send.Envelope.Beat == nil {
			continue
		}
		n++
		s.Receive(s.now, foreignReceiver, &peer.Envelope{
			Zone: otherZone, Incarnation: 3,
			Beat: &peer.Beat{Reply: true, EchoNanos: send.Envelope.Beat.SentNanos, LeaderPerZone: true, Weight: 1},
		})
	}
	s.effects.Sends = nil
	s.take()
	return n
}

// leadHomeZone makes the instance lead the home zone, while another one leads the other.
func (s *scriptedInstance) leadHomeZone() {
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: homeZone,
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	for range 120 {
		s.leads(secondLeader, otherZone, 2048)
		s.advance(50 * time.Millisecond)
	}
	s.RecordWorkersRead(s.now)
}

// TestLeaderConfirmsRedirectedJobs guards the rule that a run lives only while its receiver
// confirms it, for a receiver of another zone that the leader has not known before.
func TestLeaderConfirmsRedirectedJobs(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.leadHomeZone()
	is.True(s.Leading())
	s.effects = dispatch.Effects{}
	s.forwardForeign("1", homeZone)
	is.Equal(len(s.effects.Starts), 0) // nobody has confirmed the job
	is.Equal(s.answerHeartbeats(), 1)  // the first heartbeat goes out at once
	is.Equal(len(s.effects.Starts), 1) // it is confirmed
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	for n := range 20 {
		s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: n}}
		s.leads(secondLeader, otherZone, 2048)
		s.advance(50 * time.Millisecond)
		s.answerHeartbeats()
	}
	is.Equal(len(s.effects.Stops), 0)
	for range 10 {
		s.leads(secondLeader, otherZone, 2048)
		s.advance(50 * time.Millisecond) // the receiver is silent
	}
	is.True(len(s.effects.Stops) > 0)
}

// TestLeaderRejectsRedirectedJobsOfOtherZones guards against a redirected job that a former
// leader of its zone ignores. A job that was not redirected waits for the leader's change.
func TestLeaderRejectsRedirectedJobsOfOtherZones(t *testing.T) {
	for _, leading := range []bool{true, false} {
		is := is.New(t)
		s := newInstanceOfTwoZones()
		if leading {
			s.leadHomeZone()
		}
		for _, zone := range []string{"", "hr-north-c"} {
			s.effects = dispatch.Effects{}
			s.forwardForeign("1", zone)
			var ends []*peer.JobEnd
			for _, send := range s.effects.Sends {
				ends = append(ends, send.Envelope.JobEnds...)
			}
			if zone == "" {
				is.Equal(len(ends), 0)
				continue
			}
			is.Equal(len(ends), 1)
			is.Equal(ends[0].State, peer.JobState_JOB_STATE_REDIRECTED)
			is.Equal(ends[0].Zone, "")
		}
	}
}

// TestFloodOfOneZoneIsServedByOthers guards against refusals in one zone while the workers of
// the others are unused.
func TestFloodOfOneZoneIsServedByOthers(t *testing.T) {
	is := is.New(t)
	sim := newSimulationOf(1, simulationConfig{apart: true})
	sim.run(warmUp)
	sim.startedInZone = make(map[string]int)
	for range 18 { // more than one zone can start before it refuses them
		sim.submit(0)
		sim.run(20 * time.Millisecond)
	}
	sim.run(8 * time.Second)
	for _, j := range sim.jobs {
		is.True(!slices.Contains(j.answered, dispatch.NotRun))
	}
	is.True(sim.redirected > 0)
	is.True(sim.startedInZone[simulationZones[1]] > 0)
	is.True(sim.startedInZone[simulationZones[2]] > 0)
	is.Equal(sim.violations, nil)
}

// leadsWithRoom delivers a heartbeat of the leader of the other zone, with a load that shows
// free capacity.
func (s *scriptedInstance) leadsWithRoom() {
	s.Receive(s.now, secondLeader, &peer.Envelope{
		Zone: otherZone, Incarnation: 1,
		Beat: &peer.Beat{
			Leads: []*peer.Lead{{Zone: otherZone, Term: 2048}}, LeaderPerZone: true, Weight: 1, TableRevision: 1,
			Loads: []*peer.ZoneLoad{{Zone: otherZone, Pools: []*peer.PoolRoom{{Pool: "editor", Millicores: 9000, FreeMillicores: 9000}}}},
		},
	})
}

// TestZoneWithoutWorkersRedirectsItsJobs guards against jobs that wait in a zone whose workers
// all leave. A job that returns is served once there is a worker, and is not redirected again.
func TestZoneWithoutWorkersRedirectsItsJobs(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.leadHomeZone()
	leaving := dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: homeZone,
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100}, Leaving: true,
	}
	s.SetWorker(s.now, leaving)
	s.leadsWithRoom()
	s.effects = dispatch.Effects{}
	s.Submit(s.now, 1, s.job("1"))
	s.advance(20 * time.Millisecond)
	sent := s.jobSent(secondLeader)
	is.True(sent != nil)
	is.Equal(sent.Zone, otherZone)
	is.Equal(len(s.effects.Starts), 0)

	s.effects = dispatch.Effects{}
	s.leadsWithRoom()
	s.ended(secondLeader, &peer.JobEnd{Id: "1", State: peer.JobState_JOB_STATE_REDIRECTED})
	s.advance(20 * time.Millisecond)
	is.Equal(s.jobSent(secondLeader), nil)
	leaving.Leaving = false
	s.SetWorker(s.now, leaving)
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
}
