package backend

import "time"

// A timer is a task with an instant, in time since the dispatcher's epoch. In
// a queue the instant is the task's arrival plus its queue delay; in a heap of
// timers it is the task's latest start.
type timer struct {
	at   time.Duration
	task handle
}

// timers is a heap of timers of waiting tasks, the earliest first. A task
// that stops waiting leaves a stale timer, which is dropped later.
type timers struct {
	heap []timer
}

// push adds a timer. It first drops the stale timers if they are the majority,
// given that at most maxLive timers are not stale.
func (t *timers) push(tasks *taskTable, maxLive int, added timer) {
	if len(t.heap) > 2*maxLive+minStaleEntries {
		t.sweep(tasks)
	}
	t.heap = append(t.heap, added)
	t.up(len(t.heap) - 1)
}

// pop removes the earliest timer at or before the given instant whose task is
// still waiting, and returns that task. It also drops the stale timers before
// it.
func (t *timers) pop(tasks *taskTable, instant time.Duration) (handle, bool) {
	for len(t.heap) > 0 && t.heap[0].at <= instant {
		h := t.heap[0].task
		t.removeFirst()
		if tasks.get(h, waiting) != nil {
			return h, true
		}
	}
	return handle{}, false
}

// sweep drops the stale timers.
func (t *timers) sweep(tasks *taskTable) {
	live := t.heap[:0]
	for _, e := range t.heap {
		if tasks.get(e.task, waiting) != nil {
			live = append(live, e)
		}
	}
	t.heap = live
	for i := len(live)/2 - 1; i >= 0; i-- {
		t.down(i)
	}
}

func (t *timers) removeFirst() {
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap = t.heap[:last]
	t.down(0)
}

func (t *timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if t.heap[parent].at <= t.heap[i].at {
			return
		}
		t.heap[parent], t.heap[i] = t.heap[i], t.heap[parent]
		i = parent
	}
}

func (t *timers) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(t.heap) {
			return
		}
		if child+1 < len(t.heap) && t.heap[child+1].at < t.heap[child].at {
			child++
		}
		if t.heap[i].at <= t.heap[child].at {
			return
		}
		t.heap[i], t.heap[child] = t.heap[child], t.heap[i]
		i = child
	}
}
