package dispatch_test

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// worldNode is a machine with an instance on it.
type worldNode struct {
	world    *world
	zone     int
	address  netip.AddrPort
	life     int
	instance *dispatch.Instance
	frozen   bool
	held     []func()
	callers  map[dispatch.CallerID]*worldJob
	next     dispatch.CallerID
	// lossy are the peers to which an envelope was lost.
	lossy map[netip.AddrPort]bool
}

func (n *worldNode) name() string { return n.address.String() }

// start begins a new life.
func (n *worldNode) start() {
	n.life++
	n.frozen, n.held = false, nil
	n.callers = make(map[dispatch.CallerID]*worldJob)
	n.lossy = make(map[netip.AddrPort]bool)
	n.instance = dispatch.NewInstance(n.world.now, dispatch.Config{
		Self:        n.address,
		Zone:        worldZones[n.zone],
		Zones:       worldZones,
		Incarnation: uint64(n.life),
		Wall:        n.world.now,
	})
	for _, other := range n.world.nodes {
		n.instance.AddMember(n.world.now, other.address, worldZones[other.zone])
	}
	n.listWorkers()
	n.tick(n.life)
}

// listWorkers gives the instance the worker table of the store.
func (n *worldNode) listWorkers() {
	var table []dispatch.Worker
	for _, w := range n.world.workers {
		if !w.down {
			table = append(table, w.entry)
		}
	}
	n.instance.SetWorkers(n.world.now, table)
}

func (n *worldNode) tick(life int) {
	n.do(life, func() {
		n.instance.Tick(n.world.now)
		if n.instance.Leading() && n.world.random.IntN(40) == 0 {
			n.listWorkers()
		}
	})
	if n.life == life && n.instance != nil {
		n.world.after(worldTick, func() { n.tick(life) })
	}
}

// do lets the instance take an event, if it still lives, once it is not frozen.
func (n *worldNode) do(life int, event func()) {
	switch {
	case n.life != life || n.instance == nil:
	case n.frozen:
		n.held = append(n.held, func() { n.do(life, event) })
	default:
		event()
		n.act(n.instance.Take(n.world.now))
	}
}

// kill ends the process. Its callers see their connections break.
func (n *worldNode) kill() {
	n.instance = nil
	for _, caller := range slices.Sorted(maps.Keys(n.callers)) {
		n.world.resend(n.callers[caller])
	}
	n.callers = nil
}

// thaw lets a frozen instance go on.
func (n *worldNode) thaw() {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, event := range held {
		event()
	}
}

func (n *worldNode) submit(j *worldJob) {
	n.next++
	caller := n.next
	n.callers[caller] = j
	n.do(n.life, func() {
		now := n.world.now
		n.instance.Submit(now, caller, dispatch.Job{
			ID: j.id, Route: "previews", Pool: "editor", MaxAttempts: 3, Stretch: 4, Slack: time.Second,
			Steps: []dispatch.Step{{
				Tasks: j.tasks, Needs: dispatch.Resources{Millicores: taskCPU, Memory: 10}, Estimate: 400 * time.Millisecond,
			}},
			Arrived: now, CallerDeadline: now.Add(3 * time.Second),
		})
	})
}

// act does what the instance wants done.
func (n *worldNode) act(e dispatch.Effects) {
	life := n.life
	for _, d := range e.Decisions {
		n.world.note("%v %s %s %v", n.address, d.Event, d.Subject, d.Fields)
	}
	for _, s := range e.Starts {
		n.order(life, s.Command, func(w *fakeWorker) dispatch.Outcome { return w.start(s) },
			func(o dispatch.Outcome, clock time.Duration) { n.instance.StartDone(n.world.now, s, o, clock) })
	}
	for _, s := range e.Stops {
		n.order(life, s.Command, func(w *fakeWorker) dispatch.Outcome { return w.stop(s) },
			func(o dispatch.Outcome, clock time.Duration) { n.instance.StopDone(n.world.now, s, o, clock) })
	}
	for _, l := range e.Polls {
		n.look(life, l)
	}
	for _, s := range e.Sends {
		n.send(s)
	}
	for _, end := range e.Answers {
		n.answer(end)
	}
}

func (n *worldNode) answer(end dispatch.Answer) {
	j := n.callers[end.Caller]
	delete(n.callers, end.Caller)
	if j == nil {
		return
	}
	j.answered = append(j.answered, end.End.State)
	if end.End.State == dispatch.Overdue {
		n.world.resend(j)
		return
	}
	j.end = end.End.State
}

// send carries an envelope to a peer, in order.
func (n *worldNode) send(s dispatch.Send) {
	to := n.world.node(s.To)
	delay, arrives := n.world.transit(n.name(), to.name())
	if !arrives || to.instance == nil {
		n.lossy[s.To] = true
		return
	}
	if n.lossy[s.To] {
		delete(n.lossy, s.To)
		life := n.life
		n.world.after(lostLinkAfter, func() {
			n.do(life, func() { n.instance.LinkReset(n.world.now, s.To) })
		})
	}
	from, life := n.address, to.life
	env := s.Envelope
	n.world.after(delay, func() {
		to.do(life, func() { to.instance.Receive(n.world.now, from, env) })
	})
}

// order carries an order to a worker and its answer back.
func (n *worldNode) order(life int, o dispatch.Command, carry func(*fakeWorker) dispatch.Outcome, done func(dispatch.Outcome, time.Duration)) {
	w := n.world
	f := w.worker(o.Worker)
	finish := func(outcome dispatch.Outcome, clock time.Duration) {
		n.do(life, func() { done(outcome, clock) })
	}
	unclear := func() { w.after(workerTime, func() { finish(dispatch.OutcomeUnknown, 0) }) }
	delay, arrives := w.transit(n.name(), f.entry.ID)
	if !arrives || f.down {
		unclear()
		return
	}
	if w.random.Float64() < w.lateOrders {
		unclear()
		w.after(time.Duration(w.random.IntN(12_000))*time.Millisecond, func() {
			if !f.down {
				carry(f)
			}
		})
		return
	}
	w.after(delay, func() {
		if f.down {
			unclear()
			return
		}
		outcome, clock := carry(f), f.clock().Truncate(time.Millisecond)
		back, arrives := w.transit(f.entry.ID, n.name())
		if !arrives || w.random.Float64() < w.lostAnswers {
			unclear()
			return
		}
		w.after(back, func() { finish(outcome, clock) })
	})
}

// look carries a look to a worker, which waits for an end.
func (n *worldNode) look(life int, l dispatch.Poll) {
	w := n.world
	f := w.worker(l.Worker)
	finish := func(report dispatch.Report, outcome dispatch.Outcome) {
		n.do(life, func() { n.instance.PollDone(w.now, l, report, outcome) })
	}
	unclear := func() { w.after(workerTime+l.Wait, func() { finish(dispatch.Report{}, dispatch.OutcomeUnknown) }) }
	delay, arrives := w.transit(n.name(), f.entry.ID)
	if !arrives || f.down {
		unclear()
		return
	}
	w.after(delay, func() {
		if f.down {
			unclear()
			return
		}
		outcome := f.look(l)
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			report := f.report()
			back, arrives := w.transit(f.entry.ID, n.name())
			if !arrives || f.down {
				unclear()
				return
			}
			w.after(back, func() { finish(report, outcome) })
		}
		if outcome != dispatch.Accepted || l.Wait == 0 || len(f.ends) > 0 {
			answer()
			return
		}
		f.waiting = append(f.waiting, func() { w.after(0, answer) })
		w.after(l.Wait, answer)
	})
}
