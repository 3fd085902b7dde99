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

// A route is a row of the routes table and the state of the route's tasks on
// this instance.
type route struct {
	row operator.Route
	// listed is true if the routes table still contains the row.
	listed  bool
	queue   queue
	running int
	runTime runTimeEstimate
	// demand is the cores and memory that each task of the route needs.
	demand demand
	// heapIndex is the index in dispatcher.heaps of the heap for demand.
	heapIndex int
	// reserved is the server that is reserved for the route, or nil.
	reserved *server
	// expectedRunTime is the expected run time of a task in seconds. Until a
	// task of this route has succeeded, it is the mean run time of the tasks
	// of all routes.
	expectedRunTime float64
	// deficit is the service, in slot seconds, that the route has missed
	// below its guarantee while its tasks were waiting. Service above the
	// guarantee reduces it. It is at least 0 and limited by maxDeficitTasks
	// and minDeficitLimit.
	deficit float64
	// deficitUpdated is when deficit was last updated.
	deficitUpdated time.Time
	// failedDecision is the value of dispatcher.decision when last no task of
	// the route could start.
	failedDecision uint64
}

// milli is the number of millicores in a core.
const milli = 1000

// A demand is the cores, in thousandths, and the memory, in MiB, that the
// routes table states for a task.
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

// An entitlement is the claim of a route to a further slot. Routes with a lower
// value come first.
type entitlement uint8

const (
	// guaranteed is the entitlement of a route that leaves at least one whole
	// slot of its guarantee unused, or leaves a part of a slot unused and has
	// a deficit of at least the run time of one task.
	guaranteed entitlement = iota
	// fractional is the entitlement of a route that leaves less than one slot
	// of its guarantee unused and has a smaller deficit.
	fractional
	// borrowing is the entitlement of a route that uses its whole guarantee,
	// so that a further slot is borrowed from other routes.
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

// queueDelay returns how much later than its job's arrival a task counts as
// arrived in the queue, given its position in the job. Jobs that wait at the
// same time thus advance together, and a small job finishes before a large one
// that arrived a little earlier.
func (r *route) queueDelay(index int) time.Duration {
	return seconds(queueDelayStep * r.expectedRunTime * float64(min(max(index, 0), queueDelayTasks)))
}

// precedes reports whether the next free slot should go to a rather than to b.
// Both have waiting tasks; slotsA and slotsB are their guaranteed numbers of
// slots. The criteria are, in this order: the entitlement, the urgency unless
// both are borrowing, the used fraction of the guarantee, the urgency, and the
// name.
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
