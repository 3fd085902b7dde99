package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// tick moves what depends on the time at a leader.
func (d *dispatcher) tick(now time.Time, leadership *peer.Leadership) {
	if !d.leading() {
		return
	}
	d.watch(now)
	d.watchJobs(now, leadership)
	d.level()
	d.topSpeed = d.fastest(now)
	for id, kept := range d.ends {
		if now.Sub(kept.at) > keepEnds {
			delete(d.ends, id)
		}
	}
}

// watchJobs suspends the jobs whose receivers are silent, and drops them later.
func (d *dispatcher) watchJobs(now time.Time, leadership *peer.Leadership) {
	for _, id := range d.jobIDs() {
		j := d.jobs[id]
		if j == nil {
			continue
		}
		heard := d.heardReceivers(now, j, leadership)
		silent := len(heard) == 0
		switch {
		case !silent && !j.suspendedAt.IsZero() && now.Sub(j.askedAt) > askAgain:
			j.askedAt = now
			for _, addr := range heard {
				d.settle(now, addr, End{ID: id, State: ForwardAgain})
			}
		case silent && j.suspendedAt.IsZero():
			j.suspendedAt = now
			d.effects.decide("job-suspended", id, "placed", j.placed)
			d.stopRuns(now, j, true)
		case silent && now.Sub(j.suspendedAt) > dropAfter:
			d.effects.decide("job-dropped", id)
			d.drop(now, j)
		}
	}
}

// heardReceivers returns the receivers of j that were heard lately, in order.
func (d *dispatcher) heardReceivers(now time.Time, j *activeJob, leadership *peer.Leadership) []netip.AddrPort {
	var heard []netip.AddrPort
	for addr := range j.receivers {
		if now.Sub(leadership.LastSeen(now, addr)) < receiverSilence {
			heard = append(heard, addr)
		}
	}
	slices.SortFunc(heard, netip.AddrPort.Compare)
	return heard
}

// jobIDs returns the IDs of the active jobs, in order.
func (d *dispatcher) jobIDs() []string {
	return slices.Sorted(maps.Keys(d.jobs))
}

// fastest returns the speed that a tenth of the usable workers exceed, or 1.
func (d *dispatcher) fastest(now time.Time) float64 {
	var speeds []float64
	for _, w := range d.order {
		if w.usable(now) {
			speeds = append(speeds, w.speed)
		}
	}
	if len(speeds) == 0 {
		return 1
	}
	slices.Sort(speeds)
	return speeds[len(speeds)*9/10]
}
