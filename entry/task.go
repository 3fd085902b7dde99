package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A Task is one attempt of a task at the holder that is to start it.
type Task struct {
	job      *heldJob
	index    uint32
	attempt  uint32
	payload  []byte
	deadline time.Time
	server   netip.AddrPort
	state    heldState
	outcome  peer.Outcome
	body     []byte
}

// A heldState is the state of a Task at its holder.
type heldState uint8

const (
	heldWaiting heldState = iota
	heldRunning
	heldEnded
)

// A heldJob is what a holder knows of one job. It is kept until the owner says
// that the job is settled, so that a task that comes again is not started again.
type heldJob struct {
	key   caller.Key
	owner netip.AddrPort
	route string
	pool  string
	tasks map[uint32]*Task
	// settled says that the owner wants no more results.
	settled bool
	running int
}
