package backend

import (
	"math"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

const (
	// owedTasks is the number of mean run times of a slot that a route can
	// be owed at most.
	owedTasks = 4
	// owedLeast bounds what a route can be owed at most from below, in slot
	// seconds.
	owedLeast = 1.0
	// lagStep is the part of the expected run time by which each task of a
	// job queues behind the one before, and lagTasks the number of tasks
	// after which the lag no longer grows.
	lagStep  = 1.0 / 6
	lagTasks = 80
)

// A route is a row of the routes table with its tasks at this holder.
type route struct {
	row operator.Route
	// listed says that the row stands in the tables.
	listed  bool
	queue   queue
	running int
	work    work
	// demand is what a task of the route takes from a server.
	demand demand
	// class is the position of demand in the dispatcher's shelves.
	class int
	// reserved is the server that is set aside for the route, or nil.
	reserved *server
	// typical is the expected run time of a task in seconds: the mean of all
	// routes until one of this route's tasks has ended.
	typical float64
	// owed is the service in slot seconds that the route had less than its
	// guarantee while tasks waited.
	owed float64
	// owedAt is when owed was last brought up to date.
	owedAt time.Time
	// tried is the number of the last decision that found no server.
	tried uint64
}

// milli is the number of thousandths in a whole.
const milli = 1000

// demand is what a task declares.
type demand struct {
	milliCores int64
	memoryMiB  int64
}

func demandOf(row operator.Route) demand {
	return demand{
		milliCores: int64(math.Ceil(row.Cores * milli)),
		memoryMiB:  int64(row.MemoryMiB),
	}
}

// An entitlement orders routes: a lower one goes first.
type entitlement uint8

const (
	// guaranteed is a route with a whole guaranteed slot unused, or that is
	// owed a task's run time.
	guaranteed entitlement = iota
	// fractional is a route with a part of a guaranteed slot unused.
	fractional
	// lent is a route that has its guarantee.
	lent
)

// entitlement returns the claim of r to a next slot when it is guaranteed the
// given number of slots.
func (r *route) entitlement(guarantee float64) entitlement {
	have := float64(r.running)
	switch {
	case have+1 <= guarantee:
		return guaranteed
	case have >= guarantee:
		return lent
	case r.owed > 0 && r.owed >= r.typical:
		return guaranteed
	default:
		return fractional
	}
}

// account brings owed up to now. The mean run time of all routes' tasks is
// given in seconds.
func (r *route) account(now time.Time, guarantee, mean float64) {
	r.typical = mean
	if r.work.known() {
		r.typical = r.work.mean
	}
	elapsed := now.Sub(r.owedAt).Seconds()
	r.owedAt = now
	if elapsed <= 0 {
		return
	}
	short := guarantee - float64(r.running)
	if r.queue.length == 0 && short > 0 {
		return
	}
	limit := max(owedTasks*r.typical, owedLeast)
	r.owed = min(max(r.owed+short*elapsed, 0), limit)
}

// lag returns the time by which a task queues behind its job's arrival, by its
// position in the job. Jobs that wait together thus advance together, and a
// small one is done before a large one that came a little earlier.
func (r *route) lag(index int) time.Duration {
	return seconds(lagStep * r.typical * float64(min(max(index, 0), lagTasks)))
}

// before reports whether a goes before b, which both have tasks waiting and
// are guaranteed the given numbers of slots.
func before(a, b *route, slotsA, slotsB float64) bool {
	claimA, claimB := a.entitlement(slotsA), b.entitlement(slotsB)
	if claimA != claimB {
		return claimA < claimB
	}
	if claimA != lent && a.row.Urgency != b.row.Urgency {
		return a.row.Urgency > b.row.Urgency
	}
	useA, useB := float64(a.running)*slotsB, float64(b.running)*slotsA
	if useA != useB {
		return useA < useB
	}
	if a.row.Urgency != b.row.Urgency {
		return a.row.Urgency > b.row.Urgency
	}
	return a.row.Name < b.row.Name
}
