package caller

import "time"

// Limits of a job.
const (
	// MaxTasks is the maximum number of tasks in one job.
	MaxTasks = 1300
	// MaxBodyBytes is the maximum size of a submitted job's HTTP body in bytes.
	MaxBodyBytes = 16 << 20
)

// A Job is the set of tasks that a caller submits together and that get one
// Answer.
type Job struct {
	// Key identifies the submission. A job with the zero Key is new: the
	// entry instance that receives it issues a key for it.
	Key Key
	// Route is the name of the job's row in the routes table.
	Route string
	// Timeout is the time for which the caller waits for the answer, counted
	// from the job's arrival at an entry instance. Zero means the route's
	// own timeout.
	Timeout time.Duration
	// Tasks holds the payload of each task, in the order of Answer.Results.
	Tasks [][]byte
}

// A Status is the outcome of a submission.
type Status string

// The statuses of an Answer.
const (
	// Complete means that every task ran and succeeded; Results holds all of
	// their results.
	Complete Status = "complete"
	// Failed means that the job ended without the results of all tasks; some
	// of its tasks may have run.
	Failed Status = "failed"
	// NotRun means that no task of the submission has run, and that none
	// will ever run under this key.
	NotRun Status = "not-run"
	// Unknown means that the answering instance does not know whether tasks
	// of the submission have run.
	Unknown Status = "unknown"
)

// A Reason is the cause of a Status other than Complete.
type Reason string

// The reasons of an Answer that is not complete.
const (
	// ReasonOverload means that the job was refused because of load: its
	// answer would have come too late, or a limit was reached.
	ReasonOverload Reason = "overload"
	// ReasonUnknownRoute means that no route of the tables has the job's
	// route name.
	ReasonUnknownRoute Reason = "unknown-route"
	// ReasonImpossible means that no backend server could ever run the job.
	ReasonImpossible Reason = "impossible"
	// ReasonDrained means that the operators have drained the availability zones
	// of all backend servers that could run the job.
	ReasonDrained Reason = "drained"
	// ReasonTimeout means that the job's timeout passed.
	ReasonTimeout Reason = "timeout"
	// ReasonCancelled means that the caller cancelled the job.
	ReasonCancelled Reason = "cancelled"
	// ReasonTaskFailed means that a task ran and failed.
	ReasonTaskFailed Reason = "task-failed"
	// ReasonOutcomeLost means that a task may have started but its outcome is
	// lost.
	ReasonOutcomeLost Reason = "outcome-lost"
	// ReasonOwnerUnreachable means that the key's owner cannot be reached.
	ReasonOwnerUnreachable Reason = "owner-unreachable"
	// ReasonOwnerGone means that the process that issued the key has ended.
	ReasonOwnerGone Reason = "owner-gone"
	// ReasonKeyExpired means that the key is too old for its first use, or
	// that the answer to its job is no longer kept.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonMalformedKey means that the owner named in the key did not issue
	// it.
	ReasonMalformedKey Reason = "malformed-key"
	// ReasonKeyReused means that the key was used before with another route
	// or other tasks.
	ReasonKeyReused Reason = "key-reused"
	// ReasonNoConfiguration means that the instance has no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonLeaving means that the instance is shutting down.
	ReasonLeaving Reason = "leaving"
)

// An Answer is the reply to a submission.
type Answer struct {
	// Key is the submission's key. It prevents a late answer from being taken
	// for the answer to another submission.
	Key Key
	// Status is the outcome of the submission.
	Status Status
	// Reason is the cause of a Status other than Complete.
	Reason Reason
	// Message is a human-readable explanation of Reason.
	Message string
	// RetryAfter is the suggested time to wait before a new submission. Zero
	// means no suggestion.
	RetryAfter time.Duration
	// Results holds the result of each task, in the order of Job.Tasks. It
	// is nil unless Status is Complete.
	Results [][]byte
}
