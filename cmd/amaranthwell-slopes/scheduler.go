package main

import (
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
)

// A schedulerLoad drives the scheduler of one pool on a simulated clock, with
// tasks of its routes in turn.
type schedulerLoad struct {
	scheduler *backend.Scheduler[int]
	now       time.Time
	routes    int
	next      int
	// running holds the IDs of the running tasks, oldest first.
	running []int
}

func newSchedulerLoad(workers, routes int) *schedulerLoad {
	h, err := backend.NewScheduler[int](backend.SchedulerConfig{Pool: "editing"})
	if err != nil {
		panic(err)
	}
	t := newTables(workers, routes)
	h.SetRoutes(t.Routes)
	h.SetServers(start, t.Pools[0].Servers)
	return &schedulerLoad{scheduler: h, now: start, routes: routes}
}

// push queues one task of the next route.
func (f *schedulerLoad) push() {
	f.next++
	f.scheduler.Push(f.now, backend.Task[int]{
		ID: f.next, Route: routeName(f.next % f.routes), Arrived: f.now, Deadline: f.now.Add(time.Hour),
	})
}

// startTasks starts all queued tasks that the scheduler lets start now.
func (f *schedulerLoad) startTasks() {
	for {
		s, ok := f.scheduler.Next(f.now)
		if !ok {
			return
		}
		f.running = append(f.running, s.ID)
	}
}

// step queues a task, completes the oldest running one if at least slots tasks
// are running, and starts what can start.
func (f *schedulerLoad) step(slots int) {
	f.now = f.now.Add(time.Millisecond)
	f.push()
	if len(f.running) >= slots {
		f.scheduler.Done(f.now, f.running[0], backend.Outcome{Kind: backend.Done})
		f.running = f.running[1:]
	}
	f.startTasks()
}

// fill occupies the given number of slots and queues the given number of tasks.
func (f *schedulerLoad) fill(slots, queue int) {
	for range slots + queue {
		f.push()
	}
	f.startTasks()
}

// queueDivisor is the number of slots for each queued task of a full scheduler. It
// is the inverse of peer.DefaultQueueShare.
const queueDivisor = 4

// schedulerByServers measures a scheduler by its number of backend servers.
func schedulerByServers() []slope {
	memory := slope{Name: "holding-memory-by-servers", What: "heap of a backend.Holding without tasks, 16 routes", Unit: "bytes", By: "server"}
	task := slope{Name: "holding-task-by-servers", What: "backend.Holding.Push, Done and Next of one task, all slots busy", Unit: "ns", By: "server"}
	load := slope{Name: "holding-load-by-servers", What: "backend.Holding.Load", Unit: "ns", By: "server"}
	for _, n := range workerCounts {
		memory.add(n, retainedBytes(func() *schedulerLoad { return newSchedulerLoad(n, fixedRoutes) }))
		f := newSchedulerLoad(n, fixedRoutes)
		slots := n * slotsPerServer
		f.fill(slots, slots/queueDivisor)
		task.add(n, cpuNanos(func() { f.step(slots) }))
		load.add(n, cpuNanos(func() { f.scheduler.Load() }))
	}
	return []slope{memory, task, load}
}

// schedulerByTeams measures a scheduler by its number of routes, one for each
// team, on the 85 workers of one availability zone.
func schedulerByTeams() []slope {
	memory := slope{Name: "holding-memory-by-teams", What: "heap of a backend.Holding of 85 workers without tasks, one route a team", Unit: "bytes", By: "team"}
	task := slope{Name: "holding-task-by-teams", What: "backend.Holding.Push, Done and Next of one task, all slots of 85 workers busy, one route a team", Unit: "ns", By: "team"}
	load := slope{Name: "holding-load-by-teams", What: "backend.Holding.Load", Unit: "ns", By: "team"}
	const workers = fleetWorkers / fleetZones
	for _, n := range routeCounts {
		memory.add(n, retainedBytes(func() *schedulerLoad { return newSchedulerLoad(workers, n) }))
		f := newSchedulerLoad(workers, n)
		f.fill(workers*slotsPerServer, workers*slotsPerServer/queueDivisor)
		task.add(n, cpuNanos(func() { f.step(workers * slotsPerServer) }))
		load.add(n, cpuNanos(func() { f.scheduler.Load() }))
	}
	return []slope{memory, task, load}
}
