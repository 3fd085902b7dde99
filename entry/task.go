package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A Task is one attempt of a task at its holder.
type Task struct {
	job      *heldJob
	index    uint32
	attempt  uint32
	payload  []byte
	deadline time.Time
	// server is the backend server that the task was sent to, if any.
	server netip.AddrPort
	state  heldState
	// outcome and body are set when the task has ended with an outcome.
	outcome peer.Outcome
	body    []byte
}

// A heldState is the state of a Task at its holder.
type heldState uint8

const (
	// heldWaiting means that the task has not started.
	heldWaiting heldState = iota
	// heldRunning means that the task was sent to a backend server and its
	// outcome has not arrived.
	heldRunning
	// heldEnded means that the outcome is known or the task was dropped.
	heldEnded
)

// A heldJob is a holder's record of one job. It is kept until the owner reports
// the job as settled, so that an attempt that arrives again is not started again.
type heldJob struct {
	key   caller.Key
	owner netip.AddrPort
	route string
	// pool names the pool that the job's tasks were queued in, or is empty if
	// none was.
	pool string
	// tasks holds the latest attempt of each task, by the task's index.
	tasks map[uint32]*Task
	// settled is set when the job has ended, so that its owner needs no more
	// results, or when the owner's process has ended.
	settled bool
	// running is the number of running tasks.
	running int
}
