package entry_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// TestDrainWaitsUntilPeersKnow lets an idle holder shut down while tasks are on
// their way to it.
func TestDrainWaitsUntilPeersKnow(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 6, 12)
	w.run(settle)
	owner, holder := instanceAddress(0), instanceAddress(5)
	job := caller.Job{Key: w.key(owner), Route: "previews", Tasks: payloads(200)}
	w.seen = func(p point) {
		if p.kind == pointSent && p.at == owner && p.peer == holder && len(p.env.Runs) > 0 {
			w.seen = nil
			w.drain(holder)
		}
	}
	id := w.submit(instanceAddress(1), job)
	w.run(time.Minute)
	is.True(!w.nodes[holder].up)
	is.Equal(len(w.answers[id]), 1)
	mustBeWhole(is, w.answers[id][0], job.Tasks)
}

// TestDrainedNamesWhatIsLeft shows each thing that keeps an instance from
// ending, by itself. The idle instance holds no backend server.
func TestDrainedNamesWhatIsLeft(t *testing.T) {
	for _, tt := range []struct {
		name string
		// left brings the world to where only the thing is left at the
		// instance that it returns.
		left func(w *world, idle netip.AddrPort, job caller.Job) netip.AddrPort
	}{
		{"a key that may yet be used", func(w *world, idle netip.AddrPort, _ caller.Job) netip.AddrPort {
			w.run(entry.DefaultUseWithin - time.Second)
			return idle
		}},
		{"a job owned", func(w *world, idle netip.AddrPort, job caller.Job) netip.AddrPort {
			w.run(entry.DefaultUseWithin - time.Second)
			w.submit(idle, job)
			w.run(2 * time.Second)
			return idle
		}},
		{"a job passed on", func(w *world, idle netip.AddrPort, job caller.Job) netip.AddrPort {
			w.pause(idle)
			w.submit(instanceAddress(1), job)
			w.run(time.Second)
			return instanceAddress(1)
		}},
		{"a task held", func(w *world, idle netip.AddrPort, job caller.Job) netip.AddrPort {
			w.submit(idle, job)
			w.run(time.Second)
			return instanceAddress(2)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(8, 4, 3)
			w.runTime = func(entry.Start) time.Duration { return 3 * time.Second }
			w.run(settle)
			idle := instanceAddress(0)
			if w.nodes[idle].instance.Gauges().Servers > 0 {
				idle = instanceAddress(3)
			}
			is.Equal(w.nodes[idle].instance.Gauges().Servers, 0)
			job := caller.Job{Key: w.key(idle), Route: "previews", Timeout: 5 * time.Second, Tasks: payloads(6)}
			leaver := tt.left(w, idle, job)
			is.True(!w.nodes[leaver].instance.Drained(w.now))
			w.drain(leaver)
			w.run(40 * time.Second)
			is.True(!w.nodes[leaver].up)
		})
	}
}
