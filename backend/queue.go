package backend

import (
	"slices"
	"time"
)

// minStaleEntries is the number of stale entries that a queue, or a heap of
// timers, may have even if no task is waiting.
const minStaleEntries = 64

// A queue holds the waiting tasks of a route, ordered by the arrival of their
// job plus their queue delay. When a task stops waiting, its entry becomes
// stale and is dropped later.
type queue struct {
	// entries is sorted by instant. Some entries may be stale.
	entries []timer
	// head is the position of the first entry that may not be stale.
	head int
	// length is the number of waiting tasks.
	length int
}

// push adds a waiting task at its arrival plus its queue delay. The cost is
// constant if no other entry has a later instant.
func (q *queue) push(t *taskTable, at time.Duration, h handle) {
	q.compact(t)
	q.length++
	added := timer{at: at, task: h}
	last := len(q.entries) - 1
	if last < q.head || q.entries[last].at <= at {
		q.entries = append(q.entries, added)
		return
	}
	i, _ := slices.BinarySearchFunc(q.entries[q.head:], at, compareForInsertion)
	q.entries = slices.Insert(q.entries, q.head+i, added)
}

// compareForInsertion returns 1 if the instant of e is after at, and -1
// otherwise. An entry with the same instant thus compares as earlier, so that
// the new entry is inserted after it.
func compareForInsertion(e timer, at time.Duration) int {
	if e.at > at {
		return 1
	}
	return -1
}

// first returns the first waiting task, or false if there is none.
func (q *queue) first(t *taskTable) (handle, bool) {
	for q.head < len(q.entries) {
		if t.get(q.entries[q.head].task, waiting) != nil {
			return q.entries[q.head].task, true
		}
		q.head++
	}
	return handle{}, false
}

// nth returns a waiting task with approximately n waiting tasks before it, or
// false if no task is waiting. The number is not exact, because the stale
// entries are assumed to be spread evenly.
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
