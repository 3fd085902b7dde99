package dispatch

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// Effects are what an Instance wants done, in order.
type Effects struct {
	Answers []Answer
	Sends   []Send
	Polls   []Poll
	Starts  []Start
	Stops   []Stop
	// Tables are configurations that peers have sent.
	Tables [][]byte
	// Decisions are to be logged.
	Decisions []Decision
}

// A CallerID names one request of a caller at the instance that it reached.
type CallerID uint64

// A Answer is the answer to a caller.
type Answer struct {
	Caller CallerID
	End    End
}

// A Send is an envelope for a peer.
type Send struct {
	To       netip.AddrPort
	Envelope *peer.Envelope
}

// An Command is what every order to a worker carries.
type Command struct {
	Worker  string
	Address netip.AddrPort
	// Term is the fencing token.
	Term uint64
	// Lease is until when, on the worker's clock, all that runs there may go
	// on, or 0.
	Lease time.Duration
	// IssuedAt is when the order was made. It is not to be sent much later.
	IssuedAt time.Time
}

// A Poll asks a worker what runs and what has ended.
type Poll struct {
	Command
	// Number tells looks apart. It is 0 for one that only asks whether a
	// leader is at work there.
	Number uint64
	// Acknowledged is the last end that the worker may forget.
	Acknowledged int64
	// Wait is for how long the worker waits for an end.
	Wait time.Duration
	// NewConnection asks for a fresh connection.
	NewConnection bool
	// zone is the one that a Look with Number 0 asks about.
	zone string
}

// A Start orders a worker to run a task.
type Start struct {
	Command
	Task   TaskID
	Number int
	Spec   string
}

// A Stop orders a worker to end a run.
type Stop struct {
	Command
	Task   TaskID
	Number int
}

// An Outcome says what a worker made of an order.
type Outcome int

// The outcomes of an order.
const (
	// OutcomeUnknown means that no answer came: the order may be carried out later.
	OutcomeUnknown Outcome = iota
	// Accepted means that the worker has carried out the order.
	Accepted
	// Fenced means that the worker has served a later term.
	Fenced
	// NoResources, TooLate and OldNumber mean that the worker refused the start.
	NoResources
	TooLate
	OldNumber
	// Refused means that the worker is unhealthy or finds the order wrong,
	// and did nothing.
	Refused
	// OtherIncarnation means that another life of the worker answered.
	OtherIncarnation
	// NotSent means that the order was dropped before it was sent.
	NotSent
)

// String returns the name of o.
func (o Outcome) String() string {
	return [...]string{
		"unclear", "accepted", "fenced", "no-room", "too-late", "old-number", "refused", "other-life", "not-sent",
	}[o]
}

// A Decision is one line of the log.
type Decision struct {
	// Event says what was decided, and Subject about what.
	Event, Subject string
	// Fields are the inputs, as alternating names and values.
	Fields []any
	// Routine says that the decision belongs to the usual way of a job, so that
	// its line may be left out together with the job's others.
	Routine bool
}

// decide adds a decision to be logged.
func (e *Effects) decide(event, subject string, fields ...any) {
	e.Decisions = append(e.Decisions, Decision{Event: event, Subject: subject, Fields: fields})
}

// usual adds a decision of the usual way of a job.
func (e *Effects) usual(event, job string, fields ...any) {
	e.Decisions = append(e.Decisions, Decision{Event: event, Subject: job, Fields: fields, Routine: true})
}
