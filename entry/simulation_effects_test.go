package entry_test

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// applyEffects records the answers and changes of a node, and schedules its sends
// and starts.
func (sim *simulation) applyEffects(n *node, effects entry.Effects) {
	sim.changes[n.address] = append(sim.changes[n.address], effects.Changes...)
	for _, a := range effects.Answers {
		sim.answers[a.Caller] = append(sim.answers[a.Caller], a.Answer)
		sim.notify(event{kind: eventAnswered, at: n.address, answer: a})
	}
	for _, s := range effects.Sends {
		sim.schedule(n, func() { sim.send(n.address, s) })
	}
	for _, s := range effects.Starts {
		sim.schedule(n, func() { sim.startTask(n, s) })
	}
}

// schedule schedules an action of a node as a call of its own, so that the node may be
// paused or killed between the decision and the action.
func (sim *simulation) schedule(n *node, action func()) {
	incarnation := n.incarnation
	sim.after(0, func() {
		switch {
		case n.incarnation != incarnation || !n.up:
		case n.paused:
			n.actions = append(n.actions, action)
		default:
			action()
		}
	})
}

// send delivers an envelope to a peer, unless a fault loses it. Faults may also delay
// or duplicate it.
func (sim *simulation) send(from netip.AddrPort, s entry.Send) {
	sim.notify(event{kind: eventSent, at: from, peer: s.To, env: s.Envelope})
	var f envelopeFault
	if sim.envelopeFault != nil {
		f = sim.envelopeFault(from, s)
	}
	if f.lost || f.delay > 0 {
		sim.after(redialDelay, func() { sim.resetLink(from, s.To) })
	}
	if sim.lose(from, s.To) || f.lost {
		return
	}
	copies := 1
	if sim.duplicate(from, s.To) || f.duplicated {
		copies = 2
	}
	body, err := proto.Marshal(s.Envelope)
	if err != nil {
		panic(err)
	}
	for range copies {
		sim.after(sim.delay(from, s.To)+f.delay, func() {
			env := &peer.Envelope{}
			if err := proto.Unmarshal(body, env); err != nil {
				panic(err)
			}
			if to := sim.nodes[s.To]; to != nil {
				sim.deliver(to, func(now time.Time, i *entry.Instance) {
					i.Receive(now, from, env)
					sim.notify(event{kind: eventReceived, at: s.To, peer: from, env: env})
				})
			}
		})
	}
}

// resetLink reports to a node that its link to a peer was reopened.
func (sim *simulation) resetLink(from, to netip.AddrPort) {
	sim.deliver(sim.nodes[from], func(now time.Time, i *entry.Instance) { i.LinkReset(now, to) })
}

// startTask sends a task to its backend server. An outcome reaches the node after
// messageDelay.
func (sim *simulation) startTask(n *node, s entry.Start) {
	incarnation := n.incarnation
	report := func(kind backend.OutcomeKind) {
		sim.after(messageDelay, func() {
			if n.incarnation == incarnation {
				body := fmt.Appendf(nil, "done:%s", s.Payload)
				sim.deliver(n, func(now time.Time, i *entry.Instance) {
					i.TaskDone(now, s.Task, backend.Outcome{Kind: kind, Body: body})
					sim.notify(event{kind: eventDone, at: n.address, start: &s})
				})
			}
		})
	}
	kind := sim.outcome(s)
	if kind == backend.NotStarted {
		report(kind)
		return
	}
	sim.after(sim.startDelay(s), func() { sim.runTask(n, s, kind, report) })
}

// runTask runs a task on the backend server that it was sent to. The task runs even
// if the sender has ended since.
func (sim *simulation) runTask(n *node, s entry.Start, kind backend.OutcomeKind, report func(backend.OutcomeKind)) {
	sim.recordLateStart(n, s)
	sim.starts[fmt.Sprintf("%s/%d", s.Key, s.Index)]++
	sim.startedAt[s.Server] = sim.now
	sim.running[s.Server]++
	sim.maxRunning[s.Server] = max(sim.maxRunning[s.Server], sim.running[s.Server])
	sim.notify(event{kind: eventStarted, at: n.address, start: &s})
	sim.after(sim.runTime(s), func() {
		sim.running[s.Server]--
		report(kind)
	})
}
