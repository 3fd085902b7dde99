package backend

import "time"

// noDeadline is the instant of a deadline that does not pass.
const noDeadline = time.Duration(1<<63 - 1)

// A taskState says where a task of a slab is.
type taskState uint8

const (
	vacant taskState = iota
	waiting
	running
	// expired is a task that was found overdue and not yet reported.
	expired
)

// A taskRecord is a task in a slab. Its instants count from the epoch of its
// dispatcher.
type taskRecord struct {
	state taskState
	// generation tells the record's task from earlier ones in its place.
	generation uint32
	route      *route
	server     *server
	deadline   time.Duration
	started    time.Time
	// demand is what the task takes from its server.
	demand demand
	// expectedRunTime is the run time in seconds that was expected at the start.
	expectedRunTime float64
}

// A handle names a task of a slab. It is stale once the task has left.
type handle struct {
	index      int32
	generation uint32
}

// A taskTable holds the tasks of a dispatcher in reused records.
type taskTable struct {
	records []taskRecord
	vacant  []int32
}

// add returns a handle for a new record, which is valid until drop.
func (s *taskTable) add() handle {
	if n := len(s.vacant); n > 0 {
		i := s.vacant[n-1]
		s.vacant = s.vacant[:n-1]
		return handle{index: i, generation: s.records[i].generation}
	}
	s.records = append(s.records, taskRecord{})
	return handle{index: int32(len(s.records) - 1)}
}

// drop makes every handle of the record at index stale.
func (s *taskTable) drop(index int32) {
	s.records[index] = taskRecord{generation: s.records[index].generation + 1}
	s.vacant = append(s.vacant, index)
}

// get returns the record of h if its task is in the given state, or nil.
func (s *taskTable) get(h handle, state taskState) *taskRecord {
	r := &s.records[h.index]
	if r.generation != h.generation || r.state != state {
		return nil
	}
	return r
}
