package backend

// reserve reserves a server for r, whose tasks currently fit on no server.
// Until a task of r has started, tasks with other demands do not start on that
// server, so that a stream of small tasks cannot keep a large one waiting
// forever. It does nothing if r has a reservation or uses its whole guarantee.
func (d *dispatcher) reserve(r *route) {
	if r.reserved != nil || float64(r.running) >= d.guarantee(r) {
		return
	}
	var best *server
	for _, s := range d.held {
		if s.reserved != nil || s.limit() == 0 || !s.fitsWhenIdle(r.demand) {
			continue
		}
		if best == nil || s.freeShare() > best.freeShare() {
			best = s
		}
	}
	if best == nil {
		return
	}
	r.reserved = best
	best.reserved = r
	d.refresh(best)
}

// endReservation ends the reservation for r, if there is one.
func (d *dispatcher) endReservation(r *route) {
	s := r.reserved
	if s == nil {
		return
	}
	r.reserved = nil
	s.reserved = nil
	d.refresh(s)
}

// endUnneededReservations ends the reservations for routes without waiting
// tasks, and those of servers that may run no tasks.
func (d *dispatcher) endUnneededReservations() {
	for _, r := range d.sortedRoutes {
		if r.reserved != nil && (r.queue.length == 0 || r.reserved.limit() == 0) {
			d.endReservation(r)
		}
	}
}

// accepts reports whether s can run one more task with the demand of h. It
// returns false if s is reserved for a route with another demand.
func (s *server) accepts(h *serverHeap) bool {
	if s.free == 0 || s.reserved != nil && s.reserved.heapIndex != h.index {
		return false
	}
	return s.fits(h.demand)
}

// fitsWhenIdle reports whether the server's cores and memory suffice for a
// task with the given demand when nothing else runs there.
func (s *server) fitsWhenIdle(d demand) bool {
	cores := s.row.Cores == 0 || d.milliCores <= int64(s.row.Cores)*milli
	memory := s.row.MemoryMiB == 0 || d.memoryMiB <= int64(s.row.MemoryMiB)
	return cores && memory
}

// freeShare returns the smaller of two fractions in [0, 1]: that of the
// server's cores and that of its memory that no task of this instance uses.
func (s *server) freeShare() float64 {
	share := 1.0
	if s.row.Cores > 0 {
		share = 1 - float64(s.used.milliCores)/float64(int64(s.row.Cores)*milli)
	}
	if s.row.MemoryMiB > 0 {
		share = min(share, 1-float64(s.used.memoryMiB)/float64(s.row.MemoryMiB))
	}
	return share
}
