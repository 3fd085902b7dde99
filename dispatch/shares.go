package dispatch

import (
	"math"
	"time"
)

const (
	// minRouteShare is the share of a pool's capacity that each route may use under
	// overload before more urgent routes, so that none is starved.
	minRouteShare = 0.05
	// demandTime is the time constant of the mean demand, and maxUrgentDemand the
	// largest share of the capacity that a forecast leaves to more urgent jobs that have
	// not arrived yet.
	demandTime      = 500 * time.Millisecond
	maxUrgentDemand = 0.9
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

// demand is the mean demand for the capacity of the pools, by pool and urgency.
type demand map[string]map[int]*decayingSum

// decayingSum is a sum whose terms decay with the time constant demandTime.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value returns the sum at now.
func (s *decayingSum) value(now time.Time) float64 {
	return s.sum * math.Exp(-float64(now.Sub(s.at))/float64(demandTime))
}

// add adds a job that has arrived.
func (m demand) add(now time.Time, j *activeJob) {
	pool := m[j.Pool]
	if pool == nil {
		pool = make(map[int]*decayingSum)
		m[j.Pool] = pool
	}
	s := pool[j.Urgency]
	if s == nil {
		s = &decayingSum{at: now}
		pool[j.Urgency] = s
	}
	s.sum, s.at = s.value(now)+j.work, now
}

// waitFactor returns the factor by which the wait of j grows because more urgent jobs keep
// arriving and are served before it.
func (m demand) waitFactor(now time.Time, j *activeJob, capacity int) float64 {
	work := 0.0
	for urgency, s := range m[j.Pool] {
		if urgency < j.Urgency {
			work += s.value(now)
		}
	}
	cores := work / demandTime.Seconds()
	return 1 / (1 - min(cores/(float64(capacity)/1000), maxUrgentDemand))
}
