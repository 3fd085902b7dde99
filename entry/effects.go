package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A CallerID identifies a caller that waits for an answer of this instance.
type CallerID uint64

// Effects holds the actions that an Instance has decided on. Each slice is in the
// order in which its actions are to be carried out.
type Effects struct {
	// Answers are to be sent to callers.
	Answers []CallerAnswer
	// Sends are envelopes to be sent to peers.
	Sends []Send
	// Starts are tasks to be started on backend servers.
	Starts []Start
	// Snapshots are configuration snapshots received from peers.
	Snapshots [][]byte
	// Changes are state changes to be reported to operators.
	Changes []Change
}

// A CallerAnswer is the answer to a caller. Each caller gets exactly one.
type CallerAnswer struct {
	Caller CallerID
	Answer caller.Answer
}

// A Send is an envelope to be sent to the peer at To.
type Send struct {
	To       netip.AddrPort
	Envelope *peer.Envelope
}

// A Start is a task that is to be started once on a backend server.
type Start struct {
	// Task identifies the start: it is passed to TaskDone with the outcome.
	Task *Task
	// Server is the backend server's address.
	Server netip.AddrPort
	// Key is the submission key of the task's job, Index the task's index in
	// the job, from 0, and Attempt the number of the task's assignment, from 1.
	// Route and Payload are those of the task.
	Key     caller.Key
	Index   int
	Attempt int
	Route   string
	Payload []byte
	// Decided is the time of the decision. A start must not be carried out long
	// after it.
	Decided time.Time
	// Timeout is the time, from Decided, within which the result is useful.
	// It is not negative.
	Timeout time.Duration
}
