package backend

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

// SchedulerConfig configures a Scheduler.
type SchedulerConfig struct {
	// Pool names the pool.
	Pool string
	// Ejection configures the ejection of bad servers.
	Ejection EjectionConfig
}

// A Scheduler is the backend servers of one pool that an entry instance holds,
// with the tasks that wait for them and run on them.
//
// A Scheduler is not safe for concurrent use: the control goroutine owns it.
type Scheduler[ID comparable] struct {
	pool string
	d    *dispatcher
	// handles holds every task that waits or runs, and ids the ID of each
	// by the index of its handle.
	handles map[ID]handle
	ids     []ID
}

// NewScheduler returns a Scheduler without routes, servers and tasks. It returns a
// *ConfigError if cfg is out of range.
func NewScheduler[ID comparable](cfg SchedulerConfig) (*Scheduler[ID], error) {
	ejector, err := NewEjector(cfg.Ejection)
	if err != nil {
		return nil, err
	}
	h := &Scheduler[ID]{
		pool:    cfg.Pool,
		d:       newDispatcher(ejector),
		handles: map[ID]handle{},
	}
	return h, nil
}

// Pool returns the name of the pool.
func (h *Scheduler[ID]) Pool() string {
	return h.pool
}

// SetRoutes replaces the routes of the pool. The shares of all of them count,
// also of those without tasks here.
func (h *Scheduler[ID]) SetRoutes(routes []operator.Route) {
	h.d.setRoutes(routes)
}

// SetServers replaces the servers held. The tasks that run on a server no
// longer held count there until Done.
func (h *Scheduler[ID]) SetServers(now time.Time, servers []operator.Server) {
	h.d.setServers(now, servers)
}

// SetLeaving records what the platform's list says of a server.
func (h *Scheduler[ID]) SetLeaving(now time.Time, addr netip.AddrPort, isLeaving bool) {
	h.d.ejector.SetLeaving(now, addr, isLeaving)
	if s := h.d.servers[addr]; s != nil {
		h.d.refresh(s)
	}
}

// SetFormerHolderTasks records the number of slots of a server that the tasks of its
// former holder still take.
func (h *Scheduler[ID]) SetFormerHolderTasks(now time.Time, addr netip.AddrPort, running int) {
	h.d.advance(now)
	if s := h.d.servers[addr]; s != nil {
		s.formerHolderTasks = max(0, running)
		h.d.refresh(s)
	}
}

// Push adds a waiting task. It does nothing if a task of that ID waits or runs
// already.
func (h *Scheduler[ID]) Push(now time.Time, t Task[ID]) {
	if _, known := h.handles[t.ID]; known {
		return
	}
	added := h.d.push(now, t.Route, t.Index, t.Arrived, t.Deadline)
	h.handles[t.ID] = added
	if int(added.index) == len(h.ids) {
		h.ids = append(h.ids, t.ID)
		return
	}
	h.ids[added.index] = t.ID
}

// QueueDelay returns the time by which a task queues behind its job's arrival, by its
// Index. An owner that orders the jobs of a route by it, too, keeps a large job
// from holding up small ones.
func (h *Scheduler[ID]) QueueDelay(route string, index int) time.Duration {
	r := h.d.routes[route]
	if r == nil {
		return 0
	}
	return r.queueDelay(index)
}

// Remove drops a waiting task. If it returns true, the task has not started
// and never will; else the task runs or is unknown.
func (h *Scheduler[ID]) Remove(id ID) bool {
	known, ok := h.handles[id]
	if !ok || !h.d.remove(known) {
		return false
	}
	delete(h.handles, id)
	return true
}

// Next decides one start at now. It returns false if no task is to start now;
// that may change with time alone.
func (h *Scheduler[ID]) Next(now time.Time) (Start[ID], bool) {
	started, s, ok := h.d.next(now)
	if !ok {
		return Start[ID]{}, false
	}
	route := h.d.tasks.records[started.index].route
	return Start[ID]{ID: h.ids[started.index], Route: route.row.Name, Server: s.row.Address}, true
}

// RemoveOverdue removes and returns the waiting tasks that can no longer end by
// their deadlines. They have not started and never will.
func (h *Scheduler[ID]) RemoveOverdue(now time.Time) []ID {
	h.d.collectOverdue(now)
	if len(h.d.overdue) == 0 {
		return nil
	}
	ids := make([]ID, 0, len(h.d.overdue))
	for _, late := range h.d.overdue {
		if h.d.tasks.get(late, expired) == nil {
			continue
		}
		id := h.ids[late.index]
		ids = append(ids, id)
		delete(h.handles, id)
		h.d.tasks.drop(late.index)
	}
	h.d.overdue = h.d.overdue[:0]
	return ids
}

// Done ends a running task, whose outcome was seen at now. It does nothing if
// no task of that ID runs.
func (h *Scheduler[ID]) Done(now time.Time, id ID, o Outcome) {
	known, ok := h.handles[id]
	if ok && h.d.done(now, known, o) {
		delete(h.handles, id)
	}
}

// Running returns the number of tasks of this holder that run on a server.
func (h *Scheduler[ID]) Running(addr netip.AddrPort) int {
	if s := h.d.servers[addr]; s != nil {
		return s.running
	}
	return 0
}

// ExpectedRunTime returns the learned mean run time of a route's tasks, or 0 if too
// few have been seen.
func (h *Scheduler[ID]) ExpectedRunTime(route string) time.Duration {
	r := h.d.routes[route]
	if r == nil || r.runTime.samples < confidentSamples {
		return 0
	}
	return seconds(r.runTime.mean)
}
