package main

import (
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
)

// A fleetHolding holds workers and starts tasks of its routes in turn.
type fleetHolding struct {
	h      *backend.Scheduler[int]
	now    time.Time
	routes int
	next   int
	// running holds the tasks that run, oldest first.
	running []int
}

func newFleetHolding(workers, routes int) *fleetHolding {
	h, err := backend.NewScheduler[int](backend.SchedulerConfig{Pool: "editing"})
	if err != nil {
		panic(err)
	}
	t := newTables(workers, routes)
	h.SetRoutes(t.Routes)
	h.SetServers(start, t.Pools[0].Servers)
	return &fleetHolding{h: h, now: start, routes: routes}
}

// push adds one task of the next route.
func (f *fleetHolding) push() {
	f.next++
	f.h.Push(f.now, backend.Task[int]{
		ID: f.next, Route: routeName(f.next % f.routes), Arrived: f.now, Deadline: f.now.Add(time.Hour),
	})
}

// starts starts what can be started.
func (f *fleetHolding) starts() {
	for {
		s, ok := f.h.Next(f.now)
		if !ok {
			return
		}
		f.running = append(f.running, s.ID)
	}
}

// step adds a task, and ends the oldest one if the slots are full.
func (f *fleetHolding) step(slots int) {
	f.now = f.now.Add(time.Millisecond)
	f.push()
	if len(f.running) >= slots {
		f.h.Done(f.now, f.running[0], backend.Outcome{Kind: backend.Done})
		f.running = f.running[1:]
	}
	f.starts()
}

// fill brings the holding to its slots and a queue of the given length.
func (f *fleetHolding) fill(slots, queue int) {
	for range slots + queue {
		f.push()
	}
	f.starts()
}

// queueOf is the queue of a full holding, as a share of its slots: that of
// peer.DefaultQueueShare.
const queueOf = 4

func holdingByServers() []slope {
	memory := slope{Name: "holding-memory-by-servers", What: "heap of a backend.Holding without tasks, 16 routes", Unit: "bytes", By: "server"}
	task := slope{Name: "holding-task-by-servers", What: "backend.Holding.Push, Done and Next of one task, all slots busy", Unit: "ns", By: "server"}
	load := slope{Name: "holding-load-by-servers", What: "backend.Holding.Load", Unit: "ns", By: "server"}
	for _, n := range workerSizes {
		memory.add(n, heapOf(func() *fleetHolding { return newFleetHolding(n, tablesRoutes) }))
		f := newFleetHolding(n, tablesRoutes)
		slots := n * fleetSlots
		f.fill(slots, slots/queueOf)
		task.add(n, nanosOf(func() { f.step(slots) }))
		load.add(n, nanosOf(func() { f.h.Load() }))
	}
	return []slope{memory, task, load}
}

// holdingByTeams takes a route for a team, on the 85 workers of one zone.
func holdingByTeams() []slope {
	memory := slope{Name: "holding-memory-by-teams", What: "heap of a backend.Holding of 85 workers without tasks, one route a team", Unit: "bytes", By: "team"}
	task := slope{Name: "holding-task-by-teams", What: "backend.Holding.Push, Done and Next of one task, all slots of 85 workers busy, one route a team", Unit: "ns", By: "team"}
	load := slope{Name: "holding-load-by-teams", What: "backend.Holding.Load", Unit: "ns", By: "team"}
	const workers = fleetWorkers / fleetZones
	for _, n := range routeSizes {
		memory.add(n, heapOf(func() *fleetHolding { return newFleetHolding(workers, n) }))
		f := newFleetHolding(workers, n)
		f.fill(workers*fleetSlots, workers*fleetSlots/queueOf)
		task.add(n, nanosOf(func() { f.step(workers * fleetSlots) }))
		load.add(n, nanosOf(func() { f.h.Load() }))
	}
	return []slope{memory, task, load}
}
