package entry_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// leavingGrace is the time after which no task may be started on a backend server
// that the list reports as leaving. The requirement is a few seconds.
const leavingGrace = 3 * time.Second

// An eventKind is a kind of event of a simulation.
type eventKind int

const (
	eventSent eventKind = iota
	eventReceived
	eventStarted
	eventDone
	eventAnswered
	eventDrained
	// The scenarios of the fault matrix report the following events.
	eventKeyIssued
	eventSubmitted
	eventCancelRequested
	eventJoined
	eventShutdownRequested
)

// An event is one event at a node of a simulation. It is reported right after the node
// has handled it and before the resulting actions.
type event struct {
	kind eventKind
	// at is the address of the node.
	at netip.AddrPort
	// peer is the other end, and env the envelope, of eventSent and
	// eventReceived.
	peer netip.AddrPort
	env  *peer.Envelope
	// start is the Start of eventStarted and eventDone.
	start *entry.Start
	// answer is the answer of eventAnswered.
	answer entry.CallerAnswer
}

// redialDelay is the time after which a broken link is reopened.
const redialDelay = 200 * time.Millisecond

// An envelopeFault is a fault of one envelope. If the envelope is lost or delayed,
// the link of its sender is reset after redialDelay.
type envelopeFault struct {
	lost, duplicated bool
	// delay is added to the usual delay of the envelope.
	delay time.Duration
}

// notify reports an event to the observer, if there is one.
func (sim *simulation) notify(ev event) {
	if sim.observer != nil {
		sim.observer(ev)
	}
}

// recordLateStart records a start that a node decided on more than leavingGrace
// after its list reported the backend server as leaving.
func (sim *simulation) recordLateStart(n *node, s entry.Start) {
	since, ok := sim.listedLeaving[n.address][s.Server]
	if ok && s.Decided.Sub(since) > leavingGrace {
		sim.lateStarts = append(sim.lateStarts,
			fmt.Sprintf("%v started a task on %v, %v after its list reported the server as leaving", n.address, s.Server, s.Decided.Sub(since)))
	}
}
