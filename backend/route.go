package backend

import (
	"math"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

const (
	// maxDeficitTasks limits the deficit of a route, as a multiple of the
	// expected run time of a task.
	maxDeficitTasks = 4
	// minDeficitLimit is the smallest limit of a deficit, in slot seconds.
	minDeficitLimit = 1.0
	// queueDelayStep is the fraction of the expected run time by which each
	// task of a job queues behind the previous one, and queueDelayTasks is
	// the number of tasks after which the delay stops growing.
	queueDelayStep  = 1.0 / 6
	queueDelayTasks = 80
)

// A route is a row of the routes table and the state of its tasks on this
// instance.
type route struct {
	row operator.Route
	// listed reports whether the row is in the tables.
	listed  bool
	queue   queue
	running int
	runTime runTimeEstimate
	// demand is the cores and memory that a task of the route needs.
	demand demand
	// heapIndex is the index of the heap for demand in the dispatcher.
	heapIndex int
	// reserved is the server that is reserved for the route, or nil.
	reserved *server
	// expectedRunTime is the expected run time of a task in seconds: the mean
	// of all routes until a task of this route has succeeded.
	expectedRunTime float64
	// deficit is the service in slot seconds by which the route fell short of
	// its guarantee while tasks were waiting.
	deficit float64
	// deficitUpdated is when deficit was last updated.
	deficitUpdated time.Time
	// failedDecision is the number of the last decision in which no task of
	// the route could start.
	failedDecision uint64
}

// milli is the number of thousandths in a whole.
const milli = 1000

// A demand is the cores, in thousandths, and the memory that a task declares.
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

// An entitlement ranks routes: a lower value comes first.
type entitlement uint8

const (
	// guaranteed is a route with at least one whole guaranteed slot unused,
	// or with a part of one unused and a deficit of at least one task.
	guaranteed entitlement = iota
	// fractional is a route with a part of a guaranteed slot unused.
	fractional
	// borrowing is a route that uses its whole guarantee, so that a further
	// slot is borrowed from other routes.
	borrowing
)

// entitlement returns the entitlement of r to a further slot, given its
// guaranteed number of slots.
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

// accrueDeficit updates the deficit to now, given the guaranteed number of
// slots and the mean run time of the tasks of all routes in seconds.
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
	shortfall := guarantee - float64(r.running)
	if r.queue.length == 0 && shortfall > 0 {
		return
	}
	limit := max(maxDeficitTasks*r.expectedRunTime, minDeficitLimit)
	r.deficit = min(max(r.deficit+shortfall*elapsed, 0), limit)
}

// queueDelay returns the time by which a task queues behind the arrival of
// its job, given its position in the job. Jobs that wait at the same time
// thus advance together, and a small job finishes before a large one that
// arrived a little earlier.
func (r *route) queueDelay(index int) time.Duration {
	return seconds(queueDelayStep * r.expectedRunTime * float64(min(max(index, 0), queueDelayTasks)))
}

// precedes reports whether a comes before b. Both have waiting tasks; slotsA
// and slotsB are their guaranteed numbers of slots.
func precedes(a, b *route, slotsA, slotsB float64) bool {
	entitlementA, entitlementB := a.entitlement(slotsA), b.entitlement(slotsB)
	if entitlementA != entitlementB {
		return entitlementA < entitlementB
	}
	if entitlementA != borrowing && a.row.Urgency != b.row.Urgency {
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
