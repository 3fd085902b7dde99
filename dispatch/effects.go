package dispatch

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// Effects are what an Instance wants done, in order.
type Effects struct {
	Ends   []CallerEnd
	Sends  []Send
	Looks  []Look
	Starts []Start
	Stops  []Stop
	// Tables are configurations that peers have sent.
	Tables [][]byte
	// Decisions are to be logged.
	Decisions []Decision
}

// A CallerID names one request of a caller at the instance that it reached.
type CallerID uint64

// A CallerEnd is the answer to a caller.
type CallerEnd struct {
	Caller CallerID
	End    End
}

// A Send is an envelope for a peer.
type Send struct {
	To       netip.AddrPort
	Envelope *peer.Envelope
}

// An Order is what every order to a worker carries.
type Order struct {
	Worker  string
	Address netip.AddrPort
	// Term is the fencing token.
	Term uint64
	// Lease is until when, on the worker's clock, all that runs there may go
	// on, or 0.
	Lease time.Duration
	// Decided is when the order was made. It is not to be sent much later.
	Decided time.Time
}

// A Look asks a worker what runs and what has ended.
type Look struct {
	Order
	// Number tells looks apart. It is 0 for one that only asks whether a
	// leader is at work there.
	Number uint64
	// Acknowledged is the last end that the worker may forget.
	Acknowledged int64
	// Wait is for how long the worker waits for an end.
	Wait time.Duration
	// Anew asks for a fresh connection.
	Anew bool
	// zone is the one that a Look with Number 0 asks about.
	zone string
}

// A Start orders a worker to run a task.
type Start struct {
	Order
	Task   TaskID
	Number int
	Spec   string
}

// A Stop orders a worker to end a run.
type Stop struct {
	Order
	Task   TaskID
	Number int
}

// An Outcome says what a worker made of an order.
type Outcome int

// The outcomes of an order.
const (
	// Unclear means that no answer came: the order may be carried out later.
	Unclear Outcome = iota
	// Accepted means that the worker has carried out the order.
	Accepted
	// Fenced means that the worker has served a later term.
	Fenced
	// NoRoom, TooLate and OldNumber mean that the worker refused the start.
	NoRoom
	TooLate
	OldNumber
	// Refused means that the worker is unhealthy or finds the order wrong,
	// and did nothing.
	Refused
	// OtherLife means that another life of the worker answered.
	OtherLife
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
	// Usual says that the decision belongs to the usual way of a job, so that
	// its line may be left out together with the job's others.
	Usual bool
}

// decide adds a decision to be logged.
func (e *Effects) decide(event, subject string, fields ...any) {
	e.Decisions = append(e.Decisions, Decision{Event: event, Subject: subject, Fields: fields})
}

// usual adds a decision of the usual way of a job.
func (e *Effects) usual(event, job string, fields ...any) {
	e.Decisions = append(e.Decisions, Decision{Event: event, Subject: job, Fields: fields, Usual: true})
}
