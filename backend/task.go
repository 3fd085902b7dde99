package backend

import (
	"net/netip"
	"time"
)

// A Task is a unit of work that waits for a backend server.
type Task[ID comparable] struct {
	// ID identifies the task at this holder.
	ID ID
	// Route names the row of the routes table that the task belongs to.
	Route string
	// Arrived is when the task's job arrived. Zero means the time of the
	// Push. The tasks of a route start in this order, each a little later for
	// its Index, so that a large job does not hold up small ones.
	Arrived time.Time
	// Index is the position of the task in its job, from 0.
	Index int
	// Deadline is when the job's timeout passes. Zero means never.
	Deadline time.Time
}

// A Start is the decision that a task starts on a backend server now.
type Start[ID comparable] struct {
	// ID identifies the task.
	ID ID
	// Route names the task's route.
	Route string
	// Server is where the task starts.
	Server netip.AddrPort
}

// An OutcomeKind says what became of a task that was started on a backend
// server.
type OutcomeKind uint8

// The kinds of Outcome.
const (
	// Lost means that the task may have run, and nobody knows what came of it.
	Lost OutcomeKind = iota
	// Done means that the task ran and succeeded.
	Done
	// Failed means that the task ran and failed.
	Failed
	// NotStarted proves that the task did not run at this attempt, and that
	// the backend server will not run it.
	NotStarted
)

// String returns the name of k.
func (k OutcomeKind) String() string {
	switch k {
	case Done:
		return "done"
	case Failed:
		return "failed"
	case NotStarted:
		return "not-started"
	default:
		return "lost"
	}
}

// An Outcome is what became of one task at a backend server.
type Outcome struct {
	// Kind says what became of the task.
	Kind OutcomeKind
	// Body is the task's result. It is nil unless Kind is Done.
	Body []byte
	// Reported says that the server reported Running and Waiting.
	Reported bool
	// Running is the number of tasks that the server says it runs.
	Running int
	// Waiting is the number of tasks that the server says wait there.
	Waiting int
	// Leaving says that the server is about to end.
	Leaving bool
	// Err says why Kind is not Done. It is nil when Kind is Done.
	Err error
}
