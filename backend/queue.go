package backend

import (
	"slices"
	"time"
)

// minStaleEntries is the number of stale entries that are always tolerated.
const minStaleEntries = 64

// A queue holds the waiting tasks of a route, ordered by the arrival of their
// job plus their queue delay. A task that stops waiting leaves a stale entry,
// which is dropped later.
type queue struct {
	entries []timer
	// head is the position of the first entry that may be waiting.
	head int
	// length is the number of waiting tasks.
	length int
}

// push adds a waiting task. Its cost is constant when tasks are added in
// order.
func (q *queue) push(t *taskTable, arrived time.Duration, h handle) {
	q.compact(t)
	q.length++
	added := timer{at: arrived, task: h}
	last := len(q.entries) - 1
	if last < q.head || q.entries[last].at <= arrived {
		q.entries = append(q.entries, added)
		return
	}
	i, _ := slices.BinarySearchFunc(q.entries[q.head:], arrived, afterOrAt)
	q.entries = slices.Insert(q.entries, q.head+i, added)
}

// afterOrAt compares an entry with an arrival. An entry with the same arrival
// compares as earlier, so that a new entry is inserted after it.
func afterOrAt(e timer, arrived time.Duration) int {
	if e.at > arrived {
		return 1
	}
	return -1
}

// first returns the first waiting task.
func (q *queue) first(t *taskTable) (handle, bool) {
	for q.head < len(q.entries) {
		if t.get(q.entries[q.head].task, waiting) != nil {
			return q.entries[q.head].task, true
		}
		q.head++
	}
	return handle{}, false
}

// nth returns a waiting task with approximately n others in front of it.
func (q *queue) nth(t *taskTable, n int) (handle, bool) {
	if _, ok := q.first(t); !ok || q.length == 0 {
		return handle{}, false
	}
	i := q.head + n*(len(q.entries)-q.head)/q.length
	for j := i; j < len(q.entries); j++ {
		if t.get(q.entries[j].task, waiting) != nil {
			return q.entries[j].task, true
		}
	}
	for j := min(i, len(q.entries)) - 1; j >= q.head; j-- {
		if t.get(q.entries[j].task, waiting) != nil {
			return q.entries[j].task, true
		}
	}
	return handle{}, false
}

// compact drops the stale entries when they are the majority.
func (q *queue) compact(t *taskTable) {
	if len(q.entries) > 2*q.length+minStaleEntries {
		q.sweep(t)
	}
}

// sweep drops the stale entries.
func (q *queue) sweep(t *taskTable) {
	live := q.entries[:0]
	for _, e := range q.entries[q.head:] {
		if t.get(e.task, waiting) != nil {
			live = append(live, e)
		}
	}
	q.entries = live
	q.head = 0
}
