package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// TestJobWhoseCallerHasLeftIsNotForwarded guards against a request that is read late, after a
// pause, when its caller has left and has submitted the job again elsewhere.
func TestJobWhoseCallerHasLeftIsNotForwarded(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.left[1] = true
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advance(200 * time.Millisecond)
	is.True(s.jobSent(firstLeader) == nil)
	is.Equal(s.OpenJobs(), 0)

	s.Submit(s.now, 2, s.job(abandonedID)) // by a caller that waits
	s.advance(10 * time.Millisecond)
	is.True(s.jobSent(firstLeader) != nil)
}

// TestLateRequestDoesNotProlongAJob guards against the request of a caller that has left, and is
// read late, which prolongs the deadline of the same job of a caller that waits.
func TestLateRequestDoesNotProlongAJob(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	job := s.job(abandonedID)
	job.CallerDeadline = s.now.Add(400 * time.Millisecond)
	s.Submit(s.now, 1, job)
	s.left[2] = true
	s.Submit(s.now, 2, s.job(abandonedID))
	s.take()
	is.Equal(len(s.effects.Answers), 1) // to the caller that has left
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	is.Equal(len(s.effects.Answers), 2)
	is.Equal(s.OpenJobs(), 0)
}

// TestJobIsNotForwardedAgainOnceItsCallerHasLeft guards against a leader that asks for a job,
// from whose receiver it has heard nothing for a while, and gets it although its caller has left.
func TestJobIsNotForwardedAgainOnceItsCallerHasLeft(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.left[s.followLeader()] = true
	s.effects.Sends = nil
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", JobEnds: []*peer.JobEnd{{Id: abandonedID}}})
	s.take()
	is.True(s.jobSent(firstLeader) == nil)
	is.Equal(len(s.withdrawnFrom(firstLeader)), 1)
}

// TestHeartbeatConfirmsNoJobWhoseCallerHasLeft guards against a receiver that answers a heartbeat
// before it has handled the end of a connection: the answer must withdraw the job.
func TestHeartbeatConfirmsNoJobWhoseCallerHasLeft(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	caller := s.followLeader()
	s.effects.Sends = nil
	s.heartbeat(firstLeader, 1024)
	s.take()
	is.Equal(len(s.withdrawnFrom(firstLeader)), 0)

	s.left[caller] = true
	s.heartbeat(firstLeader, 1024)
	s.take()
	withdrawn := s.withdrawnFrom(firstLeader)
	is.Equal(len(withdrawn), 1)
	is.True(withdrawn[0].Beat.Reply)
	is.Equal(len(s.effects.Answers), 1) // ends the request, whose connection may not be read any more
	is.Equal(s.effects.Answers[0].End.State, dispatch.Overdue)

	s.Abandon(s.now, caller) // the end of the connection is handled at last
	s.take()
	is.Equal(s.OpenJobs(), 0)
}

// TestJobStaysWithItsOtherCaller guards against a job that is withdrawn although one of its
// callers waits.
func TestJobStaysWithItsOtherCaller(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	caller := s.followLeader()
	s.Submit(s.now, caller+1, s.job(abandonedID))
	s.left[caller] = true
	s.effects.Sends = nil
	s.heartbeats(firstLeader, 1024, 200*time.Millisecond)
	is.Equal(len(s.withdrawnFrom(firstLeader)), 0)
	is.Equal(s.OpenJobs(), 1)
	s.left[caller+1] = true
	s.heartbeats(firstLeader, 1024, 100*time.Millisecond)
	is.True(len(s.withdrawnFrom(firstLeader)) > 0)
}

// startOwn submits a job to the instance, which leads, and returns the start of its task, which
// runs from then on.
func (s *scriptedInstance) startOwn(is *is.I) dispatch.Start {
	is.Helper()
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: 10}}
	return start
}

// TestLeaderStopsItsOwnJobWhoseCallerHasLeft guards against a leader that goes on with a job that
// it has received itself, because it has not handled the end of its caller's connection.
func TestLeaderStopsItsOwnJobWhoseCallerHasLeft(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.startOwn(is)
	s.advance(200 * time.Millisecond)
	is.Equal(len(s.effects.Stops), 0)

	s.left[1] = true
	s.advance(peer.LeaderHeartbeatEvery + 20*time.Millisecond)
	is.True(len(s.effects.Stops) > 0)
}

// TestOwnConfirmationEndsTheLease guards against a leader that grants leases for a job that it has
// received itself beyond the time at which it last checked the connection of the caller: it may
// have been paused since.
func TestOwnConfirmationEndsTheLease(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.startOwn(is)
	s.advance(300 * time.Millisecond)
	gone := s.now
	s.leasedUntil()

	// For a second no tick is handled, but answers of the worker are.
	for range 20 {
		s.now = s.now.Add(50 * time.Millisecond)
		s.PollDone(s.now, dispatch.Poll{Command: start.Command, Number: 1 << 40}, s.report, dispatch.OutcomeUnknown)
		s.take()
	}
	is.True(!s.leasedUntil().Add(stopTime).After(gone.Add(resubmitDelay)))
}
