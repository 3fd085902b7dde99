package backend

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

// SchedulerConfig configures a Scheduler.
type SchedulerConfig struct {
	// Pool names the pool whose tasks the Scheduler assigns.
	Pool string
	// Ejection configures the ejection of servers that do worse than the
	// others.
	Ejection EjectionConfig
}

// A Scheduler assigns the tasks of one pool to the slots of the backend
// servers that an entry instance holds, that is, on which the instance may
// start tasks. It stores the waiting and the running tasks.
//
// A Scheduler is not safe for concurrent use: the control goroutine owns it.
type Scheduler[ID comparable] struct {
	pool string
	d    *dispatcher
	// handles maps the ID of every waiting or running task to its handle, and
	// ids[h.index] is the ID of the task with handle h.
	handles map[ID]handle
	ids     []ID
}

// NewScheduler returns a Scheduler without routes, servers and tasks. It
// returns a *ConfigError if a field of cfg is out of range.
func NewScheduler[ID comparable](cfg SchedulerConfig) (*Scheduler[ID], error) {
	ejector, err := NewEjector(cfg.Ejection)
	if err != nil {
		return nil, err
	}
	sched := &Scheduler[ID]{
		pool:    cfg.Pool,
		d:       newDispatcher(ejector),
		handles: map[ID]handle{},
	}
	return sched, nil
}

// Pool returns the name of the pool whose tasks the Scheduler assigns.
func (sched *Scheduler[ID]) Pool() string {
	return sched.pool
}

// SetRoutes replaces the routes of the pool. A route's guaranteed number of
// slots is its fraction of the shares of all routes, including routes that
// have no tasks on this instance.
func (sched *Scheduler[ID]) SetRoutes(routes []operator.Route) {
	sched.d.setRoutes(routes)
}

// SetServers replaces the servers that this instance holds. Running still
// counts the tasks on a server that is no longer held, until Done ends them.
func (sched *Scheduler[ID]) SetServers(now time.Time, servers []operator.Server) {
	sched.d.setServers(now, servers)
}

// SetDrainedZones replaces the availability zones on whose servers no task is
// started. Tasks that run there end normally.
func (sched *Scheduler[ID]) SetDrainedZones(zones []string) {
	sched.d.setDrainedZones(zones)
}

// SetLeaving records whether the platform's list marks a server as leaving.
func (sched *Scheduler[ID]) SetLeaving(now time.Time, addr netip.AddrPort, isLeaving bool) {
	sched.d.ejector.SetLeaving(now, addr, isLeaving)
	if s := sched.d.servers[addr]; s != nil {
		sched.d.refresh(s)
	}
}

// SetFormerHolderTasks records the number of slots of a server that tasks of
// its former holder still occupy.
func (sched *Scheduler[ID]) SetFormerHolderTasks(now time.Time, addr netip.AddrPort, running int) {
	sched.d.advance(now)
	if s := sched.d.servers[addr]; s != nil {
		s.formerHolderTasks = max(0, running)
		sched.d.refresh(s)
	}
}

// Push adds a waiting task. It does nothing if a task with that ID is already
// waiting or running.
func (sched *Scheduler[ID]) Push(now time.Time, t Task[ID]) {
	if _, known := sched.handles[t.ID]; known {
		return
	}
	added := sched.d.push(now, t.Route, t.Index, t.Arrived, t.Deadline)
	sched.handles[t.ID] = added
	if int(added.index) == len(sched.ids) {
		sched.ids = append(sched.ids, t.ID)
		return
	}
	sched.ids[added.index] = t.ID
}

// QueueDelay returns how much later than its job's arrival a task counts as
// arrived in the queue of its route, given its index in the job. The delay
// grows with the index, so that a large job does not delay small ones. An
// owner achieves the same between its jobs if it sorts them by arrival plus
// the delay of their next task.
func (sched *Scheduler[ID]) QueueDelay(route string, index int) time.Duration {
	r := sched.d.routes[route]
	if r == nil {
		return 0
	}
	return r.queueDelay(index)
}

// Remove drops a waiting task. It returns true if the task has not started
// and never will, and false if the task is running or unknown.
func (sched *Scheduler[ID]) Remove(id ID) bool {
	known, ok := sched.handles[id]
	if !ok || !sched.d.remove(known) {
		return false
	}
	delete(sched.handles, id)
	return true
}

// Next returns the next task to start at now and records its start. It
// returns false if no task can start now. A later call may return a task even
// if no other method was called in between, for example because the ejection
// of a server has ended.
func (sched *Scheduler[ID]) Next(now time.Time) (Start[ID], bool) {
	started, s, ok := sched.d.next(now)
	if !ok {
		return Start[ID]{}, false
	}
	route := sched.d.tasks.records[started.index].route
	return Start[ID]{ID: sched.ids[started.index], Route: route.row.Name, Server: s.row.Address}, true
}

// RemoveOverdue removes the waiting tasks that can no longer end by their
// deadlines and returns their IDs. They have not started and never will.
func (sched *Scheduler[ID]) RemoveOverdue(now time.Time) []ID {
	sched.d.collectOverdue(now)
	if len(sched.d.overdue) == 0 {
		return nil
	}
	ids := make([]ID, 0, len(sched.d.overdue))
	for _, late := range sched.d.overdue {
		if sched.d.tasks.get(late, expired) == nil {
			continue
		}
		id := sched.ids[late.index]
		ids = append(ids, id)
		delete(sched.handles, id)
		sched.d.tasks.drop(late.index)
	}
	sched.d.overdue = sched.d.overdue[:0]
	return ids
}

// Done ends a running task with the outcome that was received at now. It does
// nothing if no task with that ID is running.
func (sched *Scheduler[ID]) Done(now time.Time, id ID, o Outcome) {
	known, ok := sched.handles[id]
	if ok && sched.d.done(now, known, o) {
		delete(sched.handles, id)
	}
}

// Running returns the number of this instance's tasks that are running on the
// server addr.
func (sched *Scheduler[ID]) Running(addr netip.AddrPort) int {
	if s := sched.d.servers[addr]; s != nil {
		return s.running
	}
	return 0
}

// ExpectedRunTime returns the learned mean run time of a route's tasks on a
// typical server, or 0 if fewer than three run times have been measured.
func (sched *Scheduler[ID]) ExpectedRunTime(route string) time.Duration {
	r := sched.d.routes[route]
	if r == nil || r.runTime.samples < confidentSamples {
		return 0
	}
	return seconds(r.runTime.mean)
}
