package dispatch_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// TestUnlistedWorkerThatAnswersIsUsed drops the entry of a worker, as the store does
// while it hears nothing from the worker: the worker runs on, and gets tasks for as
// long as its entry may come back.
func TestUnlistedWorkerThatAnswersIsUsed(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	s.lead()
	s.RemoveWorker(s.now, "w-1")
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.pass(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)

	// An entry that is still missing after two seconds is that of a worker that
	// is gone.
	s.pass(2 * time.Second)
	s.Submit(s.now, 2, s.job("5c0e7a21d94b36f9"))
	s.pass(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
}

// TestWorkerThatAnswersNoStartIsLeftOut lets one of two workers answer looks but no
// start: after two starts in a row without an answer it gets no task for a time.
func TestWorkerThatAnswersNoStartIsLeftOut(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	s.lead()
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-2", Address: netip.MustParseAddrPort("10.0.1.2:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	s.pass(100 * time.Millisecond)
	silent := 0
	for n := range 20 {
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
		s.effects.Starts = nil
		s.pass(10 * time.Millisecond)
		for _, start := range s.effects.Starts {
			outcome := dispatch.Accepted
			if start.Worker == "w-1" {
				silent++
				outcome = dispatch.OutcomeUnknown
			}
			s.StartDone(s.now, start, outcome, s.now.Sub(s.start))
		}
	}
	is.Equal(silent, 2)
}

// TestFleetIsSparedWhenAllFail lets no worker answer a start, as when orders of all are
// carried out late: most of the fleet stays in use, as it is not the workers' fault.
func TestFleetIsSparedWhenAllFail(t *testing.T) {
	is := is.New(t)
	s := newScripted()
	s.lead()
	const workers = 10
	for n := 2; n <= workers; n++ {
		s.SetWorker(s.now, dispatch.Worker{
			ID: fmt.Sprintf("w-%d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80), Pool: "editor",
			Zone: "hr-north-a", Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
		})
	}
	s.pass(100 * time.Millisecond)
	used := make(map[string]bool)
	for n := range 400 {
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
		s.effects.Starts, s.effects.Stops = nil, nil
		s.pass(10 * time.Millisecond)
		for _, start := range s.effects.Starts {
			s.StartDone(s.now, start, dispatch.OutcomeUnknown, 0)
			if n >= 300 {
				used[start.Worker] = true
			}
		}
		for _, stop := range s.effects.Stops {
			s.StopDone(s.now, stop, dispatch.Accepted, s.now.Sub(s.start))
		}
	}
	is.True(len(used) >= workers/2)
}
