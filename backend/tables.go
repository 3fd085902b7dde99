package backend

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

// unlistedShare is the share of a route that is not in the tables, and the
// minimum share of any route.
const unlistedShare = 1

// route returns the route with the given name. It adds the route with
// unlistedShare if it is unknown.
func (d *dispatcher) route(name string) *route {
	r := d.routes[name]
	if r == nil {
		d.addRoute(operator.Route{Name: name, Share: unlistedShare})
		r = d.routes[name]
		d.indexRoutes()
	}
	return r
}

func (d *dispatcher) addRoute(row operator.Route) *route {
	r := &route{row: row}
	d.routes[row.Name] = r
	d.sortedRoutes = append(d.sortedRoutes, r)
	return r
}

// setRoutes replaces the rows of the routes. A route whose row is no longer
// listed remains until a call of setRoutes after its tasks have ended.
func (d *dispatcher) setRoutes(rows []operator.Route) {
	for _, r := range d.sortedRoutes {
		r.listed = false
	}
	for _, row := range rows {
		r := d.routes[row.Name]
		if r == nil {
			r = d.addRoute(row)
		}
		r.row = row
		r.row.Share = max(row.Share, unlistedShare)
		r.listed = true
	}
	d.sortedRoutes = slices.DeleteFunc(d.sortedRoutes, d.dropIfFinished)
	d.indexRoutes()
}

// dropIfFinished deletes r from the routes by name if it is not listed and has
// no tasks. It returns true if it has deleted r.
func (d *dispatcher) dropIfFinished(r *route) bool {
	if r.listed || r.running > 0 || r.queue.length > 0 {
		return false
	}
	d.endReservation(r)
	delete(d.routes, r.row.Name)
	return true
}

// indexRoutes sorts the routes and recomputes what is derived from their rows:
// the sum of the shares, the demands, and the heaps of servers.
func (d *dispatcher) indexRoutes() {
	slices.SortFunc(d.sortedRoutes, func(a, b *route) int {
		return strings.Compare(a.row.Name, b.row.Name)
	})
	d.totalShares = 0
	d.heaps = d.heaps[:0]
	for _, r := range d.sortedRoutes {
		d.totalShares += r.row.Share
		r.demand = demandOf(r.row)
		r.heapIndex = d.heapFor(r.demand)
	}
	for _, s := range d.servers {
		s.positions = newPositions(len(d.heaps))
	}
	d.refreshAll()
}

// heapFor returns the index of the heap for the given demand. It adds the heap
// if there is none.
func (d *dispatcher) heapFor(want demand) int {
	for i, h := range d.heaps {
		if h.demand == want {
			return i
		}
	}
	d.heaps = append(d.heaps, &serverHeap{demand: want, index: len(d.heaps)})
	return len(d.heaps) - 1
}

func newPositions(n int) []int32 {
	positions := make([]int32, n)
	for i := range positions {
		positions[i] = notInHeap
	}
	return positions
}

// setServers replaces the servers that this instance holds. It releases those
// that are not among rows.
func (d *dispatcher) setServers(now time.Time, rows []operator.Server) {
	for _, s := range d.held {
		s.held = false
		s.released = now
		d.ejector.Release(s.row.Address)
	}
	before := d.held
	d.held = nil
	for _, row := range rows {
		s := d.servers[row.Address]
		if s == nil {
			s = d.addServer(now, row.Address)
		}
		if s.held {
			continue
		}
		s.row = row
		s.held = true
		d.setDrained(s)
		d.ejector.Add(row.Address)
		d.held = append(d.held, s)
	}
	slices.SortFunc(d.held, func(a, b *server) int {
		return a.row.Address.Compare(b.row.Address)
	})
	for _, s := range before {
		d.refresh(s)
	}
	d.refreshAll()
}

// setDrainedZones replaces the drained zones.
func (d *dispatcher) setDrainedZones(zones []string) {
	if slices.Equal(zones, d.drainedZones) {
		return
	}
	d.drainedZones = slices.Clone(zones)
	for _, s := range d.held {
		d.setDrained(s)
	}
	d.refreshAll()
}

// setDrained records whether the zone of s is drained. A server that returns may have
// restarted, so that its speed counts as uncertain.
func (d *dispatcher) setDrained(s *server) {
	was := s.drained
	s.drained = slices.Contains(d.drainedZones, s.row.Zone)
	if was && !s.drained {
		s.slowness.variance = speedVariance
	}
}

func (d *dispatcher) addServer(now time.Time, addr netip.AddrPort) *server {
	s := &server{
		health:    d.ejector.add(addr),
		slowness:  slowness{variance: speedVariance, at: now},
		positions: newPositions(len(d.heaps)),
	}
	d.servers[addr] = s
	return s
}

// forgetReleased drops the servers that were released more than
// releasedRetention ago and run no tasks.
func (d *dispatcher) forgetReleased(now time.Time) {
	for addr, s := range d.servers {
		if s.held || s.running > 0 || now.Sub(s.released) < releasedRetention {
			continue
		}
		delete(d.servers, addr)
		d.ejector.Forget(addr)
	}
}

// refreshAll calls refresh for every server that is held.
func (d *dispatcher) refreshAll() {
	for _, s := range d.held {
		d.refresh(s)
	}
}

// refresh recomputes, after a change of s, its speed level, what it contributes
// to the sums of the dispatcher, and its position in the heaps.
func (d *dispatcher) refresh(s *server) {
	d.usable -= s.usable
	d.free -= s.free
	d.busy[s.busyLevel] -= s.busy
	s.setLevel()
	s.updateContributions()
	d.usable += s.usable
	d.free += s.free
	d.busy[s.busyLevel] += s.busy
	for _, h := range d.heaps {
		h.update(s, s.accepts(h))
	}
}

// updateContributions recomputes what s contributes to the sums of the
// dispatcher.
func (s *server) updateContributions() {
	limit := s.limit()
	s.free = max(0, limit-s.occupied())
	s.usable = max(0, limit-s.formerHolderTasks)
	s.busy = 0
	if limit > 0 {
		s.busy = s.running
	}
	s.busyLevel = s.level
}

// applyReport records the number of excess tasks: those that the server reports
// beyond the known tasks of this instance and of the former holder. They occupy
// slots only once two consecutive reports include them, because a single report
// may predate the end of other tasks.
func (s *server) applyReport(now time.Time, o Outcome) {
	if !o.Reported {
		return
	}
	unknown := max(0, o.Running+o.Waiting-s.running-s.formerHolderTasks)
	s.excess = min(unknown, s.lastExcess)
	s.lastExcess = unknown
	s.excessUntil = now.Add(excessLifetime)
}
