package backend

import (
	"math"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

const (
	// maxDeficitTasks is the number of mean run times of a slot that a route can
	// be owed at most.
	maxDeficitTasks = 4
	// minDeficitLimit bounds what a route can be owed at most from below, in slot
	// seconds.
	minDeficitLimit = 1.0
	// queueDelayStep is the part of the expected run time by which each task of a
	// job queues behind the one before, and lagTasks the number of tasks
	// after which the lag no longer grows.
	queueDelayStep  = 1.0 / 6
	queueDelayTasks = 80
)

// A route is a row of the routes table with its tasks at this holder.
type route struct {
	row operator.Route
	// listed says that the row stands in the tables.
	listed  bool
	queue   queue
	running int
	runTime    runTimeEstimate
	// demand is what a task of the route takes from a server.
	demand demand
	// heapIndex is the position of demand in the dispatcher's shelves.
	heapIndex int
	// reserved is the server that is set aside for the route, or nil.
	reserved *server
	// expectedRunTime is the expected run time of a task in seconds: the mean of all
	// routes until one of this route's tasks has ended.
	expectedRunTime float64
	// deficit is the service in slot seconds that the route had less than its
	// guarantee while tasks waited.
	deficit float64
	// deficitUpdated is when owed was last brought up to date.
	deficitUpdated time.Time
	// failedDecision is the number of the last decision that found no server.
	failedDecision uint64
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
	// borrowing is a route that has its guarantee.
	borrowing
)

// entitlement returns the claim of r to a next slot when it is guaranteed the
// given number of slots.
func (r *route) entitlement(guarantee float64) entitlement {
	have := float64(r.running)
	switch {
	case have+1 <= guarantee:
		return guaranteed
	case have >= guarantee:
		return borrowing
	case r.deficit > 0 && r.deficit >= r.expectedRunTime:
		return guaranteed
	default:
		return fractional
	}
}

// accrueDeficit brings owed up to now. The mean run time of all routes' tasks is
// given in seconds.
func (r *route) accrueDeficit(now time.Time, guarantee, mean float64) {
	r.expectedRunTime = mean
	if r.runTime.known() {
		r.expectedRunTime = r.runTime.mean
	}
	elapsed := now.Sub(r.deficitUpdated).Seconds()
	r.deficitUpdated = now
	if elapsed <= 0 {
		return
	}
	short := guarantee - float64(r.running)
	if r.queue.length == 0 && short > 0 {
		return
	}
	limit := max(maxDeficitTasks*r.expectedRunTime, minDeficitLimit)
	r.deficit = min(max(r.deficit+short*elapsed, 0), limit)
}

// queueDelay returns the time by which a task queues behind its job's arrival, by its
// position in the job. Jobs that wait together thus advance together, and a
// small one is done before a large one that came a little earlier.
func (r *route) queueDelay(index int) time.Duration {
	return seconds(queueDelayStep * r.expectedRunTime * float64(min(max(index, 0), queueDelayTasks)))
}

// precedes reports whether a goes precedes b, which both have tasks waiting and
// are guaranteed the given numbers of slots.
func precedes(a, b *route, slotsA, slotsB float64) bool {
	claimA, claimB := a.entitlement(slotsA), b.entitlement(slotsB)
	if claimA != claimB {
		return claimA < claimB
	}
	if claimA != borrowing && a.row.Urgency != b.row.Urgency {
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
