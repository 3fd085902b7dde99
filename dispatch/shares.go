package dispatch

const (
	// minRouteShare is the share of a pool's capacity that each route may use under
	// overload before more urgent routes, so that none is starved.
	minRouteShare = 0.05
)

// favorRoutes marks, in each pool, the first queued jobs of those routes that use less than
// their minimum share. The most urgent jobs need no share. A route's next jobs, for another
// such share, are reserved: they are not refused because of more urgent ones.
func (d *dispatcher) favorRoutes(pools map[string]*poolPlan) {
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
		favored := lessUrgent && used < share
		j.reserved = lessUrgent && used < 2*share
		first := d.sizes.behind(j)
		if favored != j.favored || first != j.first {
			j.favored, j.first = favored, first
			d.queue.stale = true
		}
		if lessUrgent {
			for _, t := range j.waiting {
				p.inUse[j.Route] += j.Steps[t.id.Step].Needs.Millicores
			}
		}
	}
}
