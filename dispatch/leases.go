package dispatch

import "time"

// runConfirmation returns the time for which a run may continue after its receiver was last
// known to wait for it. Callers submit their jobs again after resubmitDelay, or a default if
// it is 0.
func runConfirmation(resubmitDelay time.Duration) time.Duration {
	if resubmitDelay == 0 {
		resubmitDelay = defaultResubmitDelay
	}
	byClock := float64(resubmitDelay-maxStopTime-resubmitMargin) * (1 - maxClockDrift)
	return min(max(time.Duration(byClock), minRunConfirmation), maxRunConfirmation)
}

// jobConfirmedAt returns the latest time at which a receiver is known to have waited for j,
// or zero.
func (d *dispatcher) jobConfirmedAt(now time.Time, j *activeJob) time.Time {
	latest := j.confirmedAt
	for addr := range j.receivers {
		latest = later(latest, d.confirmedBy(now, addr))
	}
	return latest
}

// runConfirmedAt returns the latest time at which a receiver is known to have waited for a
// run that was not to be stopped, or zero. Nobody is known to wait for an orphaned run. Its
// leader may still be running and expects it to end with the last lease that it granted.
func (d *dispatcher) runConfirmedAt(now time.Time, r *run) time.Time {
	switch {
	case r.state == runStopping:
		return r.confirmedAt
	case r.task != nil:
		return d.jobConfirmedAt(now, r.task.job)
	default:
		return time.Time{}
	}
}

// leaseLimit returns the time until which a command sent at now may prolong the lease of w.
// It may have passed.
//
// The worker ends all its runs when its lease expires. Polls and starts renew the lease, but
// not beyond runConfirmation after the receiver of any of the runs was last known to wait for
// it: by then a caller may have submitted the job elsewhere, where nothing is known of this
// run. So the run ends even if each stop command is lost.
func (d *dispatcher) leaseLimit(now time.Time, w *worker) time.Time {
	limit := now.Add(leaseDuration)
	for _, r := range w.runs {
		if end := d.runConfirmedAt(now, r).Add(d.runConfirmation); end.Before(limit) {
			limit = end
		}
	}
	return limit
}

// startsAllowed reports whether the lease of w can be prolonged for long enough to start a
// task there.
func (d *dispatcher) startsAllowed(now time.Time, w *worker) bool {
	return d.leaseLimit(now, w).Sub(now) >= minStartLease
}

// renewalDue reports whether the lease of w is to be renewed although a poll is outstanding.
func (d *dispatcher) renewalDue(now time.Time, w *worker) bool {
	if len(w.runs) == 0 || !w.polled || w.missedPolls > 0 || w.renewedUntil-w.clockHigh(now) >= leaseDuration-leaseRenewalAge {
		return false
	}
	return w.leaseUntil(d.leaseLimit(now, w))-w.renewedUntil >= minLeaseRenewal
}
