package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// occupy starts a job that uses the whole worker for about estimate.
func (s *scriptedInstance) occupy(id string, estimate time.Duration) {
	j := s.large(id, 1)
	j.Steps[0].Estimate = estimate
	s.Submit(s.now, 100, j)
	s.advance(10 * time.Millisecond)
	start := s.effects.Starts[len(s.effects.Starts)-1]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number}}
}

// TestHopelessJobIsRefusedAtOnce submits a job while a run occupies the only worker for much
// longer than the job can wait. A refusal that waits for a time limit costs the caller time.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", time.Second)
	s.Submit(s.now, 2, s.large("5c0e7a21d94b36f9", 1))
	s.take()
	ends := s.endsOf("5c0e7a21d94b36f9")
	is.Equal(len(ends), 1)
	is.Equal(ends[0].State, dispatch.NotRun)
	is.Equal(ends[0].Reason, "no-capacity")
}

// TestJobIsKeptWhileItsWaitIsInDoubt submits a job while a run takes longer than expected: it
// may end at any time. A refusal would turn away what could have run.
func TestJobIsKeptWhileItsWaitIsInDoubt(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", 200*time.Millisecond)
	for percent := range 30 {
		s.report.Running[0].Percent = percent
		s.advance(10 * time.Millisecond)
	}
	j := s.large("5c0e7a21d94b36f9", 1)
	j.Route = "alerts" // the run before it doesn't change the estimate
	s.Submit(s.now, 2, j)
	s.advance(50 * time.Millisecond)
	is.Equal(len(s.endsOf("5c0e7a21d94b36f9")), 0)
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: s.report.Running[0].Task, Number: 1, Result: dispatch.RunSucceeded}}
	s.report.Running = nil
	s.advance(30 * time.Millisecond)
	is.Equal(s.effects.Starts[len(s.effects.Starts)-1].Task.Job, "5c0e7a21d94b36f9")
}

// TestDisplacedJobIsRefusedAtOnce submits a more urgent job before a queued one that could
// have ended in time. The queued one is refused at that moment, not at its time limit.
func TestDisplacedJobIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", 100*time.Millisecond)
	s.Submit(s.now, 2, s.large("5c0e7a21d94b36f9", 1))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.endsOf("5c0e7a21d94b36f9")), 0)
	urgent := s.large("5c0e7a21d94b36fa", 1)
	urgent.Urgency, urgent.Route, urgent.Steps[0].Estimate = -1, "alerts", 600*time.Millisecond
	s.Submit(s.now, 3, urgent)
	s.advance(10 * time.Millisecond)
	ends := s.endsOf("5c0e7a21d94b36f9")
	is.Equal(len(ends), 1)
	is.Equal(ends[0].State, dispatch.NotRun)
	is.Equal(ends[0].Reason, "displaced")
}

// TestRefusedCallersDoNotComeBackInOneWave refuses many jobs whose callers wait for long. The
// times after which they are told to submit again are whole seconds, as the header has them,
// within bounds, and differ.
func TestRefusedCallersDoNotComeBackInOneWave(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", 800*time.Millisecond)
	waves := make(map[time.Duration]int)
	for n := range 200 {
		j := s.large(fmt.Sprintf("%016x", n+1), 1)
		j.Urgency, j.CallerDeadline = 1, s.now.Add(30*time.Second)
		s.Submit(s.now, dispatch.CallerID(n+1), j)
	}
	s.take()
	for n := range 200 {
		ends := s.endsOf(fmt.Sprintf("%016x", n+1))
		is.Equal(len(ends), 1)
		after := ends[0].RetryAfter
		is.True(after >= time.Second && after <= 8*time.Second && after%time.Second == 0)
		waves[after]++
	}
	is.True(len(waves) >= 2)
	for _, size := range waves {
		is.True(size < 150) // no wave of most of them
	}
}

// TestRetryIsNotAfterTheDeadline refuses a job whose caller waits for 1.9 s more while the
// worker is busy for longer. A later retry would be none.
func TestRetryIsNotAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", 5*time.Second)
	j := s.large("5c0e7a21d94b36f9", 1)
	j.CallerDeadline = s.now.Add(1900 * time.Millisecond)
	s.Submit(s.now, 2, j)
	s.take()
	is.Equal(s.endsOf("5c0e7a21d94b36f9")[0].RetryAfter, time.Second)
}

// TestRefusedJobIsServedWhenItIsSubmittedAgain refuses a job, frees the worker, and submits
// the job again under its ID. An answer from the memory of ended jobs would refuse it while
// resources are free.
func TestRefusedJobIsServedWhenItIsSubmittedAgain(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", time.Second)
	again := s.large("5c0e7a21d94b36f9", 1)
	again.Stretch = 15
	again.Steps[0].Estimate = 20 * time.Millisecond
	s.Submit(s.now, 2, again)
	s.advance(200 * time.Millisecond)
	is.Equal(s.endsOf("5c0e7a21d94b36f9")[0].State, dispatch.NotRun)
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: s.report.Running[0].Task, Number: 1, Result: dispatch.RunSucceeded}}
	s.report.Running = nil
	s.advance(400 * time.Millisecond)
	again.Arrived = s.now
	s.Submit(s.now, 3, again)
	s.take()
	is.Equal(s.effects.Starts[len(s.effects.Starts)-1].Task.Job, "5c0e7a21d94b36f9")
}

// release ends the run that occupies the worker.
func (s *scriptedInstance) release() {
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: s.report.Running[0].Task, Number: 1, Result: dispatch.RunSucceeded}}
	s.report.Running = nil
}

// TestResubmittedJobKeepsItsObjective refuses a job, and submits it again after its objective
// together with a larger one that can end in time. A job that counts as new with each
// submission would take the worker from the one that is worth more.
func TestResubmittedJobKeepsItsObjective(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", time.Second)
	again := s.large("5c0e7a21d94b36f9", 1)
	again.Route = "alerts"
	s.Submit(s.now, 2, again)
	s.advance(250 * time.Millisecond)
	is.Equal(s.endsOf(again.ID)[0].State, dispatch.NotRun)
	s.release()
	s.advance(10 * time.Millisecond)
	for _, poll := range s.effects.Polls[len(s.effects.Polls)-1:] {
		s.PollDone(s.now, poll, s.report, dispatch.Accepted)
	}
	again.Arrived = s.now
	larger := s.large("5c0e7a21d94b36fa", 1)
	larger.Route, larger.Steps[0].Estimate = "alerts", 80*time.Millisecond
	s.Submit(s.now, 3, again)
	s.Submit(s.now, 4, larger)
	s.advance(10 * time.Millisecond)
	is.Equal(s.effects.Starts[len(s.effects.Starts)-1].Task.Job, larger.ID)
}

// TestLateJobsLeaveTheCapacityToOthers submits a refused job again after its objective, while
// more work arrives than the worker can do and the worker happens to be free. A start would
// delay the next jobs that can end in time.
func TestLateJobsLeaveTheCapacityToOthers(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", time.Second)
	again := s.large("5c0e7a21d94b36f9", 1)
	again.Route = "alerts"
	s.Submit(s.now, 2, again)
	s.advance(250 * time.Millisecond)
	is.Equal(s.endsOf(again.ID)[0].State, dispatch.NotRun)
	s.report.Running[0].Percent = 10
	for n := range 12 {
		j := s.large(fmt.Sprintf("%016x", n+1), 1)
		j.Route = "alerts"
		s.Submit(s.now, dispatch.CallerID(n+10), j)
	}
	s.advance(10 * time.Millisecond)
	starts := len(s.effects.Starts)
	s.release()
	s.advance(30 * time.Millisecond)
	is.Equal(len(s.endsOf("5c0e7a21d94b36f8")), 1) // the worker is free
	again.Arrived = s.now
	s.Submit(s.now, 3, again)
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), starts)
}

// TestNothingStartsForCallersThatHaveLeft queues jobs whose callers wait for 100 ms behind a
// run, and frees the worker in the moment after that. A start then would waste capacity.
func TestNothingStartsForCallersThatHaveLeft(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", 150*time.Millisecond)
	j := s.large("5c0e7a21d94b36f9", 1)
	j.Stretch, j.CallerDeadline = 20, s.now.Add(100*time.Millisecond)
	s.Submit(s.now, 2, j)
	s.advance(90 * time.Millisecond)
	is.Equal(len(s.endsOf("5c0e7a21d94b36f9")), 0)
	starts := len(s.effects.Starts)
	// The worker reports the end of its run before the next tick of the receiver.
	s.now = s.now.Add(10 * time.Millisecond)
	poll := s.effects.Polls[len(s.effects.Polls)-1]
	s.PollDone(s.now, poll, dispatch.Report{
		Incarnation: 1, Clock: s.now.Sub(s.clockStart),
		Finished: []dispatch.FinishedTask{{Sequence: 1, Task: s.report.Running[0].Task, Number: 1, Result: dispatch.RunSucceeded}},
	}, dispatch.Accepted)
	s.take()
	is.Equal(len(s.effects.Starts), starts)
}
