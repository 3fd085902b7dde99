package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// TestSuccessOfAStoppedRunCounts guards against a task that runs again although it has
// succeeded: its job was withdrawn and forwarded again, and the run that was to be stopped had
// succeeded before.
func TestSuccessOfAStoppedRunCounts(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	start := s.leadWithRun(is)
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Incarnation: 1, Withdrawn: []string{start.Task.Job}})
	s.reply(1, forwardedJob(start.Task.Job))
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Stops), 1)
	s.report.Running = nil
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 0) // leadWithRun takes the first start; there is no other
	is.Equal(s.lastEndSent(), peer.JobState_JOB_STATE_COMPLETED)
}

// TestSuccessOfAnEarlierRunCounts guards against a success that is acknowledged and lost: a
// worker carries out a start command late, and has ended that run when it lists the next run
// of the task.
func TestSuccessOfAnEarlierRunCounts(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.startForwarded(is, 1, abandonedID)
	s.replies(1, 100*time.Millisecond)
	s.report.Running[0].Number = start.Number + 1 // another leader's, as runNumberMismatch handles it
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Stops), 1)
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
	s.advance(20 * time.Millisecond)
	is.Equal(s.lastEndSent(), peer.JobState_JOB_STATE_COMPLETED)
	s.report.Running = nil
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 2, Task: start.Task, Number: start.Number + 1, Result: dispatch.RunAborted}}
	s.replies(1, 200*time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
}

// lastEndSent returns the latest state of a job that the instance has reported.
func (s *scriptedInstance) lastEndSent() peer.JobState {
	last := peer.JobState_JOB_STATE_UNKNOWN
	for _, send := range s.effects.Sends {
		for _, end := range send.Envelope.JobEnds {
			last = end.State
		}
	}
	return last
}
