package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A CallerID names a caller that waits at this instance.
type CallerID uint64

// Effects is what an Instance wants done, in the order of each slice.
type Effects struct {
	// Answers go to callers.
	Answers []CallerAnswer
	// Sends go to peers.
	Sends []Send
	// Starts go to backend servers.
	Starts []Start
	// Snapshots are configurations that peers have sent.
	Snapshots [][]byte
	// Changes are for operators to know.
	Changes []Change
}

// A CallerAnswer is the one answer to a caller.
type CallerAnswer struct {
	Caller CallerID
	Answer caller.Answer
}

// A Send is an envelope to a peer.
type Send struct {
	To       netip.AddrPort
	Envelope *peer.Envelope
}

// A Start is one task to be started on a backend server, once.
type Start struct {
	// Task is to be handed back with the outcome.
	Task *Task
	// Server is the backend server's address.
	Server netip.AddrPort
	// Key, Index, Attempt, Route and Payload are the task's.
	Key     caller.Key
	Index   int
	Attempt int
	Route   string
	Payload []byte
	// Decided is the time of the decision: a start that comes much later is
	// not to be made.
	Decided time.Time
	// Timeout is the time for which the task's result is of use.
	Timeout time.Duration
}
