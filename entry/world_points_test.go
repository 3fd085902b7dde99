package entry_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// leavingGrace is the time after which a backend server that the list gives as
// leaving must get nothing new: the brief's few seconds.
const leavingGrace = 3 * time.Second

// A pointKind is a kind of step that the world tells of.
type pointKind int

const (
	pointSent pointKind = iota
	pointReceived
	pointStarted
	pointDone
	pointAnswered
	pointDrained
	// The scenarios of the matrix tell of these.
	pointKeyIssued
	pointSubmitted
	pointCancelAsked
	pointJoined
	pointLeaveAsked
)

// A point is one step of the world, at the node at, right after the node took
// it and before the node's own acts on it.
type point struct {
	kind   pointKind
	at     netip.AddrPort
	peer   netip.AddrPort
	env    *peer.Envelope
	start  *entry.Start
	answer entry.CallerAnswer
}

// redial is the time after which a broken stream is opened anew.
const redial = 200 * time.Millisecond

// A fate is what becomes of one envelope. If it is lost, or late on a stream
// that another has followed, its sender's link is told so.
type fate struct {
	lost, twice bool
	late        time.Duration
}

// tell passes a step on to whoever watches.
func (w *world) tell(p point) {
	if w.seen != nil {
		w.seen(p)
	}
}

// noteLateStart records a start that a node decided on too long after it saw
// that the backend server is leaving.
func (w *world) noteLateStart(n *node, s entry.Start) {
	since, ok := w.listedLeaving[n.address][s.Server]
	if ok && s.Decided.Sub(since) > leavingGrace {
		w.lateStarts = append(w.lateStarts,
			fmt.Sprintf("%v started a task on %v, %v after it saw that it leaves", n.address, s.Server, s.Decided.Sub(since)))
	}
}
