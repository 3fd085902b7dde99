package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// loseStart makes the instance start a task whose start command gets no answer and is not
// carried out, and answers the stop that follows. It returns the start.
func (s *scriptedInstance) loseStart(is *is.I, id string) dispatch.Start {
	is.Helper()
	s.effects.Starts, s.effects.Stops = nil, nil
	s.Submit(s.now, 1, s.job(id))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	for range 20 {
		if len(s.effects.Stops) > 0 {
			break
		}
		s.advance(10 * time.Millisecond)
	}
	is.True(len(s.effects.Stops) > 0)
	s.StopDone(s.now, s.effects.Stops[0], dispatch.Accepted, s.now.Sub(s.clockStart))
	return start
}

// restartWorker starts a new incarnation of the worker, without runs.
func (s *scriptedInstance) restartWorker() {
	s.restarts++
	s.clockStart = s.now
	s.report = dispatch.Report{}
}

// TestStartFromBeforeARestartIsFenced guards against a start command that is carried out
// late by the next incarnation of its worker, which has no record of the stop: the next
// command to that incarnation has a higher token. The leader is not replaced by its own
// token.
func TestStartFromBeforeARestartIsFenced(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.loseStart(is, abandonedID)
	s.restartWorker()
	s.effects.Polls = nil
	s.advance(2 * time.Second)
	last := s.effects.Polls[len(s.effects.Polls)-1]
	is.True(last.Term > start.Term)

	// A command of before the restart meets the higher token.
	s.StartDone(s.now, start, dispatch.Fenced, 0)
	s.StopDone(s.now, s.effects.Stops[0], dispatch.Fenced, 0)
	s.advance(20 * time.Millisecond)
	is.True(s.Leading())
}

// TestTokenIsNotRaisedWithoutALostStart guards against tokens that grow with every restart: a
// worker without a start command that may arrive late keeps the term of its zone.
func TestTokenIsNotRaisedWithoutALostStart(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	term := s.effects.Polls[len(s.effects.Polls)-1].Term
	s.restartWorker()
	s.advance(2 * time.Second)
	is.Equal(s.effects.Polls[len(s.effects.Polls)-1].Term, term)
}

// TestProbesLeaveOutWorkersBornSinceTheClaim guards against a zone that nobody leads any more
// because a worker refuses the probes: its last leader had raised the token there.
func TestProbesLeaveOutWorkersBornSinceTheClaim(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	claimed := s.now.UnixMilli()
	for id, born := range map[string]int64{"w-1": claimed + 100, "w-2": claimed - 100} {
		s.SetWorker(s.now, dispatch.Worker{
			ID: id, Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
			Capacity: dispatch.Resources{Millicores: 9000, Memory: 100}, Incarnation: born,
		})
	}
	s.heartbeats(firstLeader, uint64(claimed)<<10, 500*time.Millisecond)
	s.unanswered = func(dispatch.Poll) bool { return true }
	s.advance(3 * time.Second)
	probed := make(map[string]bool)
	for _, p := range s.effects.Polls {
		probed[p.Worker] = probed[p.Worker] || p.Number == 0
	}
	is.Equal(probed, map[string]bool{"w-2": true})
}

// TestTokenOfASilentWorker guards against a start command that is carried out by the next
// incarnation of its worker before the restart is known: the polls of a silent worker have a
// higher token already, which is raised only once, and are frequent while the command may
// arrive.
func TestTokenOfASilentWorker(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.loseStart(is, abandonedID)
	s.holdPolls = true
	poll := func(d time.Duration) []dispatch.Poll {
		s.effects.Polls = nil
		for end := s.now.Add(d); s.now.Before(end); {
			s.advance(50 * time.Millisecond)
			for _, p := range s.heldPolls {
				s.PollDone(s.now, p, dispatch.Report{}, dispatch.OutcomeUnknown)
			}
			s.heldPolls = nil
		}
		return s.effects.Polls
	}
	poll(2 * time.Second)
	polls := poll(time.Second)
	is.True(len(polls) >= 8)
	is.True(len(polls) <= 14)
	raised := polls[0].Term
	is.True(raised > start.Term)
	polls = poll(10 * time.Second)
	is.Equal(polls[len(polls)-1].Term, raised)
	is.True(len(poll(2*time.Second)) <= 4)
}
