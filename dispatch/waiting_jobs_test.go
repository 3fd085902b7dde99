package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// large returns a job whose tasks use the whole worker, so that no two run at once.
func (s *scriptedInstance) large(id string, tasks int) dispatch.Job {
	j := s.job(id)
	j.Steps[0].Needs.Millicores = 9000
	j.Steps[0].Tasks = tasks
	return j
}

// endsOf returns the ends of a job.
func (s *scriptedInstance) endsOf(id string) []dispatch.End {
	var ends []dispatch.End
	for _, e := range s.effects.Answers {
		if e.End.ID == id {
			ends = append(ends, e.End)
		}
	}
	return ends
}

// TestJobWithoutResourcesIsRefusedWhileItsCallerHasTime lets a job wait for a busy
// worker. It is refused as not run before half of the time to its objective, which is
// 2 x 60 ms + 100 ms, has passed.
func TestJobWithoutResourcesIsRefusedWhileItsCallerHasTime(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.Submit(s.now, 1, s.large("5c0e7a21d94b36f8", 1))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	s.Submit(s.now, 2, s.large("5c0e7a21d94b36f9", 1))
	s.advance(110 * time.Millisecond)
	ends := s.endsOf("5c0e7a21d94b36f9")
	is.Equal(len(ends), 1)
	is.Equal(ends[0].State, dispatch.NotRun)
	is.True(ends[0].RetryAfter > 0)
}

// TestJobWithoutRunsEndsOnceItIsWorthless starts one of a job's two tasks, finishes
// it, and has the other wait for a worker that a more urgent job uses. The job ends
// after three times the time to its objective, long before its caller deadline.
func TestJobWithoutRunsEndsOnceItIsWorthless(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.Submit(s.now, 1, s.large("5c0e7a21d94b36f8", 2))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	urgent := s.large("5c0e7a21d94b36f9", 1)
	urgent.Urgency = -1
	s.Submit(s.now, 2, urgent)
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
	s.advance(10 * time.Millisecond)
	s.report.Finished = nil
	s.report.Running = []dispatch.RunningTask{{Task: dispatch.TaskID{Job: "5c0e7a21d94b36f9"}, Number: 1}}
	for percent := range 100 {
		s.report.Running[0].Percent = percent
		s.advance(10 * time.Millisecond)
	}
	ends := s.endsOf("5c0e7a21d94b36f8")
	is.Equal(len(ends), 1)
	is.Equal(ends[0].State, dispatch.Overdue) // one of its tasks has run
}
