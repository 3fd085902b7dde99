package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// TestLeavingInstanceAcceptsWhatItCanAnswer guards against refusals of a leaving instance that
// still has time to serve a job, and against a job that is cut off at the end of its time.
func TestLeavingInstanceAcceptsWhatItCanAnswer(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.Close(s.now, s.now.Add(2*time.Second))
	early, late := s.job("1"), s.job("2")
	early.CallerDeadline = s.now.Add(2 * time.Second)
	late.CallerDeadline = early.CallerDeadline.Add(time.Millisecond)
	s.Submit(s.now, 1, early)
	s.Submit(s.now, 2, late)
	s.take()
	is.True(s.jobSent(firstLeader) != nil)
	is.Equal(s.jobSent(firstLeader).Id, "1")
	is.Equal(len(s.effects.Answers), 1)
	is.Equal(s.effects.Answers[0].End.State, dispatch.NotRun)
	is.Equal(s.effects.Answers[0].End.Reason, "leaving")
}
