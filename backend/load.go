package backend

import (
	"math"
	"time"
)

// Load is the usable and the idle slots of a Scheduler's backend servers, and
// the queue lengths of its routes.
type Load struct {
	// Slots is the number of slots that this instance may use, whether idle
	// or occupied by its tasks.
	Slots int
	// Free is the number of usable slots that are idle.
	Free int
	// Idle groups the idle slots by the speed of their servers, fastest
	// first.
	Idle []IdleSlots
	// Routes holds the pool's routes, sorted by name.
	Routes []RouteLoad
}

// IdleSlots is a number of idle slots on servers of about the same speed.
type IdleSlots struct {
	// Free is the number of slots.
	Free int
	// Slowness is the expected run time of a task on these servers, relative
	// to that on a typical server of the Scheduler.
	Slowness float64
}

// A RouteLoad is the queue length and the typical run time of one route.
type RouteLoad struct {
	// Route is the name of the route.
	Route string
	// Queued is the number of waiting tasks.
	Queued int
	// TypicalRunTime is the geometric mean of the run times of the route's
	// tasks on a typical server of the Scheduler, or 0 if fewer than three
	// run times have been measured.
	TypicalRunTime time.Duration
}

// Load returns the usable and the idle slots and the queue lengths of all
// routes.
func (sched *Scheduler[ID]) Load() Load {
	l := Load{Slots: sched.d.usable, Free: sched.d.free, Idle: sched.d.idle()}
	l.Routes = make([]RouteLoad, 0, len(sched.d.sortedRoutes))
	for _, r := range sched.d.sortedRoutes {
		load := RouteLoad{Route: r.row.Name, Queued: r.queue.length}
		if r.runTime.samples >= confidentSamples {
			load.TypicalRunTime = seconds(math.Exp(r.runTime.log))
		}
		l.Routes = append(l.Routes, load)
	}
	return l
}

// idle returns the idle slots grouped by speed level.
func (d *dispatcher) idle() []IdleSlots {
	var free [speedLevels]int
	groups := 0
	for _, s := range d.held {
		if free[s.level] == 0 && s.free > 0 {
			groups++
		}
		free[s.level] += s.free
	}
	idle := make([]IdleSlots, 0, groups)
	for level, n := range free {
		if n > 0 {
			idle = append(idle, IdleSlots{Free: n, Slowness: levelFactors[level]})
		}
	}
	return idle
}

// Waiting returns the number of waiting tasks of all routes.
func (l Load) Waiting() int {
	total := 0
	for _, r := range l.Routes {
		total += r.Queued
	}
	return total
}
