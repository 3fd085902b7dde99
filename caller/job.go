package caller

import "time"

// Limits of a job.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 1300
	// MaxBodyBytes is the largest size of a submitted job's HTTP body in bytes.
	MaxBodyBytes = 16 << 20
)

// A Job is a submission: the tasks of one request, answered as a whole.
type Job struct {
	// Key identifies the submission. A job with the zero Key is new, and
	// the entry instance that receives it gives it a key.
	Key Key
	// Route names the row of the routes table that the job belongs to.
	Route string
	// Timeout is the time after which the caller no longer wants the
	// answer, counted from its arrival at an entry instance. Zero means the
	// route's own timeout.
	Timeout time.Duration
	// Tasks holds one payload a task, in the order of the answer.
	Tasks [][]byte
}

// A Status says how a submission ended.
type Status string

// The statuses of an Answer.
const (
	// Complete means that every task ran and succeeded; Results is whole.
	Complete Status = "complete"
	// Failed means that the job ended without a whole answer; some of its
	// tasks may have run.
	Failed Status = "failed"
	// NotRun means that no task of the submission has run, and that none
	// will ever run under this key.
	NotRun Status = "not-run"
	// Unknown means that the instance that answers cannot say whether tasks
	// of the submission have run.
	Unknown Status = "unknown"
)

// A Reason says why a submission has no whole answer.
type Reason string

// The reasons of an Answer that is not complete.
const (
	// ReasonOverload means that the answer would have come too late.
	ReasonOverload Reason = "overload"
	// ReasonUnknownRoute means that the tables hold no such route.
	ReasonUnknownRoute Reason = "unknown-route"
	// ReasonImpossible means that no backend server could ever run the job.
	ReasonImpossible Reason = "impossible"
	// ReasonTimeout means that the job's timeout passed.
	ReasonTimeout Reason = "timeout"
	// ReasonCancelled means that the caller cancelled the job.
	ReasonCancelled Reason = "cancelled"
	// ReasonTaskFailed means that a task ran and failed.
	ReasonTaskFailed Reason = "task-failed"
	// ReasonOutcomeLost means that a task may have started and its outcome is lost.
	ReasonOutcomeLost Reason = "outcome-lost"
	// ReasonOwnerUnreachable means that the key's owner cannot be reached.
	ReasonOwnerUnreachable Reason = "owner-unreachable"
	// ReasonOwnerGone means that the key's owner has ended.
	ReasonOwnerGone Reason = "owner-gone"
	// ReasonKeyExpired means that the key is older than its use allows, or
	// that its answer is no longer kept.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonMalformedKey means that the key was not issued by its owner.
	ReasonMalformedKey Reason = "malformed-key"
	// ReasonKeyReused means that the key came before with another job.
	ReasonKeyReused Reason = "key-reused"
	// ReasonNoConfiguration means that the instance holds no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonLeaving means that the instance is shutting down.
	ReasonLeaving Reason = "leaving"
)

// An Answer is the one reply to a submission.
type Answer struct {
	// Key is the submission's key, so that a late answer reaches nobody else.
	Key Key
	// Status says how the submission ended.
	Status Status
	// Reason says why Status is not Complete.
	Reason Reason
	// Message explains Reason to a person.
	Message string
	// RetryAfter is the time after which a new submission is welcome. It is
	// zero when none is suggested.
	RetryAfter time.Duration
	// Results holds one result a task, in the order submitted. It is nil
	// unless Status is Complete.
	Results [][]byte
}
