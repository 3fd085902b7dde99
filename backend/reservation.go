package backend

// reserve sets a server aside for r, whose tasks fit no server now. The tasks
// of other demands start elsewhere until one of r has started, so that small
// tasks do not keep a large one out for ever.
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

// release ends the reservation for r, if there is one.
func (d *dispatcher) release(r *route) {
	s := r.reserved
	if s == nil {
		return
	}
	r.reserved = nil
	s.reserved = nil
	d.refresh(s)
}

// releaseUnneeded ends the reservations that no longer serve.
func (d *dispatcher) releaseUnneeded() {
	for _, r := range d.sortedRoutes {
		if r.reserved != nil && (r.queue.length == 0 || r.reserved.limit() == 0) {
			d.release(r)
		}
	}
}

// accepts reports whether s may take one more task of the shelf's demand.
func (s *server) accepts(f *serverHeap) bool {
	if s.free == 0 || s.reserved != nil && s.reserved.heapIndex != f.index {
		return false
	}
	return s.fits(f.demand)
}

// fitsWhenIdle reports whether the server's guards allow a task of the demand when
// nothing else runs there.
func (s *server) fitsWhenIdle(d demand) bool {
	cores := s.row.Cores == 0 || d.milliCores <= int64(s.row.Cores)*milli
	memory := s.row.MemoryMiB == 0 || d.memoryMiB <= int64(s.row.MemoryMiB)
	return cores && memory
}

// freeShare returns the part of the server's cores or memory, whichever is scarcer,
// that its guards leave, in [0, 1].
func (s *server) freeShare() float64 {
	room := 1.0
	if s.row.Cores > 0 {
		room = 1 - float64(s.used.milliCores)/float64(int64(s.row.Cores)*milli)
	}
	if s.row.MemoryMiB > 0 {
		room = min(room, 1-float64(s.used.memoryMiB)/float64(s.row.MemoryMiB))
	}
	return room
}
