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

// A scriptedInstance is an instance that a test drives step by step.
type scriptedInstance struct {
	*dispatch.Instance
	now time.Time
	// clockStart is when the worker's clock started.
	clockStart time.Time
	// effects are the effects that take has collected.
	effects dispatch.Effects
	// report is the worker's answer to polls.
	report dispatch.Report
	// holdPolls delays the answers to polls, which are collected in heldPolls.
	holdPolls bool
	heldPolls []dispatch.Poll
	// restarts is how often the worker has restarted.
	restarts int64
	// unanswered reports whether a poll gets no answer. It may be nil.
	unanswered func(dispatch.Poll) bool
	// left are the callers whose connections are closed.
	left map[dispatch.CallerID]bool
}

func newScriptedInstance() *scriptedInstance {
	s := &scriptedInstance{now: simulationStart, clockStart: simulationStart, left: make(map[dispatch.CallerID]bool)}
	s.Instance = dispatch.NewInstance(s.now, dispatch.Config{
		Self: selfAddress, Zone: "hr-north-a", Zones: []string{"hr-north-a"}, Wall: s.now, Callers: s,
	})
	s.SetDrainedZones(s.now, 1, nil)
	return s
}

// Connected implements dispatch.Callers.
func (s *scriptedInstance) Connected(caller dispatch.CallerID) bool { return !s.left[caller] }

// advance advances the time by d. Polls are answered with the report.
func (s *scriptedInstance) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(10 * time.Millisecond)
		s.Tick(s.now)
		s.take()
	}
}

// take collects the effects, and answers the polls among them.
func (s *scriptedInstance) take() {
	e := s.Take(s.now)
	s.effects.Answers = append(s.effects.Answers, e.Answers...)
	s.effects.Sends = append(s.effects.Sends, e.Sends...)
	s.effects.Starts = append(s.effects.Starts, e.Starts...)
	s.effects.Stops = append(s.effects.Stops, e.Stops...)
	s.effects.Polls = append(s.effects.Polls, e.Polls...)
	s.effects.Decisions = append(s.effects.Decisions, e.Decisions...)
	if s.holdPolls {
		s.heldPolls = append(s.heldPolls, e.Polls...)
		return
	}
	s.answerPolls(e.Polls)
}

// answerPolls answers polls with the report, except those that get no answer.
func (s *scriptedInstance) answerPolls(polls []dispatch.Poll) {
	for _, poll := range polls {
		if s.unanswered != nil && s.unanswered(poll) {
			continue
		}
		s.report.Incarnation, s.report.Clock = 1+s.restarts, s.now.Sub(s.clockStart)
		s.PollDone(s.now, poll, s.report, dispatch.Accepted)
	}
}

// lead makes the instance lead its zone with one worker.
func (s *scriptedInstance) lead() {
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	for !s.Leading() {
		s.advance(10 * time.Millisecond)
	}
	s.RecordWorkersRead(s.now) // as a leader does at once
	s.advance(100 * time.Millisecond)
}

// heartbeat delivers a heartbeat of a leader.
func (s *scriptedInstance) heartbeat(from netip.AddrPort, term uint64) {
	s.Receive(s.now, from, &peer.Envelope{
		Zone: "hr-north-a",
		Beat: &peer.Beat{Leads: []*peer.Lead{{Zone: "hr-north-a", Term: term}}},
	})
}

// heartbeats advances the time by d while heartbeats of a leader arrive.
func (s *scriptedInstance) heartbeats(from netip.AddrPort, term uint64, d time.Duration) {
	for range d / (50 * time.Millisecond) {
		s.heartbeat(from, term)
		s.advance(50 * time.Millisecond)
	}
}

func (s *scriptedInstance) job(id string) dispatch.Job {
	return dispatch.Job{
		ID: id, Route: "previews", Pool: "editor", MaxAttempts: 1, Stretch: 2, Slack: 100 * time.Millisecond,
		Steps:   []dispatch.Step{{Tasks: 1, Needs: dispatch.Resources{Millicores: 1000, Memory: 1}, Estimate: 60 * time.Millisecond}},
		Arrived: s.now, CallerDeadline: s.now.Add(3 * time.Second),
	}
}

// jobSent returns the last job that was sent to addr.
func (s *scriptedInstance) jobSent(addr netip.AddrPort) *peer.Job {
	var last *peer.Job
	for _, send := range s.effects.Sends {
		if send.To == addr && len(send.Envelope.Jobs) > 0 {
			last = send.Envelope.Jobs[len(send.Envelope.Jobs)-1]
		}
	}
	return last
}

// TestEndedLeaderLossIsForgotten silences a leader for a moment, delivers its heartbeats
// again for long, and then replaces it. The time until which the next leader must expect
// earlier runs counts from the change of leaders, not from the loss that has ended.
func TestEndedLeaderLossIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.advance(peer.LeaderTimeout + 20*time.Millisecond)
	s.heartbeats(firstLeader, 1024, 3*time.Second)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.advance(10 * time.Millisecond)
	is.Equal(s.jobSent(firstLeader).Round, uint32(0))
	s.heartbeat(secondLeader, 2048)
	s.advance(10 * time.Millisecond)
	again := s.jobSent(secondLeader)
	is.Equal(again.Round, uint32(1))
	is.True(time.Duration(again.SettleNanos) > time.Second) // the longest lease
}

// TestJobForwardedAgainMayHaveRun resets the link to the leader, which may have
// dropped the job meanwhile. The job is forwarded again as one that may have run.
func TestJobForwardedAgainMayHaveRun(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.advance(10 * time.Millisecond)
	is.Equal(s.jobSent(firstLeader).Round, uint32(0))
	s.LinkReset(s.now, firstLeader)
	s.advance(10 * time.Millisecond)
	is.Equal(s.jobSent(firstLeader).Round, uint32(1))
}

// TestJobIsWithdrawnFromFormerLeader changes the leader while the former one is
// running. The former leader would otherwise continue the job.
func TestJobIsWithdrawnFromFormerLeader(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.advance(10 * time.Millisecond)
	s.heartbeat(secondLeader, 2048)
	s.advance(10 * time.Millisecond)
	withdrawn := false
	for _, send := range s.effects.Sends {
		withdrawn = withdrawn || send.To == firstLeader && len(send.Envelope.Withdrawn) == 1
	}
	is.True(withdrawn)

	// Of the former leader's reports about the job only its completion counts now.
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", JobEnds: []*peer.JobEnd{
		{Id: "5c0e7a21d94b36f8", State: peer.JobState_JOB_STATE_NOT_RUN},
	}})
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Answers), 0)
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", JobEnds: []*peer.JobEnd{
		{Id: "5c0e7a21d94b36f8", State: peer.JobState_JOB_STATE_COMPLETED},
	}})
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Answers), 1)
	is.Equal(s.effects.Answers[0].End.State, dispatch.Completed)
}

// forward forwards a job to the instance, which leads, from a receiver in its zone. The
// receiver also answers a heartbeat that the instance sends now.
func (s *scriptedInstance) forward(j *peer.Job) {
	s.Receive(s.now, firstLeader, &peer.Envelope{
		Zone: "hr-north-a", Beat: &peer.Beat{Reply: true, EchoNanos: s.now.UnixNano()}, Jobs: []*peer.Job{j},
	})
}

// TestJobOfAnEarlierLeaderIsNeverReportedNotRun forwards to a leader without free
// resources a job that another leader had, which may have started tasks, and a job
// that none had.
func TestJobOfAnEarlierLeaderIsNeverReportedNotRun(t *testing.T) {
	for _, test := range []struct {
		round uint32
		want  peer.JobState
	}{
		{round: 0, want: peer.JobState_JOB_STATE_NOT_RUN},
		{round: 1, want: peer.JobState_JOB_STATE_OVERDUE},
	} {
		is := is.New(t)
		s := newScriptedInstance()
		s.lead()
		// The task fits on no worker.
		j := &peer.Job{
			Id: "5c0e7a21d94b36f8", Pool: "editor", MaxAttempts: 1, Stretch: 2, PatienceNanos: int64(5 * time.Second), Round: test.round,
			Steps: []*peer.Step{{Tasks: 1, Millicores: 10_000, EstimateNanos: int64(60 * time.Millisecond)}},
		}
		s.forward(j)
		for range 60 {
			s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}})
			s.advance(20 * time.Millisecond)
		}
		var ends []*peer.JobEnd
		for _, send := range s.effects.Sends {
			ends = append(ends, send.Envelope.JobEnds...)
		}
		is.Equal(len(ends), 1)
		is.Equal(ends[0].State, test.want)
	}
}

// TestTaskDoesNotStartWhileItsRunIsStopping withdraws a job whose task is running,
// and forwards it again at once. The task starts again only after the worker has
// reported the end of the run.
func TestTaskDoesNotStartWhileItsRunIsStopping(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	j := &peer.Job{
		Id: "5c0e7a21d94b36f8", Pool: "editor", MaxAttempts: 1, Stretch: 2, SlackNanos: int64(time.Second), PatienceNanos: int64(5 * time.Second),
		Steps: []*peer.Step{{Tasks: 1, Millicores: 1000, EstimateNanos: int64(60 * time.Millisecond)}},
	}
	s.forward(j)
	s.take()
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: 10}}
	s.advance(20 * time.Millisecond)

	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Withdrawn: []string{j.Id}})
	s.forward(j)
	s.advance(40 * time.Millisecond)
	is.Equal(len(s.effects.Stops), 1)
	is.Equal(len(s.effects.Starts), 1) // the run is still reported
	s.report.Running = nil
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunAborted}}
	s.advance(40 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 2)
	is.True(s.effects.Starts[1].Number > start.Number)
}

// TestNewLeaderAdoptsOrStopsRuns takes over a worker on which two tasks are running.
// The job of one is forwarded in time: its run is adopted, and the other is stopped.
func TestNewLeaderAdoptsOrStopsRuns(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	wanted := dispatch.TaskID{Job: "5c0e7a21d94b36f8"}
	unwanted := dispatch.TaskID{Job: "5c0e7a21d94b36f9"}
	s.report.Running = []dispatch.RunningTask{{Task: wanted, Number: 1, Percent: 10}, {Task: unwanted, Number: 3, Percent: 10}}
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	// Another instance answers that it knows no leader either.
	for !s.Leading() {
		s.Receive(s.now, secondLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}})
		s.advance(10 * time.Millisecond)
	}
	s.advance(20 * time.Millisecond)
	s.forward(&peer.Job{
		Id: wanted.Job, Pool: "editor", MaxAttempts: 1, Stretch: 2, SlackNanos: int64(time.Second), PatienceNanos: int64(5 * time.Second),
		Round: 1, SettleNanos: int64(time.Second), Steps: []*peer.Step{{Tasks: 1, Millicores: 1000, EstimateNanos: int64(time.Second)}},
	})
	for range 30 {
		s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}})
		s.report.Running[0].Percent++
		s.advance(20 * time.Millisecond)
	}
	is.Equal(len(s.effects.Starts), 0)
	for _, stop := range s.effects.Stops {
		is.Equal(stop.Task, unwanted)
	}
	is.True(len(s.effects.Stops) > 0)
}

// TestAdoptedEndsEndAForwardedJob guards against a job that ends unnoticed: all its tasks have
// ended under an earlier leader, and the next one reads their ends before the job is forwarded
// to it. The receiver must get the end.
func TestAdoptedEndsEndAForwardedJob(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	task := dispatch.TaskID{Job: abandonedID}
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: task, Number: 1, Result: dispatch.RunSucceeded}}
	s.lead()
	s.forward(forwardedJob(abandonedID))
	s.take()
	var ends []*peer.JobEnd
	for _, send := range s.effects.Sends {
		ends = append(ends, send.Envelope.JobEnds...)
	}
	is.Equal(len(ends), 1)
	is.Equal(ends[0].State, peer.JobState_JOB_STATE_COMPLETED)
	is.Equal(len(s.effects.Starts), 0)
}
