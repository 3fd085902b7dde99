package dispatch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// addWorkers adds workers of a pool to the zone that the instance leads.
func (s *scriptedInstance) addWorkers(pool string, first, n int) {
	for w := first; w < first+n; w++ {
		s.SetWorker(s.now, dispatch.Worker{
			ID: fmt.Sprintf("w-%d", w), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(w)}), 80), Pool: pool,
			Zone: "hr-north-a", Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
		})
	}
}

// advanceUntil advances the time until done reports true, for at most d, and returns the time
// that it took.
func (s *scriptedInstance) advanceUntil(d time.Duration, done func() bool) time.Duration {
	from := s.now
	for s.now.Sub(from) < d && !done() {
		s.advance(10 * time.Millisecond)
	}
	return s.now.Sub(from)
}

// TestListedStartIsSettledWithoutItsAnswer guards against a worker that is taken out of use
// because the answers to its start commands are lost, while its runs are listed and end.
func TestListedStartIsSettledWithoutItsAnswer(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	for n := range 10 {
		s.effects.Starts = nil
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
		s.advance(10 * time.Millisecond)
		is.Equal(len(s.effects.Starts), 1)
		start := s.effects.Starts[0]
		s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: 50}}
		s.advance(50 * time.Millisecond)
		s.StartDone(s.now, start, dispatch.OutcomeUnknown, 0)
		s.report.Running = nil
		s.report.Finished = []dispatch.FinishedTask{{Sequence: int64(n + 1), Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
		s.advance(20 * time.Millisecond)
	}
	is.Equal(len(s.effects.Stops), 0)
	is.Equal(len(s.effects.Answers), 10)
}

// TestUnlistedStartIsStartedAgainEarly guards against a task that waits for the time-out of a
// start command, longer than its objective, although its worker answers polls that don't list
// the run. It starts again only after the stop was acknowledged and a later poll.
func TestUnlistedStartIsStartedAgainEarly(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	took := s.advanceUntil(time.Second, func() bool { return len(s.effects.Stops) > 0 })
	is.True(took <= 50*time.Millisecond)
	s.advance(50 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1) // the stop has no answer
	s.StopDone(s.now, s.effects.Stops[0], dispatch.Accepted, s.now.Sub(s.clockStart))
	took = s.advanceUntil(time.Second, func() bool { return len(s.effects.Starts) > 1 })
	is.True(took <= 30*time.Millisecond)
	is.True(s.effects.Starts[1].Number > s.effects.Starts[0].Number)
}

// TestReportOfBeforeTheDoubtStopsNothing guards against a run that is stopped because of a
// poll that was answered before the start command arrived.
func TestReportOfBeforeTheDoubtStopsNothing(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	var open []dispatch.Poll
	s.unanswered = func(p dispatch.Poll) bool {
		open = append(open, p)
		return true
	}
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advance(10 * time.Millisecond) // the start, and the answers of earlier polls
	s.advanceUntil(time.Second, func() bool { return len(open) > 1 })
	s.PollDone(s.now, open[0], dispatch.Report{Incarnation: 1, Clock: s.now.Sub(s.clockStart)}, dispatch.Accepted)
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Stops), 0)
}

// TestLostAnswerToAPollIsNoticedAtTheEndOfTheRun guards against the end of a short run that is
// learned only at the time-out of a long poll whose answer was lost.
func TestLostAnswerToAPollIsNoticedAtTheEndOfTheRun(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.Submit(s.now, 1, s.job(abandonedID))
	s.unanswered = func(p dispatch.Poll) bool { return p.Wait > 0 }
	s.advance(10 * time.Millisecond)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
	took := s.advanceUntil(time.Second, func() bool { return len(s.effects.Answers) > 0 })
	is.True(took <= 150*time.Millisecond) // twice the expected run time, as no other is known yet, and a little
	is.Equal(s.effects.Answers[0].End.State, dispatch.Completed)
}

// TestEarlyPollsAreBounded guards against early polls that multiply the load when no worker
// answers.
func TestEarlyPollsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	const workers = 200
	s.addWorkers("editor", 2, workers)
	s.advance(500 * time.Millisecond)
	for n := range workers {
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
	}
	s.effects.Polls, s.effects.Starts, s.effects.Stops = nil, nil, nil
	s.unanswered = func(dispatch.Poll) bool { return true }
	s.advance(200 * time.Millisecond) // shorter than any time-out
	commands := len(s.effects.Starts) + len(s.effects.Stops)
	is.True(commands > 0)
	regular := workers + 1                                            // each worker's regular poll is due
	is.True(len(s.effects.Polls) <= regular+(regular+commands)/10+25) // a tenth, and the burst
}

// TestJobThatWaitsForASilentWorkerIsGivenUp guards against a caller that is held until its
// deadline by a run on a silent worker, whose lease leaves no time for another run.
func TestJobThatWaitsForASilentWorkerIsGivenUp(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.Submit(s.now, 1, s.job(abandonedID)) // worthless 0.7 s after its arrival, a lease lasts longer
	s.unanswered = func(dispatch.Poll) bool { return true }
	took := s.advanceUntil(3*time.Second, func() bool { return len(s.effects.Answers) > 0 })
	is.True(took < 500*time.Millisecond)
	is.Equal(s.effects.Answers[0].End.State, dispatch.Overdue) // the task may have run
}

// TestWorkersOfOtherPoolsDelayNoJob guards against a job that had an earlier leader and waits
// for workers that cannot have runs of it.
func TestWorkersOfOtherPoolsDelayNoJob(t *testing.T) {
	for _, test := range []struct {
		pool   string
		starts int
	}{{"renderer", 1}, {"editor", 0}} {
		is := is.New(t)
		s := newScriptedInstance()
		s.unanswered = func(p dispatch.Poll) bool { return p.Worker == "w-2" }
		s.addWorkers(test.pool, 2, 1)
		s.lead()
		j := forwardedJob(abandonedID)
		j.Round, j.SettleNanos = 1, int64(time.Second)
		s.reply(1, j)
		s.replies(1, 100*time.Millisecond)
		is.Equal(len(s.effects.Starts), test.starts)
	}
}

// TestStoppingRunDelaysNoOtherTask guards against a job of which no task is started because
// an earlier run of one of them may continue.
func TestStoppingRunDelaysNoOtherTask(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.startForwarded(is, 1, abandonedID)
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Incarnation: 1, Withdrawn: []string{abandonedID}})
	again := forwardedJob(abandonedID)
	again.Steps[0].Tasks = 3
	s.effects.Starts = nil
	s.reply(1, again)
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 2)
	for _, other := range s.effects.Starts {
		is.True(other.Task != start.Task)
	}
}

// TestOverlappingReportsOfOneTimeLeaveNoOrphan guards against a run that has ended and that an
// older report, of the same time by the worker's clock, lists as running: it would count as a
// run of an earlier leader, and its worker would be unused until it is stopped.
func TestOverlappingReportsOfOneTimeLeaveNoOrphan(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	var open []dispatch.Poll
	s.unanswered = func(p dispatch.Poll) bool {
		open = append(open, p)
		return true
	}
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advanceUntil(time.Second, func() bool { return len(open) > 1 })
	start := s.effects.Starts[0]
	running := dispatch.Report{
		Incarnation: 1, Clock: s.now.Sub(s.clockStart),
		Running: []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: 99}},
	}
	ended := running
	ended.Running = nil
	ended.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
	s.PollDone(s.now, open[0], ended, dispatch.Accepted)
	s.PollDone(s.now, open[1], running, dispatch.Accepted)
	s.Submit(s.now, 2, s.job("5c0e7a21d94b36f9"))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 2)
}

// TestAnswersThatArriveAfterAPauseSettleStarts guards against starts that are taken for lost
// because the leader's own process was paused for a moment.
func TestAnswersThatArriveAfterAPauseSettleStarts(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.Submit(s.now, 1, s.job(abandonedID))
	s.advance(10 * time.Millisecond)
	s.now = s.now.Add(200 * time.Millisecond)
	s.Tick(s.now)
	s.take()
	is.Equal(len(s.effects.Stops), 0)
	s.StartDone(s.now, s.effects.Starts[0], dispatch.Accepted, s.now.Sub(s.clockStart))
	s.take()
	is.Equal(len(s.effects.Stops), 0)
}
