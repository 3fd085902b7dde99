package dispatch_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// Times of drained zones in a simulation.
const (
	// knowledgeLimit is the time for which an instance may start tasks in a drained zone
	// after it was able to learn of the request.
	knowledgeLimit = time.Second
	// storeReadDelay is the longest time until an instance that reaches the store reads a
	// change there, and storeRetryDelay the longest time until it reads the store again
	// after reads have failed.
	storeReadDelay  = 300 * time.Millisecond
	storeRetryDelay = 600 * time.Millisecond
)

// A drainStore is the part of the simulated store that holds the list of drained zones.
type drainStore struct {
	revision uint64
	// since is when each drained zone was drained.
	since map[string]time.Time
}

// drain drains a zone, and has it returned after d.
func (sim *simulation) drain(zone string, d time.Duration) {
	sim.note("the operators drain %s for %v", zone, d)
	sim.drains.revision++
	if _, drained := sim.drains.since[zone]; !drained {
		sim.drains.since[zone] = sim.now
	}
	sim.readDrains()
	revision := sim.drains.revision
	sim.after(d, func() {
		if sim.drains.revision > revision && sim.random.IntN(2) == 0 {
			// A later request keeps the zone drained, or returns it with its own end.
			sim.drain(zone, d)
			return
		}
		sim.note("the operators return %s", zone)
		sim.drains.revision++
		delete(sim.drains.since, zone)
		sim.readDrains()
	})
}

// readDrains has all instances that reach the store read the list within storeReadDelay.
func (sim *simulation) readDrains() {
	for _, n := range sim.instances {
		incarnation := n.incarnation
		sim.after(time.Duration(sim.random.Int64N(int64(storeReadDelay))), func() { n.do(incarnation, n.readDrains) })
	}
}

// readDrains sets the instance's list of drained zones to that of the store, unless the
// store refuses the instance.
func (n *simulatedInstance) readDrains() {
	if n.refused {
		return
	}
	zones := slices.Sorted(maps.Keys(n.simulation.drains.since))
	n.instance.SetDrainedZones(n.simulation.now, n.simulation.drains.revision+1, zones)
}

// refuseAtStore has the store refuse an instance for d.
func (n *simulatedInstance) refuseAtStore(d time.Duration) {
	n.refused = true
	n.simulation.after(d, func() {
		n.refused = false
		incarnation := n.incarnation
		n.simulation.after(time.Duration(n.simulation.random.Int64N(int64(storeRetryDelay))), func() { n.do(incarnation, n.readDrains) })
	})
}

// followKnowledge records, at each tick, the instances that cannot learn the list of
// drained zones now: those that are down or paused, and those that are refused by the
// store and not connected to an instance that reaches it. If each zone has a leader of its
// own, only the instances of a zone are sure to exchange heartbeats.
func (sim *simulation) followKnowledge() {
	for _, n := range sim.instances {
		if !n.canLearn() {
			n.couldNotLearnAt = sim.now
		}
	}
	sim.after(simulationTick, sim.followKnowledge)
}

func (n *simulatedInstance) canLearn() bool {
	running := func(other *simulatedInstance) bool { return other.instance != nil && !other.paused }
	if !running(n) || !n.refused {
		return running(n)
	}
	sim := n.simulation
	return slices.ContainsFunc(sim.instances, func(other *simulatedInstance) bool {
		return other != n && running(other) && !other.refused && (!sim.apart || other.zone == n.zone) &&
			!sim.disconnected[[2]string{n.name(), other.name()}] && !sim.disconnected[[2]string{other.name(), n.name()}]
	})
}

// checkDrained checks that an instance issues no start in a zone that is drained, if it was
// able to know that for more than knowledgeLimit.
func (n *simulatedInstance) checkDrained(s dispatch.Start) {
	sim := n.simulation
	since, drained := sim.drains.since[sim.worker(s.Worker).entry.Zone]
	if !drained {
		return
	}
	if since.Before(n.couldNotLearnAt) {
		since = n.couldNotLearnAt
	}
	if sim.now.Sub(since) > knowledgeLimit {
		sim.violate("%v starts %v on %s, whose zone is drained, %v after it could know that", n.address, s.Task, s.Worker, sim.now.Sub(since))
	}
}

// injectDrain drains a random zone or all zones, or has the store refuse some or all
// instances, for a while.
func (sim *simulation) injectDrain() {
	lasts := time.Duration(500+sim.random.IntN(6000)) * time.Millisecond
	switch zone := sim.random.IntN(len(simulationZones) + 3); {
	case zone < len(simulationZones):
		sim.drain(simulationZones[zone], lasts)
	case zone == len(simulationZones):
		for _, zone := range simulationZones {
			sim.drain(zone, lasts)
		}
	default:
		share := sim.random.IntN(3)
		sim.note("the store refuses instances for %v", lasts)
		for _, n := range sim.instances {
			if sim.random.IntN(3) <= share {
				n.refuseAtStore(lasts)
			}
		}
	}
}

// TestRandomFaultsWithDrainedZones guards against a leader that starts tasks in a drained
// zone: zones are drained and returned, and the store refuses instances, beside the random
// faults of the other tests. Half of the seeds have a leader for each zone.
func TestRandomFaultsWithDrainedZones(t *testing.T) {
	for seed := range seeds() {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			sim := newSimulationOf(seed, simulationConfig{apart: seed%2 == 1})
			sim.followKnowledge()
			for range 2 + sim.random.IntN(4) {
				sim.after(warmUp+time.Duration(sim.random.Int64N(int64(faultTime))), sim.injectDrain)
			}
			runRandomFaults(t, sim)
		})
	}
}
