package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

var (
	selfAddress  = netip.MustParseAddrPort("10.0.0.9:70")
	firstLeader  = netip.MustParseAddrPort("10.0.0.1:70")
	secondLeader = netip.MustParseAddrPort("10.0.0.2:70")
)

// A scripted instance is driven by hand, step by step.
type scripted struct {
	*dispatch.Instance
	now time.Time
	// start is when the worker's clock began.
	start time.Time
	// effects are those since the last call of take.
	effects dispatch.Effects
	// report is what the worker lists.
	report dispatch.Report
}

func newScripted() *scripted {
	s := &scripted{now: worldStart, start: worldStart}
	s.Instance = dispatch.NewInstance(s.now, dispatch.Config{
		Self: selfAddress, Zone: "hr-north-a", Zones: []string{"hr-north-a"}, Wall: s.now,
	})
	return s
}

// pass lets time pass, while looks are answered with the report.
func (s *scripted) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(10 * time.Millisecond)
		s.Tick(s.now)
		s.take()
	}
}

// take collects the effects, and answers the looks among them.
func (s *scripted) take() {
	e := s.Take(s.now)
	s.effects.Answers = append(s.effects.Answers, e.Answers...)
	s.effects.Sends = append(s.effects.Sends, e.Sends...)
	s.effects.Starts = append(s.effects.Starts, e.Starts...)
	s.effects.Stops = append(s.effects.Stops, e.Stops...)
	for _, look := range e.Polls {
		s.report.Incarnation, s.report.Clock = 1, s.now.Sub(s.start)
		s.PollDone(s.now, look, s.report, dispatch.Accepted)
	}
}

// lead makes the instance lead its zone with one worker.
func (s *scripted) lead() {
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	for !s.Leading() {
		s.pass(10 * time.Millisecond)
	}
	s.pass(100 * time.Millisecond)
}

// beat is heard from a leader.
func (s *scripted) beat(from netip.AddrPort, term uint64) {
	s.Receive(s.now, from, &peer.Envelope{
		Zone: "hr-north-a",
		Beat: &peer.Beat{Leads: []*peer.Lead{{Zone: "hr-north-a", Term: term}}},
	})
}

// heard lets time pass while a leader is heard.
func (s *scripted) heard(from netip.AddrPort, term uint64, d time.Duration) {
	for range d / (50 * time.Millisecond) {
		s.beat(from, term)
		s.pass(50 * time.Millisecond)
	}
}

func (s *scripted) job(id string) dispatch.Job {
	return dispatch.Job{
		ID: id, Route: "previews", Pool: "editor", MaxAttempts: 1, Stretch: 2, Slack: 100 * time.Millisecond,
		Steps:   []dispatch.Step{{Tasks: 1, Needs: dispatch.Resources{Millicores: 1000, Memory: 1}, Estimate: 60 * time.Millisecond}},
		Arrived: s.now, CallerDeadline: s.now.Add(3 * time.Second),
	}
}

// jobSent returns the last job that was sent to addr.
func (s *scripted) jobSent(addr netip.AddrPort) *peer.Job {
	var last *peer.Job
	for _, send := range s.effects.Sends {
		if send.To == addr && len(send.Envelope.Jobs) > 0 {
			last = send.Envelope.Jobs[len(send.Envelope.Jobs)-1]
		}
	}
	return last
}

// TestLossThatPassedIsForgotten silences a leader for a moment, hears it for long
// again, and then replaces it: the next leader is told that something may be at
// work for as long as after any leader that was heard until now.
func TestLossThatPassedIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	s.heard(firstLeader, 1024, 500*time.Millisecond)
	s.pass(peer.LeaderTimeout + 20*time.Millisecond)
	s.heard(firstLeader, 1024, 3*time.Second)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.pass(10 * time.Millisecond)
	is.Equal(s.jobSent(firstLeader).Round, uint32(0))
	s.beat(secondLeader, 2048)
	s.pass(10 * time.Millisecond)
	again := s.jobSent(secondLeader)
	is.Equal(again.Round, uint32(1))
	is.True(time.Duration(again.SettleNanos) > time.Second) // the longest lease
}

// TestJobGivenAgainMayHaveRun breaks the link to the leader, which may have dropped
// the job meanwhile: it is given again as one that may have run.
func TestJobGivenAgainMayHaveRun(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	s.heard(firstLeader, 1024, 500*time.Millisecond)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.pass(10 * time.Millisecond)
	is.Equal(s.jobSent(firstLeader).Round, uint32(0))
	s.LinkReset(s.now, firstLeader)
	s.pass(10 * time.Millisecond)
	is.Equal(s.jobSent(firstLeader).Round, uint32(1))
}

// TestFormerLeaderIsToldToLetGo changes the leader while the former one is heard.
func TestFormerLeaderIsToldToLetGo(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	s.heard(firstLeader, 1024, 500*time.Millisecond)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.pass(10 * time.Millisecond)
	s.beat(secondLeader, 2048)
	s.pass(10 * time.Millisecond)
	withdrawn := false
	for _, send := range s.effects.Sends {
		withdrawn = withdrawn || send.To == firstLeader && len(send.Envelope.Withdrawn) == 1
	}
	is.True(withdrawn)

	// What the former leader says of the job now is not believed, but for an end.
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", JobEnds: []*peer.JobEnd{
		{Id: "5c0e7a21d94b36f8", State: peer.JobState_JOB_STATE_NOT_RUN},
	}})
	s.pass(10 * time.Millisecond)
	is.Equal(len(s.effects.Answers), 0)
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", JobEnds: []*peer.JobEnd{
		{Id: "5c0e7a21d94b36f8", State: peer.JobState_JOB_STATE_COMPLETED},
	}})
	s.pass(10 * time.Millisecond)
	is.Equal(len(s.effects.Answers), 1)
	is.Equal(s.effects.Answers[0].End.State, dispatch.Completed)
}

// given sends a job to the instance, which leads, from a receiver in its zone.
func (s *scripted) given(j *peer.Job) {
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}, Jobs: []*peer.Job{j}})
}

// TestJobOfAnEarlierLeaderIsNeverCalledNotRun gives a leader without room a job
// that another leader had, and one that none had.
func TestJobOfAnEarlierLeaderIsNeverCalledNotRun(t *testing.T) {
	for _, test := range []struct {
		round uint32
		want  peer.JobState
	}{
		{round: 0, want: peer.JobState_JOB_STATE_NOT_RUN},
		{round: 1, want: peer.JobState_JOB_STATE_OVERDUE},
	} {
		is := is.New(t)
		s := newScripted()
		s.lead()
		// The task fits nowhere.
		j := &peer.Job{
			Id: "5c0e7a21d94b36f8", Pool: "editor", MaxAttempts: 1, Stretch: 2, PatienceNanos: int64(5 * time.Second), Round: test.round,
			Steps: []*peer.Step{{Tasks: 1, Millicores: 10_000, EstimateNanos: int64(60 * time.Millisecond)}},
		}
		s.given(j)
		for range 60 {
			s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}})
			s.pass(20 * time.Millisecond)
		}
		var ends []*peer.JobEnd
		for _, send := range s.effects.Sends {
			ends = append(ends, send.Envelope.JobEnds...)
		}
		is.Equal(len(ends), 1)
		is.Equal(ends[0].State, test.want)
	}
}

// TestNoTaskStartsWhileARunOfItIsStopped withdraws a job whose task is at work,
// and gives it again at once: its task starts anew only once the worker has listed
// the end of the run.
func TestNoTaskStartsWhileARunOfItIsStopped(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	s.lead()
	j := &peer.Job{
		Id: "5c0e7a21d94b36f8", Pool: "editor", MaxAttempts: 1, Stretch: 2, SlackNanos: int64(time.Second), PatienceNanos: int64(5 * time.Second),
		Steps: []*peer.Step{{Tasks: 1, Millicores: 1000, EstimateNanos: int64(60 * time.Millisecond)}},
	}
	s.given(j)
	s.take()
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.start))
	s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: 10}}
	s.pass(20 * time.Millisecond)

	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Withdrawn: []string{j.Id}})
	s.given(j)
	s.pass(40 * time.Millisecond)
	is.Equal(len(s.effects.Stops), 1)
	is.Equal(len(s.effects.Starts), 1) // the run is still listed
	s.report.Running = nil
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunAborted}}
	s.pass(40 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 2)
	is.True(s.effects.Starts[1].Number > start.Number)
}

// TestNewLeaderAdoptsOrStopsWhatRuns takes over a worker on which two tasks run:
// the job of one is given again in time.
func TestNewLeaderAdoptsOrStopsWhatRuns(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	wanted := dispatch.TaskID{Job: "5c0e7a21d94b36f8"}
	unwanted := dispatch.TaskID{Job: "5c0e7a21d94b36f9"}
	s.report.Running = []dispatch.RunningTask{{Task: wanted, Number: 1, Percent: 10}, {Task: unwanted, Number: 3, Percent: 10}}
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	// Another instance answers that it hears no leader either.
	for !s.Leading() {
		s.Receive(s.now, secondLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}})
		s.pass(10 * time.Millisecond)
	}
	s.pass(20 * time.Millisecond)
	s.given(&peer.Job{
		Id: wanted.Job, Pool: "editor", MaxAttempts: 1, Stretch: 2, SlackNanos: int64(time.Second), PatienceNanos: int64(5 * time.Second),
		Round: 1, SettleNanos: int64(time.Second), Steps: []*peer.Step{{Tasks: 1, Millicores: 1000, EstimateNanos: int64(time.Second)}},
	})
	for range 30 {
		s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}})
		s.report.Running[0].Percent++
		s.pass(20 * time.Millisecond)
	}
	is.Equal(len(s.effects.Starts), 0)
	for _, stop := range s.effects.Stops {
		is.Equal(stop.Task, unwanted)
	}
	is.True(len(s.effects.Stops) > 0)
}
