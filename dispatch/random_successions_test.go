package dispatch_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// Properties of the jobs and faults of TestRandomSuccessions.
const (
	minLongTime = 900 * time.Millisecond
	maxLongTime = 3600 * time.Millisecond
	// longArrivalGap is the mean time between two jobs: with half of them, the workers of one
	// zone have more than they can run.
	longArrivalGap                   = 100 * time.Millisecond
	minLongPatience, maxLongPatience = 1500 * time.Millisecond, 9 * time.Second
	// successionAfter is the longest time from the first callers that leave to the loss of the
	// leader. It is longer than resubmitAfter, so that some jobs are submitted again just before.
	successionAfter = 1500 * time.Millisecond
	// successionRecoveryTime is added to recoveryTime, because a leader is lost up to
	// successionAfter after the time of faults, and for up to 3 s.
	successionRecoveryTime = 6 * time.Second
	// maxStale is the longest time after the reset of a link at which an envelope of the
	// former stream is handled.
	maxStale = 400 * time.Millisecond
)

// longShape returns the shape of a job of one step of long tasks.
func (sim *simulation) longShape() *jobShape {
	runTime := sim.between(minLongTime, maxLongTime)
	return &jobShape{
		steps: []dispatch.Step{{
			Tasks: 1 + sim.random.IntN(3), Needs: dispatch.Resources{Millicores: taskCPU, Memory: 10}, Estimate: runTime,
		}},
		runTimes: []time.Duration{runTime},
		stretch:  4,
		slack:    time.Second,
		patience: sim.between(minLongPatience, maxLongPatience),
	}
}

// between returns a random time from a to b.
func (sim *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(sim.random.Int64N(int64(b-a)))
}

// pause pauses the process, unless it is down or paused.
func (n *simulatedInstance) pause(d time.Duration) {
	if n.paused || n.instance == nil {
		return
	}
	n.paused = true
	incarnation := n.incarnation
	n.simulation.after(d, func() {
		if n.incarnation == incarnation {
			n.resume()
		}
	})
}

// succession takes a leader away while callers leave, and troubles its workers.
func (sim *simulation) succession() {
	zone := sim.randomZone()
	for range 10 + sim.random.IntN(40) {
		sim.after(sim.between(0, 2*successionAfter), func() { sim.loseCaller(zone) })
	}
	sim.after(sim.between(0, successionAfter), func() { sim.succeed(zone) })
}

// loseCaller breaks the connection of a caller at an instance, mostly one of zone.
func (sim *simulation) loseCaller(zone int) {
	n := sim.instances[sim.random.IntN(len(sim.instances))]
	for range 5 {
		if n.zone == zone && len(n.callers) > 0 {
			break
		}
		n = sim.instances[sim.random.IntN(len(sim.instances))]
	}
	n.disconnectCaller()
}

// succeed takes a leader of zone away, or only cuts it off from some of its receivers and
// workers.
func (sim *simulation) succeed(zone int) {
	var leaders []*simulatedInstance
	for _, n := range sim.instances {
		if n.zone == zone && n.instance != nil && n.instance.Leading() {
			leaders = append(leaders, n)
		}
	}
	if len(leaders) == 0 {
		return
	}
	n := leaders[sim.random.IntN(len(leaders))]
	lasts := sim.between(200*time.Millisecond, 3*time.Second)
	kind := sim.random.IntN(8)
	sim.note("succession %d at %v for %v", kind, n.address, lasts)
	for range sim.random.IntN(8) {
		sim.after(sim.between(0, 300*time.Millisecond), func() { sim.troubleWorker(zone, n) })
	}
	if sim.random.IntN(2) == 0 {
		sim.lossyCommands(lasts)
	}
	switch kind {
	case 0:
		n.kill()
		sim.after(lasts, n.start)
	case 1:
		n.kill()
		sim.after(quickRestart, n.start)
	case 2:
		n.pause(lasts)
	case 3:
		n.pause(sim.between(50*time.Millisecond, 700*time.Millisecond))
	case 4:
		sim.isolateInstance(n, lasts, true, true)
	case 5:
		sim.isolateInstance(n, lasts, sim.random.IntN(2) == 0, false)
	case 6:
		if sim.shards && sim.random.IntN(2) == 0 {
			sim.changeShards(n, sim.random.IntN(2) == 0, lasts)
			break
		}
		n.shutDown(lasts)
	case 7:
		for range 3 {
			other := sim.instances[sim.random.IntN(len(sim.instances))]
			sim.disconnect(n.name(), other.name(), sim.between(100*time.Millisecond, time.Second), sim.random.IntN(2) == 0)
			sim.slowDown(other.name(), n.name(), sim.between(0, 400*time.Millisecond), lasts)
		}
	}
}

// troubleWorker makes a worker of zone late for a while, or cuts it off, for its present leader
// or for all others: the next leader polls it last.
func (sim *simulation) troubleWorker(zone int, leader *simulatedInstance) {
	f := sim.workers[sim.random.IntN(len(sim.workers))]
	for f.entry.Zone != simulationZones[zone] {
		f = sim.workers[sim.random.IntN(len(sim.workers))]
	}
	lasts := sim.between(100*time.Millisecond, 3*time.Second)
	delay := sim.between(20*time.Millisecond, 400*time.Millisecond)
	kind := sim.random.IntN(5)
	sim.note("trouble %d at %s for %v", kind, f.entry.ID, lasts)
	for _, n := range sim.instances {
		switch {
		case (kind == 0 || kind == 1) != (n == leader) || kind == 4:
			if kind%2 == 0 {
				sim.disconnect(n.name(), f.entry.ID, lasts, true)
			} else {
				sim.slowDown(n.name(), f.entry.ID, delay, lasts)
			}
		}
	}
}

// slowDown delays the messages from a to b for a while.
func (sim *simulation) slowDown(a, b string, delay, lasts time.Duration) {
	pair := [2]string{a, b}
	sim.slow[pair] = delay
	sim.after(lasts, func() { delete(sim.slow, pair) })
}

// lossyCommands makes commands to all workers late, and loses answers of them, for a while.
func (sim *simulation) lossyCommands(lasts time.Duration) {
	sim.lostPolls = true
	// At times all starts and stops are late, while polls still renew leases.
	sim.lateCommands, sim.lostAnswers = min(sim.random.Float64()*1.4, 1), sim.random.Float64()*0.5
	sim.note("%.2f of the commands are late and %.2f of the answers are lost for %v", sim.lateCommands, sim.lostAnswers, lasts)
	sim.after(lasts, func() { sim.lateCommands, sim.lostAnswers = sim.usualLate, sim.usualLost })
}

// holdBack keeps some of the envelopes that a broken stream to a peer has not delivered.
func (n *simulatedInstance) holdBack(s dispatch.Send, to *simulatedInstance) {
	if n.simulation.staleEnvelopes && to.instance != nil && n.simulation.random.IntN(2) == 0 {
		n.stale[s.To] = append(n.stale[s.To], s.Envelope)
	}
}

// deliverStale delivers the envelopes to a peer that were held back, within maxStale and in
// order.
func (n *simulatedInstance) deliverStale(to *simulatedInstance) {
	held := n.stale[to.address]
	delete(n.stale, to.address)
	var delays []time.Duration
	for range held {
		delays = append(delays, n.simulation.between(0, maxStale))
	}
	slices.Sort(delays)
	from, incarnation := n.address, to.incarnation
	for i, env := range held {
		n.simulation.after(delays[i], func() {
			to.doFrom(from.String()+" (former stream)", incarnation, func() { n.receiveStale(to, env) })
		})
	}
}

// receiveStale delivers an envelope of a former stream.
func (n *simulatedInstance) receiveStale(to *simulatedInstance, env *peer.Envelope) {
	for _, job := range env.Jobs {
		delete(to.ended, job.Id)
		n.simulation.note("%v receives %s of a former stream from %v", to.address, job.Id, n.address)
	}
	to.instance.Receive(n.simulation.now, n.address, env)
}

// TestRandomSuccessions takes leaders away in many ways at about the time at which callers lose
// their connections and submit their jobs again to other shards and zones. It guards against
// a task that runs at the orders of two leaders: one that succeeds the other, one that does
// not know that it was succeeded, or the leaders of two shards. A third as many seeds have one
// shard a zone.
func TestRandomSuccessions(t *testing.T) {
	for _, test := range []struct {
		name  string
		seeds uint64
		cfg   simulationConfig
	}{
		{"", seeds(), simulationConfig{apart: true, successions: true, uneven: true, shards: true}},
		{"zones-", seeds() / 3, simulationConfig{apart: true, successions: true, uneven: true}},
	} {
		for seed := range test.seeds {
			t.Run(test.name+strconv.FormatUint(seed, 10), func(t *testing.T) { runRandomFaults(t, newSimulationOf(seed, test.cfg)) })
		}
	}
}
