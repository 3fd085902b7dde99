package backend

import "time"

// noDeadline is the latest start of a task without a deadline.
const noDeadline = time.Duration(1<<63 - 1)

// A taskState is the state of a record in a taskTable.
type taskState uint8

const (
	// vacant is the state of a record without a task.
	vacant taskState = iota
	waiting
	running
	// expired is a task that was found overdue and not yet returned by
	// RemoveOverdue.
	expired
)

// A taskRecord is the state of a task in a taskTable. An instant of type
// time.Duration is the time since the epoch of the dispatcher.
type taskRecord struct {
	state taskState
	// generation distinguishes the task from earlier tasks that used the same
	// record.
	generation uint32
	route      *route
	// server is the server on which the task is running, or nil.
	server *server
	// latestStart is the instant from which on the task can no longer end by
	// its deadline.
	latestStart time.Duration
	started     time.Time
	// demand is the cores and memory that the task occupies on its server.
	demand demand
	// expectedRunTime is the route's mean run time on a typical server when
	// the task started, in seconds.
	expectedRunTime float64
}

// A handle refers to a task in a taskTable. It is stale once the task has
// been dropped.
type handle struct {
	index      int32
	generation uint32
}

// A taskTable stores the tasks of a dispatcher and reuses their records.
type taskTable struct {
	records []taskRecord
	// vacant holds the indices of the records without a task.
	vacant []int32
}

// add returns a handle of a vacant record for a new task. The caller sets the
// state of the record. The handle is valid until drop.
func (t *taskTable) add() handle {
	if n := len(t.vacant); n > 0 {
		i := t.vacant[n-1]
		t.vacant = t.vacant[:n-1]
		return handle{index: i, generation: t.records[i].generation}
	}
	t.records = append(t.records, taskRecord{})
	return handle{index: int32(len(t.records) - 1)}
}

// drop makes the record at the given index vacant. All handles of its task
// become stale.
func (t *taskTable) drop(index int32) {
	t.records[index] = taskRecord{generation: t.records[index].generation + 1}
	t.vacant = append(t.vacant, index)
}

// get returns the record of h if its task is in the given state, or nil.
func (t *taskTable) get(h handle, state taskState) *taskRecord {
	r := &t.records[h.index]
	if r.generation != h.generation || r.state != state {
		return nil
	}
	return r
}
