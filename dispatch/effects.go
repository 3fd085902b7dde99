package dispatch

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// Effects are the actions that an Instance has decided on. Each slice is in the order
// in which its actions are to be carried out.
type Effects struct {
	Answers []Answer
	Sends   []Send
	Polls   []Poll
	Starts  []Start
	Stops   []Stop
	// Tables are encoded configurations that peers have sent.
	Tables [][]byte
	// Redirects are the jobs that were redirected, to be counted.
	Redirects []Redirect
	// Decisions are the lines to log.
	Decisions []Decision
}

// A CallerID identifies one request of a caller at the instance that received it.
type CallerID uint64

// An Answer is the end of a job, to be sent to one caller.
type Answer struct {
	Caller CallerID
	End    End
}

// A Send is an envelope to be sent to a peer.
type Send struct {
	To       netip.AddrPort
	Envelope *peer.Envelope
}

// A Command holds what every command to a worker carries.
type Command struct {
	Worker  string
	Address netip.AddrPort
	// Term is the fencing token.
	Term uint64
	// claim is the term of the worker's zone. It is lower than Term if the token was raised.
	claim uint64
	// Lease is the time on the worker's clock until which all runs there may
	// continue, or 0 if the command renews no lease.
	Lease time.Duration
	// IssuedAt is when the command was issued, and SendBefore the time from which it
	// must not be sent any more: another instance may lead by then.
	IssuedAt, SendBefore time.Time
}

// A Poll asks a worker which tasks are running and which have ended. It renews the
// lease of the runs on the worker.
type Poll struct {
	Command
	// Number identifies the poll. It is 0 for a probe, which only asks whether a
	// leader uses the worker.
	Number uint64
	// Acknowledged is the sequence number of the last end that the worker may
	// discard.
	Acknowledged int64
	// Wait is the time for which the worker may wait for a run to end before it
	// answers.
	Wait time.Duration
	// NewConnection is set if the poll must not use an existing connection.
	NewConnection bool
	// zone is the availability zone that a probe is about.
	zone string
}

// A Start commands a worker to run a task.
type Start struct {
	Command
	Task   TaskID
	Number int
	Spec   string
}

// A Stop commands a worker to end a run.
type Stop struct {
	Command
	Task   TaskID
	Number int
}

// An Outcome is the result of a command to a worker.
type Outcome int

// The outcomes of a command.
const (
	// OutcomeUnknown means that the command got no answer: it may or may not have
	// been carried out, and may still be carried out later.
	OutcomeUnknown Outcome = iota
	// Accepted means that the worker has carried out the command.
	Accepted
	// Fenced means that the worker has accepted a command with a later term.
	Fenced
	// NoResources, TooLate and OldNumber mean that the worker refused the start.
	NoResources
	TooLate
	OldNumber
	// Refused means that the worker is unhealthy or rejects the command as invalid,
	// and did nothing.
	Refused
	// OtherIncarnation means that another incarnation of the worker answered.
	OtherIncarnation
	// NotSent means that the command was dropped before it was sent.
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
	// Event names the decision, and Subject is the ID of the job, worker or zone that
	// it concerns.
	Event, Subject string
	// Fields are the inputs of the decision, as alternating names and values.
	Fields []any
	// Routine is true if the decision is part of the normal path of a job. Its line
	// may be omitted together with the other lines of the job.
	Routine bool
}

// decide adds a decision to the log lines.
func (e *Effects) decide(event, subject string, fields ...any) {
	e.Decisions = append(e.Decisions, Decision{Event: event, Subject: subject, Fields: fields})
}

// routine is like decide, but marks the decision as Routine.
func (e *Effects) routine(event, job string, fields ...any) {
	e.Decisions = append(e.Decisions, Decision{Event: event, Subject: job, Fields: fields, Routine: true})
}
