package dispatch

import "time"

const (
	// minRouteShare is the share of a pool's capacity that each route may use under
	// overload before more urgent routes, so that each gets some capacity.
	minRouteShare = 0.05
	// displacedDemand is the share of the capacity at which more urgent jobs leave
	// only a minimum share to a route.
	displacedDemand = 0.9
	// overloadReserve is the share of the capacity of an overloaded pool that stays free
	// for jobs that can end in time: other jobs use only what is free beyond it.
	overloadReserve = 0.2
)

// assignMinShares marks, in each pool, the first queued jobs of those routes that use less than
// their minimum share. The most urgent jobs need no share. A route's next jobs, for another
// such share, are reserved: they are not refused because of more urgent ones.
func (d *dispatcher) assignMinShares(now time.Time, pools map[string]*poolPlan) {
	for _, j := range d.queue.jobs {
		if p := pools[j.Pool]; p != nil && (!p.queued || j.Urgency < p.mostUrgent) {
			p.mostUrgent, p.queued = j.Urgency, true
		}
	}
	for _, j := range d.queue.jobs {
		p := pools[j.Pool]
		if p == nil {
			continue
		}
		share := minRouteShare * float64(p.capacity)
		used := float64(p.inUse[j.Route])
		lessUrgent := j.Urgency > p.mostUrgent && !j.late
		getsMinShare := lessUrgent && ((j.getsMinShare && j.started) || (used < j.shareLimit(share) && j.likelyInTime(now)))
		j.displaced = d.isDisplaced(j, p.capacity)
		j.reserved = lessUrgent && used < 2*share && j.likelyInTime(now)
		largeFirst, scarce := d.sizes.underserved(j), d.scarceFor(j, p.capacity)
		if getsMinShare != j.getsMinShare || largeFirst != j.largeFirst || scarce != j.scarce {
			j.getsMinShare, j.largeFirst, j.scarce = getsMinShare, largeFirst, scarce
			d.queue.stale = true
		}
		if lessUrgent {
			_, needs := j.waitingWork()
			p.inUse[j.Route] += needs
		}
	}
}

// likelyInTime reports whether j ends in time on workers of speed 1 if it starts at now. The
// minimum share of a route is not spent on jobs that only fast workers end in time.
func (j *activeJob) likelyInTime(now time.Time) bool {
	return !now.Add(j.chainTime).After(j.objective)
}

// scarceFor reports whether the jobs that are as urgent as j or more need almost all of a
// pool's capacity, in thousandths of a core.
func (d *dispatcher) scarceFor(j *activeJob, capacity int) bool {
	return capacity > 0 && d.demand.before(j, j.Urgency+1)/demandTime.Seconds() >= overloadDemand*float64(capacity)/1000
}

// isDisplaced reports whether jobs that are more urgent than j need almost all of a pool's
// capacity, in thousandths of a core.
func (d *dispatcher) isDisplaced(j *activeJob, capacity int) bool {
	return capacity > 0 && d.demand.before(j, j.Urgency)/demandTime.Seconds() >= displacedDemand*float64(capacity)/1000
}

// shareLimit returns the use of capacity by the route of j up to which j is started for the
// route's share: a job takes all of its resources, so that the mean use is the share. Large
// jobs that are served too rarely are started at any use below the share.
func (j *activeJob) shareLimit(share float64) float64 {
	if j.largeFirst {
		return share
	}
	_, needs := j.waitingWork()
	return max(share-float64(needs)/2, 1)
}

// blockedByOverload reports whether j must not be started now although resources are free,
// because its pool is overloaded: a job that is late, or one that more urgent jobs displace,
// unless its tasks leave free capacity beside them. Otherwise it would take what the next jobs
// that can end in time need, or would be started in part and end late.
func (d *dispatcher) blockedByOverload(j *activeJob) bool {
	if j.started || j.getsMinShare {
		return false
	}
	return (j.late || j.displaced) && !d.leavesReserve(j)
}

// leavesReserve reports whether the open workers have free processors for all waiting tasks of
// j and the reserve for jobs that can end in time.
func (d *dispatcher) leavesReserve(j *activeJob) bool {
	free := 0
	for _, w := range d.open {
		if w.Pool == j.Pool {
			free += w.free().Millicores
		}
	}
	_, needs := j.waitingWork()
	free -= needs
	return float64(free) >= overloadReserve*float64(d.overloaded[j.Pool])
}
