package entry_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// TestDrainWaitsUntilPeersKnow shuts an idle holder down while tasks are on their
// way to it. If it ended before its peers have acknowledged the shutdown, those tasks
// would be lost and the job would fail.
func TestDrainWaitsUntilPeersKnow(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(7, 6, 12)
	sim.run(settleTime)
	owner, holder := instanceAddress(0), instanceAddress(5)
	job := caller.Job{Key: sim.key(owner), Route: "previews", Tasks: payloads(200)}
	sim.observer = func(ev event) {
		if ev.kind == eventSent && ev.at == owner && ev.peer == holder && len(ev.env.Runs) > 0 {
			sim.observer = nil
			sim.drain(holder)
		}
	}
	id := sim.submit(instanceAddress(1), job)
	sim.run(time.Minute)
	is.True(!sim.nodes[holder].up)
	is.Equal(len(sim.answers[id]), 1)
	mustBeComplete(is, sim.answers[id][0], job.Tasks)
}

// TestDrainedIsFalseWhileWorkRemains checks each kind of remaining work that must
// keep an instance from ending, one at a time. The idle instance holds no backend
// server.
func TestDrainedIsFalseWhileWorkRemains(t *testing.T) {
	for _, tt := range []struct {
		name string
		// prepare runs the simulation until only this kind of work remains
		// at the instance that it returns.
		prepare func(sim *simulation, idle netip.AddrPort, job caller.Job) netip.AddrPort
	}{
		{"a key that may yet be used", func(sim *simulation, idle netip.AddrPort, _ caller.Job) netip.AddrPort {
			sim.run(entry.DefaultUseWithin - time.Second)
			return idle
		}},
		{"a job owned", func(sim *simulation, idle netip.AddrPort, job caller.Job) netip.AddrPort {
			sim.run(entry.DefaultUseWithin - time.Second)
			sim.submit(idle, job)
			sim.run(2 * time.Second)
			return idle
		}},
		{"a job relayed", func(sim *simulation, idle netip.AddrPort, job caller.Job) netip.AddrPort {
			sim.pause(idle)
			sim.submit(instanceAddress(1), job)
			sim.run(time.Second)
			return instanceAddress(1)
		}},
		{"a task held", func(sim *simulation, idle netip.AddrPort, job caller.Job) netip.AddrPort {
			sim.submit(idle, job)
			sim.run(time.Second)
			return instanceAddress(2)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(8, 4, 3)
			sim.runTime = func(entry.Start) time.Duration { return 3 * time.Second }
			sim.run(settleTime)
			idle := instanceAddress(0)
			if sim.nodes[idle].instance.Gauges().Servers > 0 {
				idle = instanceAddress(3)
			}
			is.Equal(sim.nodes[idle].instance.Gauges().Servers, 0)
			job := caller.Job{Key: sim.key(idle), Route: "previews", Timeout: 5 * time.Second, Tasks: payloads(6)}
			leaver := tt.prepare(sim, idle, job)
			is.True(!sim.nodes[leaver].instance.Drained(sim.now))
			sim.drain(leaver)
			sim.run(40 * time.Second)
			is.True(!sim.nodes[leaver].up)
		})
	}
}
