package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// TestLateLeaderLearnsNoDelays guards against run times that contain the delays of a leader
// that handles each answer 300 ms late: it would expect that no job can end in time, and
// refuse jobs that the workers are free to run, also once it is not late any more.
func TestLateLeaderLearnsNoDelays(t *testing.T) {
	is := is.New(t)
	refused := make(map[time.Duration]int)
	for _, late := range []time.Duration{0, 300 * time.Millisecond} {
		m := newLoadModel(1)
		m.late = late
		m.run(8 * time.Second)
		for _, k := range modelKinds {
			expected := m.ExpectedRunTime(k.route, k.run)
			t.Log(late, k.route, k.run, expected)
			is.True(expected > k.run*3/4)
			is.True(expected < k.run*3/2)
		}
		m.late = 0
		m.run(2 * time.Second) // the backlog ends
		from := m.now
		m.run(4 * time.Second)
		for kind := range modelKinds {
			refused[late] += resultsOf(m.arrived(kind, from, m.now)).refused
		}
	}
	t.Log(refused)
	is.True(refused[300*time.Millisecond] <= refused[0]+2)
}

// TestRunTimeIsMeasuredByTheWorkersClock guards against run times that contain the time for
// which an answer waited at the leader, for a run without an answer to its start command, too.
func TestRunTimeIsMeasuredByTheWorkersClock(t *testing.T) {
	for _, answered := range []bool{true, false} {
		is := is.New(t)
		s := newScriptedInstance()
		s.lead()
		s.holdPolls = true
		s.advance(2 * time.Second)
		s.Submit(s.now, 1, s.job(abandonedID))
		s.take()
		is.Equal(len(s.effects.Starts), 1)
		start, poll := s.effects.Starts[0], s.heldPolls[len(s.heldPolls)-1]
		clock := s.now.Sub(s.clockStart)
		if answered {
			s.StartDone(s.now, start, dispatch.Accepted, clock)
		}
		s.now = s.now.Add(400 * time.Millisecond) // the process handles nothing for 0.35 s
		s.PollDone(s.now, poll, dispatch.Report{
			Incarnation: 1, Clock: clock + 50*time.Millisecond,
			Finished: []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}},
		}, dispatch.Accepted)
		is.Equal(len(s.effects.Answers)+len(s.Take(s.now).Answers), 1)
		is.Equal(s.ExpectedRunTime("previews", 0).Round(time.Millisecond), 50*time.Millisecond)
	}
}
