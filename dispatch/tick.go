package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// tick handles what depends on the time at a leader.
func (d *dispatcher) tick(now time.Time, leadership *peer.Leadership) {
	if !d.leading() {
		return
	}
	d.noteTick(now)
	d.checkWorkers(now)
	d.pollForRestarts(now)
	d.checkJobs(now, leadership)
	d.redirectWaiting(now)
	d.foreign.update(now, d.jobs)
	d.normalizeSpeeds()
	d.topSpeed = d.fastSpeed(now)
	d.pollAny = true
	for id, kept := range d.ends {
		if now.Sub(kept.at) > endRetention {
			delete(d.ends, id)
		}
	}
}

// checkJobs drops jobs whose callers have stopped waiting by their deadlines. It suspends
// jobs whose receivers have all timed out, and drops them later.
// It asks reconnected receivers of a suspended job to forward it again.
func (d *dispatcher) checkJobs(now time.Time, leadership *peer.Leadership) {
	for _, id := range d.jobIDs() {
		j := d.jobs[id]
		if j == nil {
			continue
		}
		live := d.liveReceivers(now, j, leadership)
		silent := len(live) == 0
		switch {
		case !now.Before(j.CallerDeadline):
			// The receiver has answered its callers and withdraws the job, unless the
			// withdrawal is lost.
			d.dropExpired(now, j)
		case !silent && j.state == jobSuspended && now.Sub(j.forwardRequestedAt) > forwardRequestInterval:
			j.forwardRequestedAt = now
			for _, addr := range live {
				d.reportEnd(now, addr, End{ID: id, State: ForwardAgain})
			}
		case silent && j.state == jobActive:
			d.suspend(now, j)
		case silent && now.Sub(j.suspendedAt) > suspendedJobTimeout:
			d.effects.decide("job-dropped", id)
			d.dropJob(now, j)
		}
	}
}

// suspend suspends j, from whose receivers nothing is received.
func (d *dispatcher) suspend(now time.Time, j *activeJob) {
	if !j.apply(eventSuspend) {
		return
	}
	j.suspendedAt = now
	d.effects.decide("job-suspended", j.ID, "placed", j.placed, "confirmed", SinceOrNever(now, d.jobConfirmedAt(now, j)))
	d.stopRuns(now, j)
}

// dropExpired drops a job for which no caller waits any more.
func (d *dispatcher) dropExpired(now time.Time, j *activeJob) {
	d.effects.decide("job-expired", j.ID, "age", now.Sub(j.Arrived), "placed", j.placed, "confirmed", SinceOrNever(now, d.jobConfirmedAt(now, j)))
	d.dropJob(now, j)
}

// liveReceivers returns the receivers of j from which something was received
// recently, in order.
func (d *dispatcher) liveReceivers(now time.Time, j *activeJob, leadership *peer.Leadership) []netip.AddrPort {
	var live []netip.AddrPort
	for addr := range j.receivers {
		if now.Sub(later(leadership.LastSeen(now, addr), d.foreign.lastForwarded(addr))) < receiverTimeout {
			live = append(live, addr)
		}
	}
	slices.SortFunc(live, netip.AddrPort.Compare)
	return live
}

// jobIDs returns the IDs of the active jobs, in order.
func (d *dispatcher) jobIDs() []string {
	return slices.Sorted(maps.Keys(d.jobs))
}

// fastSpeed returns the 90th percentile of the speeds of the available workers, or 1 if
// there are none.
func (d *dispatcher) fastSpeed(now time.Time) float64 {
	var speeds []float64
	for _, w := range d.ledWorkers() {
		if d.available(now, w) {
			speeds = append(speeds, w.speed)
		}
	}
	if len(speeds) == 0 {
		return 1
	}
	slices.Sort(speeds)
	return speeds[len(speeds)*9/10]
}
