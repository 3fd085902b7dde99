package main

import (
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
)

// A schedulerLoad gives tasks to the scheduler of one pool, from all routes of the pool in
// turn, and completes them. Its clock is simulated.
type schedulerLoad struct {
	scheduler *backend.Scheduler[int]
	now       time.Time
	routes    int
	// lastID is the ID of the last queued task. It also selects the task's route.
	lastID int
	// running holds the IDs of the running tasks, oldest first.
	running []int
}

func newSchedulerLoad(workers, routes int) *schedulerLoad {
	scheduler, err := backend.NewScheduler[int](backend.SchedulerConfig{Pool: "editing"})
	if err != nil {
		panic(err)
	}
	t := newTables(workers, routes)
	scheduler.SetRoutes(t.Routes)
	scheduler.SetServers(start, t.Pools[0].Servers)
	return &schedulerLoad{scheduler: scheduler, now: start, routes: routes}
}

// push queues one task of the next route.
func (l *schedulerLoad) push() {
	l.lastID++
	l.scheduler.Push(l.now, backend.Task[int]{
		ID: l.lastID, Route: routeName(l.lastID % l.routes), Arrived: l.now, Deadline: l.now.Add(time.Hour),
	})
}

// startTasks starts all queued tasks that the scheduler lets start now.
func (l *schedulerLoad) startTasks() {
	for {
		s, ok := l.scheduler.Next(l.now)
		if !ok {
			return
		}
		l.running = append(l.running, s.ID)
	}
}

// step queues a task, completes the oldest running task if at least slots tasks are
// running, and starts all tasks that the scheduler lets start.
func (l *schedulerLoad) step(slots int) {
	l.now = l.now.Add(time.Millisecond)
	l.push()
	if len(l.running) >= slots {
		l.scheduler.Done(l.now, l.running[0], backend.Outcome{Kind: backend.Done})
		l.running = l.running[1:]
	}
	l.startTasks()
}

// fill queues slots+queue tasks and starts those that the scheduler lets start. In a
// scheduler with the given number of slots, queue tasks stay queued.
func (l *schedulerLoad) fill(slots, queue int) {
	for range slots + queue {
		l.push()
	}
	l.startTasks()
}

// queueDivisor is the ratio of slots to queued tasks in a full scheduler. It is the
// inverse of peer.DefaultQueueShare.
const queueDivisor = 4

// schedulerByServers measures the memory and the methods of a scheduler by its number of
// backend servers.
func schedulerByServers() []slope {
	memory := slope{Name: "holding-memory-by-servers", What: "heap of a backend.Holding without tasks, 16 routes", Unit: "bytes", By: "server"}
	task := slope{Name: "holding-task-by-servers", What: "backend.Holding.Push, Done and Next of one task, all slots busy", Unit: "ns", By: "server"}
	load := slope{Name: "holding-load-by-servers", What: "backend.Holding.Load", Unit: "ns", By: "server"}
	for _, n := range workerCounts {
		memory.add(n, retainedBytes(func() *schedulerLoad { return newSchedulerLoad(n, fixedRoutes) }))
		l := newSchedulerLoad(n, fixedRoutes)
		slots := n * slotsPerServer
		l.fill(slots, slots/queueDivisor)
		task.add(n, cpuNanos(func() { l.step(slots) }))
		load.add(n, cpuNanos(func() { l.scheduler.Load() }))
	}
	return []slope{memory, task, load}
}

// schedulerByTeams measures the memory and the methods of a scheduler of the 85 workers
// of one availability zone, by its number of routes. Each team has one route.
func schedulerByTeams() []slope {
	memory := slope{Name: "holding-memory-by-teams", What: "heap of a backend.Holding of 85 workers without tasks, one route a team", Unit: "bytes", By: "team"}
	task := slope{Name: "holding-task-by-teams", What: "backend.Holding.Push, Done and Next of one task, all slots of 85 workers busy, one route a team", Unit: "ns", By: "team"}
	load := slope{Name: "holding-load-by-teams", What: "backend.Holding.Load", Unit: "ns", By: "team"}
	const workers = fleetWorkers / fleetZones
	for _, n := range routeCounts {
		memory.add(n, retainedBytes(func() *schedulerLoad { return newSchedulerLoad(workers, n) }))
		l := newSchedulerLoad(workers, n)
		l.fill(workers*slotsPerServer, workers*slotsPerServer/queueDivisor)
		task.add(n, cpuNanos(func() { l.step(workers * slotsPerServer) }))
		load.add(n, cpuNanos(func() { l.scheduler.Load() }))
	}
	return []slope{memory, task, load}
}
