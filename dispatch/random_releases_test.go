package dispatch_test

import (
	"strconv"
	"testing"
	"time"
)

const (
	// lightWeight is the weight of an instance that can't lead the workers of one zone.
	lightWeight = 10
	// releaseGap is the time between the shutdowns of two instances, and drainTime that
	// until the process ends.
	releaseGap = 400 * time.Millisecond
	drainTime  = 600 * time.Millisecond
)

// instances returns the number of instances of a zone.
func (cfg simulationConfig) instances() int {
	if cfg.uneven {
		return cfg.size(instancesPerZone + 1)
	}
	return cfg.size(instancesPerZone)
}

// weight returns the weight of the instance.
func (n *simulatedInstance) weight() int {
	if n.simulation.uneven && int(n.address.Addr().As4()[3]) >= n.simulation.size(instancesPerZone) {
		return lightWeight
	}
	return n.simulation.weight()
}

// release shuts down the heavy instances of a random zone, one after the other, and starts
// each again after it was away for a while.
func (sim *simulation) release(away time.Duration) {
	zone := sim.random.IntN(len(simulationZones))
	sim.note("release of the heavy instances of zone %d for %v", zone, away)
	after := time.Duration(0)
	for _, n := range sim.instances {
		if n.zone == zone && n.weight() != lightWeight {
			sim.after(after, func() { n.shutDown(away) })
			after += releaseGap
		}
	}
}

// shutDown lets the process hand over what it leads, and ends it after drainTime.
func (n *simulatedInstance) shutDown(away time.Duration) {
	if n.instance == nil {
		return
	}
	incarnation := n.incarnation
	n.do(incarnation, func() { n.instance.Leave(n.simulation.now) })
	n.simulation.after(drainTime, func() {
		if n.incarnation == incarnation && n.instance != nil {
			n.kill()
			n.simulation.after(away, n.start)
		}
	})
}

// TestRandomFaultsWithReleases runs randomized faults and releases with instances of different
// weights, so that zones are led by instances of others: no task may run twice at a time, and
// each zone must have one leader in the end.
func TestRandomFaultsWithReleases(t *testing.T) {
	for seed := range seeds() {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runRandomFaults(t, newSimulationOf(seed, simulationConfig{apart: true, uneven: true}))
		})
	}
}
