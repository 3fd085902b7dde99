package entry_test

import (
	"container/heap"
	"time"
)

// run advances the clock by d and makes the calls that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(*scheduledCall)
		sim.now = e.at
		e.f()
	}
	sim.now = end
}

// after schedules a call of f at the time d from now.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.order++
	heap.Push(&sim.queue, &scheduledCall{at: sim.now.Add(d), order: sim.order, f: f})
}

// A scheduledCall is a call of a function at a given time.
type scheduledCall struct {
	at time.Time
	// order grows with each call that is scheduled. Calls for the same time
	// are made in this order.
	order int
	f     func()
}

// A callQueue is a heap of scheduled calls for package container/heap.
type callQueue []*scheduledCall

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(a, b int) bool {
	if q[a].at.Equal(q[b].at) {
		return q[a].order < q[b].order
	}
	return q[a].at.Before(q[b].at)
}

func (q callQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(*scheduledCall)) }

func (q *callQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
