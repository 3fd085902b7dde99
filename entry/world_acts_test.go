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

func (w *world) act(n *node, effects entry.Effects) {
	w.changes[n.address] = append(w.changes[n.address], effects.Changes...)
	for _, a := range effects.Answers {
		w.answers[a.Caller] = append(w.answers[a.Caller], a.Answer)
		w.tell(point{kind: pointAnswered, at: n.address, answer: a})
	}
	for _, s := range effects.Sends {
		w.do(n, func() { w.send(n.address, s) })
	}
	for _, s := range effects.Starts {
		w.do(n, func() { w.start(n, s) })
	}
}

// do runs an act of a node, one event after the decision, so that a pause may
// come between the two.
func (w *world) do(n *node, act func()) {
	life := n.life
	w.after(0, func() {
		switch {
		case n.life != life || !n.up:
		case n.paused:
			n.acts = append(n.acts, act)
		default:
			act()
		}
	})
}

// send carries an envelope to a peer, or loses it.
func (w *world) send(from netip.AddrPort, s entry.Send) {
	w.tell(point{kind: pointSent, at: from, peer: s.To, env: s.Envelope})
	var f fate
	if w.fate != nil {
		f = w.fate(from, s)
	}
	if f.lost || f.late > 0 {
		w.after(redial, func() { w.resetLink(from, s.To) })
	}
	if w.lose(from, s.To) || f.lost {
		return
	}
	copies := 1
	if w.duplicate(from, s.To) || f.twice {
		copies = 2
	}
	body, err := proto.Marshal(s.Envelope)
	if err != nil {
		panic(err)
	}
	for range copies {
		w.after(w.delay(from, s.To)+f.late, func() {
			env := &peer.Envelope{}
			if err := proto.Unmarshal(body, env); err != nil {
				panic(err)
			}
			if to := w.nodes[s.To]; to != nil {
				w.give(to, func(now time.Time, i *entry.Instance) {
					i.Receive(now, from, env)
					w.tell(point{kind: pointReceived, at: s.To, peer: from, env: env})
				})
			}
		})
	}
}

// resetLink tells a node that there is a stream to a peer again.
func (w *world) resetLink(from, to netip.AddrPort) {
	w.give(w.nodes[from], func(now time.Time, i *entry.Instance) { i.LinkReset(now, to) })
}

// start runs a task on its backend server.
func (w *world) start(n *node, s entry.Start) {
	life := n.life
	report := func(kind backend.OutcomeKind) {
		w.after(worldDelay, func() {
			if n.life == life {
				body := fmt.Appendf(nil, "done:%s", s.Payload)
				w.give(n, func(now time.Time, i *entry.Instance) {
					i.TaskDone(now, s.Task, backend.Outcome{Kind: kind, Body: body})
					w.tell(point{kind: pointDone, at: n.address, start: &s})
				})
			}
		})
	}
	kind := w.outcome(s)
	if kind == backend.NotStarted {
		report(kind)
		return
	}
	w.after(w.startDelay(s), func() { w.begin(n, s, kind, report) })
}

// begin lets a backend server start a task that was sent to it. It does so also
// if the sender has ended since.
func (w *world) begin(n *node, s entry.Start, kind backend.OutcomeKind, report func(backend.OutcomeKind)) {
	w.noteLateStart(n, s)
	w.starts[fmt.Sprintf("%s/%d", s.Key, s.Index)]++
	w.startedAt[s.Server] = w.now
	w.running[s.Server]++
	w.mostRunning[s.Server] = max(w.mostRunning[s.Server], w.running[s.Server])
	w.tell(point{kind: pointStarted, at: n.address, start: &s})
	w.after(w.runTime(s), func() {
		w.running[s.Server]--
		report(kind)
	})
}
