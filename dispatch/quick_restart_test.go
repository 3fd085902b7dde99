package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestJobForwardedAgainToANewProcess guards against two runs of a task: a leader restarts so
// quickly that a receiver, whose link to it was broken, forwards its job there again before it
// knows that the process is another one. This one has taken the zone over again, and the worker of
// the job's run answers it late. It must not start the job before it knows of that run.
func TestJobForwardedAgainToANewProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(violationsAfterQuickRestarts(2*time.Second), nil)
}

// TestJobForwardedAgainToAKnownNewProcess guards against the same while the receiver has got an
// envelope of the new process, which did not lead yet.
func TestJobForwardedAgainToAKnownNewProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(violationsAfterQuickRestarts(100*time.Millisecond), nil)
}

// violationsAfterQuickRestarts restarts the leader of a job's run, and lets the receiver forward
// the job to it again. The receiver gets the envelopes of the new process from heardFrom on, for a
// moment.
func violationsAfterQuickRestarts(heardFrom time.Duration) []string {
	const linkDelay = 150 * time.Millisecond
	var violations []string
	for seed := range uint64(60) {
		sim := newSimulationOf(seed, simulationConfig{apart: true, sound: true})
		sim.run(warmUp)
		l, r := sim.leaderOf(0), sim.followerOf(0)
		r.submit(sim.longJob())
		sim.run(sim.between(time.Second, 1100*time.Millisecond))
		for _, n := range sim.instances {
			if n != r {
				sim.disconnect(l.name(), n.name(), 90*time.Millisecond, false) // the receiver gets the last heartbeat
			}
			for _, f := range sim.workers {
				if len(f.runs) > 0 {
					sim.slowDown(n.name(), f.entry.ID, 200*time.Millisecond, 3*time.Second)
				}
			}
		}
		sim.run(95 * time.Millisecond)
		l.kill()
		sim.disconnect(r.name(), l.name(), 2*time.Second, false)
		if heardFrom > time.Second {
			sim.disconnect(l.name(), r.name(), 2*time.Second, false)
		} else {
			sim.after(heardFrom, func() { sim.disconnect(l.name(), r.name(), 2*time.Second, false) })
		}
		sim.after(30*time.Millisecond, l.start)
		sim.run(sim.between(230*time.Millisecond, 360*time.Millisecond))
		sim.slowDown(r.name(), l.name(), linkDelay, 3*time.Second)
		clear(sim.disconnected)
		r.do(r.incarnation, func() { r.instance.LinkReset(sim.now, l.address) })
		sim.run(3 * time.Second)
		violations = append(violations, sim.violations...)
	}
	return violations
}
