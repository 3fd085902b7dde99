package backend

import (
	"math"
	"time"
)

// Load is what the backend servers of a Scheduler can take.
type Load struct {
	// Slots is the number of usable slots.
	Slots int
	// Free is the number of idle ones among them.
	Free int
	// Idle groups the idle slots by the speed of their servers, fastest
	// first.
	Idle []IdleSlots
	// Routes holds the pool's routes, sorted by name.
	Routes []RouteLoad
}

// IdleSlots is a number of idle slots on servers of about one speed.
type IdleSlots struct {
	// Free is the number of slots.
	Free int
	// Slowness is the expected run time of a task there, relative to that on
	// a typical server of the Scheduler.
	Slowness float64
}

// A RouteLoad is what a Scheduler knows of one route.
type RouteLoad struct {
	// Route names the route.
	Route string
	// Queued is the number of waiting tasks.
	Queued int
	// TypicalRunTime is the learned run time of a task on a typical server of the
	// Scheduler, as a geometric mean, or 0 if too few have been seen.
	TypicalRunTime time.Duration
}

// Load returns what the servers can take.
func (h *Scheduler[ID]) Load() Load {
	l := Load{Slots: h.d.usable, Free: h.d.free, Idle: h.d.idle()}
	l.Routes = make([]RouteLoad, 0, len(h.d.sortedRoutes))
	for _, r := range h.d.sortedRoutes {
		at := RouteLoad{Route: r.row.Name, Queued: r.queue.length}
		if r.runTime.samples >= confidentSamples {
			at.TypicalRunTime = seconds(math.Exp(r.runTime.log))
		}
		l.Routes = append(l.Routes, at)
	}
	return l
}

// idle returns the idle slots by speed.
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
