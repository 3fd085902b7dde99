package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// TestLateReportOfAFormerIncarnation guards against a report of a worker's former incarnation
// that arrives after reports of the present one: the runs of the present one go on.
func TestLateReportOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.holdPolls = true
	for len(s.heldPolls) == 0 {
		s.advance(100 * time.Millisecond)
	}
	late := s.heldPolls[0]
	report := dispatch.Report{Incarnation: 1, Clock: s.now.Sub(s.clockStart)}
	s.holdPolls = false
	s.PollDone(s.now, late, dispatch.Report{}, dispatch.OutcomeUnknown)
	s.restartWorker()
	s.advance(500 * time.Millisecond)

	s.effects.Starts = nil
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: 10}}
	s.advance(20 * time.Millisecond)

	s.PollDone(s.now, late, report, dispatch.Accepted)
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1) // the run goes on
}

// TestLateStopAnswerOfAFormerIncarnation guards against a run that is never concluded, because
// the acknowledgement of its stop has the clock of the worker's former incarnation, which the
// present one reaches much later.
func TestLateStopAnswerOfAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.effects.Starts, s.effects.Stops = nil, nil
	s.Submit(s.now, 1, s.job(abandonedID))
	for range 30 {
		s.advance(10 * time.Millisecond)
	}
	is.True(len(s.effects.Stops) > 0)
	stop := s.effects.Stops[0]
	s.restartWorker()
	s.advance(300 * time.Millisecond)
	s.StopDone(s.now, stop, dispatch.Accepted, time.Hour)
	s.effects.Stops = nil
	s.advance(400 * time.Millisecond)
	is.True(len(s.effects.Stops) > 0) // the stop is repeated for the present incarnation
}

// TestTokenAfterAnUnansweredStartIsStopped guards against a start command that is carried out
// by the next incarnation of its worker although its run was to be stopped before the command
// was overdue.
func TestTokenAfterAnUnansweredStartIsStopped(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.effects.Starts, s.effects.Stops = nil, nil
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	s.Abandon(s.now, 1)
	s.restartWorker()
	s.advance(2 * time.Second)
	last := s.effects.Polls[len(s.effects.Polls)-1]
	is.True(last.Term > s.effects.Starts[0].Term)
}
