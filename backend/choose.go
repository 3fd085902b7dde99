package backend

import "time"

// minSlowdownToWait is the smallest ratio of the run times on a slower and a
// faster server at which a task may wait for the faster one.
const minSlowdownToWait = 1.5

// next chooses a waiting task and the server on which it starts, and records
// the start. It returns false if no task can start now.
func (d *dispatcher) next(now time.Time) (handle, *server, bool) {
	d.advance(now)
	if d.waiting == 0 || d.free == 0 {
		return handle{}, nil, false
	}
	for _, r := range d.sortedRoutes {
		d.accrueDeficit(now, r)
	}
	d.endUnneededReservations()
	d.decision++
	for {
		r := d.nextRoute()
		if r == nil {
			return handle{}, nil, false
		}
		if h, s, ok := d.match(now, r); ok {
			d.start(now, h, s)
			return h, s, true
		}
		r.failedDecision = d.decision
		if d.heaps[r.heapIndex].first() == nil {
			d.reserve(r)
		}
	}
}

// nextRoute returns the route that comes first, as precedes defines it, among
// those with waiting tasks for which match has not failed in this decision. It
// returns nil if there is none.
func (d *dispatcher) nextRoute() *route {
	var best *route
	slots := 0.0
	for _, r := range d.sortedRoutes {
		if r.queue.length == 0 || r.failedDecision == d.decision {
			continue
		}
		g := d.guarantee(r)
		if best == nil || precedes(r, best, g, slots) {
			best, slots = r, g
		}
	}
	return best
}

// match returns a task of r and the server on which it starts now, or false if
// none of its tasks should start now. It skips the tasks for which it is better
// to wait for a faster server, and marks as overdue those that can no longer
// end by their deadlines.
func (d *dispatcher) match(now time.Time, r *route) (handle, *server, bool) {
	for {
		s := d.heaps[r.heapIndex].first()
		if s == nil {
			return handle{}, nil, false
		}
		n := d.countBetterWaiting(r, s)
		if n >= r.queue.length {
			return handle{}, nil, false
		}
		h, ok := r.queue.nth(&d.tasks, n)
		if !ok {
			return handle{}, nil, false
		}
		if d.tasks.records[h.index].latestStart > d.instant(now) {
			return h, s, true
		}
		d.markOverdue(h)
	}
}

// countBetterWaiting returns the number of waiting tasks of r that lose more
// time, relative to their run times, if they start on s than if they wait for
// a faster server.
//
// The n-th task waits until n of the tasks on faster servers have ended. Let m
// be the mean run time of the running tasks on a typical server. If b of them
// run on servers with the slowness factor f, a task ends there every m*f/b. Let
// w be the run time of a waiting task on a typical server, and own the lower
// bound of the slowness factor of s. If the task starts on s rather than on
// such a faster server, it takes w*(own-f) longer. For w the harmonic mean is
// used, because a wait matters most to short tasks. The sum of
// w*(own-f)/(m*f/b) over the faster speed levels is the number of tasks of all
// routes for which waiting is better. It is multiplied by the fraction of the
// next free slots that r gets.
func (d *dispatcher) countBetterWaiting(r *route, s *server) int {
	if !r.runTime.known() || d.expectedRunning <= 0 {
		return 0
	}
	own := s.slowness.factorLowerBound()
	sum := 0.0
	for level := 0; level < s.level; level++ {
		if d.busy[level] == 0 || own < minSlowdownToWait*levelFactors[level] {
			continue
		}
		sum += float64(d.busy[level]) * (own/levelFactors[level] - 1)
	}
	if sum == 0 {
		return 0
	}
	meanRunTime := d.expectedRunning / float64(d.running)
	return int(sum * r.runTime.harmonic() / meanRunTime * d.shareOfNextSlots(r))
}

// shareOfNextSlots returns the fraction, in [0, 1], that r gets of the slots
// that become free next.
func (d *dispatcher) shareOfNextSlots(r *route) float64 {
	if float64(r.running) < d.guarantee(r) {
		return 1
	}
	shares := 0
	for _, other := range d.sortedRoutes {
		if other.queue.length > 0 {
			shares += other.row.Share
		}
	}
	if shares == 0 {
		return 1
	}
	return float64(r.row.Share) / float64(shares)
}

// start records that a waiting task starts on a server.
func (d *dispatcher) start(now time.Time, h handle, s *server) {
	rec := &d.tasks.records[h.index]
	r := rec.route
	rec.state = running
	rec.server = s
	rec.started = now
	rec.demand = r.demand
	rec.expectedRunTime = r.runTime.mean
	d.unqueue(rec)
	r.running++
	d.running++
	d.expectedRunning += rec.expectedRunTime
	s.running++
	s.used.milliCores += rec.demand.milliCores
	s.used.memoryMiB += rec.demand.memoryMiB
	d.endReservation(r)
	d.refresh(s)
}

// markOverdue removes a task from its queue. The next RemoveOverdue returns
// it.
func (d *dispatcher) markOverdue(h handle) {
	rec := &d.tasks.records[h.index]
	d.unqueue(rec)
	rec.state = expired
	d.overdue = append(d.overdue, h)
}

// collectOverdue marks as overdue the waiting tasks that can no longer end by
// their deadlines.
func (d *dispatcher) collectOverdue(now time.Time) {
	d.advance(now)
	instant := d.instant(now)
	for {
		h, ok := d.deadlines.pop(&d.tasks, instant)
		if !ok {
			return
		}
		d.markOverdue(h)
	}
}
