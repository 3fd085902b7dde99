package backend

import (
	"net/netip"
	"time"
)

// A Task is a unit of work that waits for a backend server.
type Task[ID comparable] struct {
	// ID identifies the task within the Scheduler.
	ID ID
	// Route is the name of the task's route.
	Route string
	// Arrived is when the task's job arrived. Zero means the time of the
	// Push. The tasks of a route start in the order of Arrived plus
	// Scheduler.QueueDelay, which grows with Index, so that a large job does
	// not delay small ones.
	Arrived time.Time
	// Index is the position of the task in its job, from 0.
	Index int
	// Deadline is when the timeout of the job expires. Zero means that there
	// is none.
	Deadline time.Time
}

// A Start is the decision of Scheduler.Next to start a task on a backend
// server.
type Start[ID comparable] struct {
	// ID is the Task.ID of the task.
	ID ID
	// Route is the name of the task's route.
	Route string
	// Server is the backend server that runs the task.
	Server netip.AddrPort
}

// An OutcomeKind states whether an attempt to run a task on a backend server
// succeeded, failed, did not start, or was lost.
type OutcomeKind uint8

// The kinds of Outcome.
const (
	// Lost means that it is unknown whether the task ran and with which
	// outcome.
	Lost OutcomeKind = iota
	// Done means that the task ran and succeeded.
	Done
	// Failed means that the task ran and failed.
	Failed
	// NotStarted means that the task certainly did not run in this attempt,
	// and that the backend server will not run it.
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

// An Outcome is the outcome of one attempt of a task on a backend server.
type Outcome struct {
	// Kind states whether the attempt succeeded, failed, did not start, or was
	// lost.
	Kind OutcomeKind
	// Body is the task's result. It is nil unless Kind is Done.
	Body []byte
	// Reported is true if the response contained the server's number of
	// running tasks. Otherwise Running and Waiting are 0.
	Reported bool
	// Running is the number of tasks that the server reports as running on
	// it, including those of other instances.
	Running int
	// Waiting is the number of tasks that the server reports as waiting on
	// it, or 0 if it reports only Running.
	Waiting int
	// Leaving is true if the server reports that it is about to shut down.
	Leaving bool
	// Err is the reason why Kind is not Done. It is nil if Kind is Done.
	Err error
}
