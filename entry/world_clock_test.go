package entry_test

import (
	"container/heap"
	"time"
)

// run lets d pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(*worldEvent)
		w.now = e.at
		e.f()
	}
	w.now = end
}

func (w *world) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, &worldEvent{at: w.now.Add(d), order: w.order, f: f})
}

type worldEvent struct {
	at    time.Time
	order int
	f     func()
}

type worldQueue []*worldEvent

func (q worldQueue) Len() int { return len(q) }

func (q worldQueue) Less(a, b int) bool {
	if q[a].at.Equal(q[b].at) {
		return q[a].order < q[b].order
	}
	return q[a].at.Before(q[b].at)
}

func (q worldQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *worldQueue) Push(x any)   { *q = append(*q, x.(*worldEvent)) }

func (q *worldQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
