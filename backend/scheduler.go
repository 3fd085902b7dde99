package backend

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

// SchedulerConfig configures a Scheduler.
type SchedulerConfig struct {
	// Pool is the name of the pool.
	Pool string
	// Ejection configures the ejection of bad servers.
	Ejection EjectionConfig
}

// A Scheduler assigns the tasks of one pool to the slots of the backend
// servers that an entry instance holds. It keeps the waiting and the running
// tasks.
//
// A Scheduler is not safe for concurrent use: the control goroutine owns it.
type Scheduler[ID comparable] struct {
	pool string
	d    *dispatcher
	// handles holds the handle of every waiting or running task, and ids the
	// task IDs by the index of the handle.
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

// Pool returns the name of the pool.
func (sched *Scheduler[ID]) Pool() string {
	return sched.pool
}

// SetRoutes replaces the routes of the pool. The shares of all routes count,
// including those without tasks here.
func (sched *Scheduler[ID]) SetRoutes(routes []operator.Route) {
	sched.d.setRoutes(routes)
}

// SetServers replaces the servers that are held. Tasks that run on a server
// that is no longer held count there until Done.
func (sched *Scheduler[ID]) SetServers(now time.Time, servers []operator.Server) {
	sched.d.setServers(now, servers)
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

// QueueDelay returns the time by which the task at the given index of its job
// queues behind the arrival of the job. An owner that also orders the jobs of
// a route by it prevents a large job from delaying small ones.
func (sched *Scheduler[ID]) QueueDelay(route string, index int) time.Duration {
	r := sched.d.routes[route]
	if r == nil {
		return 0
	}
	return r.queueDelay(index)
}

// Remove drops a waiting task. If it returns true, the task has not started
// and never will; otherwise the task is running or unknown.
func (sched *Scheduler[ID]) Remove(id ID) bool {
	known, ok := sched.handles[id]
	if !ok || !sched.d.remove(known) {
		return false
	}
	delete(sched.handles, id)
	return true
}

// Next returns the next task to start at now and records its start. It
// returns false if no task can start now; that may change merely because time
// passes.
func (sched *Scheduler[ID]) Next(now time.Time) (Start[ID], bool) {
	started, s, ok := sched.d.next(now)
	if !ok {
		return Start[ID]{}, false
	}
	route := sched.d.tasks.records[started.index].route
	return Start[ID]{ID: sched.ids[started.index], Route: route.row.Name, Server: s.row.Address}, true
}

// RemoveOverdue removes and returns the waiting tasks that can no longer end
// by their deadlines. They have not started and never will.
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

// Running returns the number of tasks of this instance that run on a server.
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
