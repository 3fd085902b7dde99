package dispatch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// TestUnlistedWorkerThatAnswersIsUsed removes the entry of a worker, as the store
// does while it receives nothing from the worker. The worker still runs, and is
// assigned tasks for as long as it may be listed again.
func TestUnlistedWorkerThatAnswersIsUsed(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.RemoveWorker(s.now, "w-1")
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)

	// A worker that is not listed again after two seconds counts as gone.
	s.advance(2 * time.Second)
	s.Submit(s.now, 2, s.job("5c0e7a21d94b36f9"))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
}

// TestWorkerThatAnswersNoStartIsExcluded lets one of two workers answer polls but no
// start. After two starts in a row without an answer it is excluded for a time.
func TestWorkerThatAnswersNoStartIsExcluded(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-2", Address: netip.MustParseAddrPort("10.0.1.2:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	s.advance(100 * time.Millisecond)
	unanswered := 0
	for n := range 20 {
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
		s.effects.Starts = nil
		s.advance(10 * time.Millisecond)
		for _, start := range s.effects.Starts {
			outcome := dispatch.Accepted
			if start.Worker == "w-1" {
				unanswered++
				outcome = dispatch.OutcomeUnknown
			}
			s.StartDone(s.now, start, outcome, s.now.Sub(s.clockStart))
		}
	}
	is.Equal(unanswered, 2)
}

// TestMostWorkersStayInUseWhenAllFail lets no worker answer a start, as when the
// commands to all workers arrive late. Most workers stay in use, because they are not
// the cause.
func TestMostWorkersStayInUseWhenAllFail(t *testing.T) {
	testMostWorkersStayInUse(t, 0)
}

// TestMostWorkersOfAZoneStayInUseWhenAllFail does the same in one zone of a large system,
// whose other workers are led by others and never fail here.
func TestMostWorkersOfAZoneStayInUseWhenAllFail(t *testing.T) {
	testMostWorkersStayInUse(t, 200)
}

func testMostWorkersStayInUse(t *testing.T, workersOfOthers int) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	for n := range workersOfOthers {
		s.SetWorker(s.now, dispatch.Worker{
			ID: fmt.Sprintf("other-%d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(n)}), 80), Pool: "editor",
			Zone: "hr-north-b", Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
		})
	}
	const workers = 10
	for n := 2; n <= workers; n++ {
		s.SetWorker(s.now, dispatch.Worker{
			ID: fmt.Sprintf("w-%d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80), Pool: "editor",
			Zone: "hr-north-a", Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
		})
	}
	s.advance(100 * time.Millisecond)
	used := make(map[string]bool)
	for n := range 400 {
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
		s.effects.Starts, s.effects.Stops = nil, nil
		s.advance(10 * time.Millisecond)
		for _, start := range s.effects.Starts {
			s.StartDone(s.now, start, dispatch.OutcomeUnknown, 0)
			if n >= 300 {
				used[start.Worker] = true
			}
		}
		for _, stop := range s.effects.Stops {
			s.StopDone(s.now, stop, dispatch.Accepted, s.now.Sub(s.clockStart))
		}
	}
	is.True(len(used) >= workers/2)
}

// TestLateCommandsExcludeNoWorkingWorker lets every third start command to the only worker
// arrive late, two in a row at times. The worker carries out the others and stays in use.
func TestLateCommandsExcludeNoWorkingWorker(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	for n := range 40 {
		s.effects.Starts, s.effects.Stops = nil, nil
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
		s.advance(10 * time.Millisecond)
		is.Equal(len(s.effects.Starts), 1) // the worker is in use
		start := s.effects.Starts[0]
		if n%6 < 4 {
			s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
			s.report.Finished = []dispatch.FinishedTask{{Sequence: int64(n + 1), Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
			s.advance(20 * time.Millisecond)
			continue
		}
		s.advance(60 * time.Millisecond)
		is.True(len(s.effects.Stops) > 0)
		s.Abandon(s.now, dispatch.CallerID(n))
		s.StopDone(s.now, s.effects.Stops[0], dispatch.Accepted, s.now.Sub(s.clockStart))
		s.advance(40 * time.Millisecond)
	}
}
