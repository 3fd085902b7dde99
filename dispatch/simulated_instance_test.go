package dispatch_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// simulatedInstance is a machine that runs an instance, or nil while the process is
// down.
type simulatedInstance struct {
	simulation  *simulation
	zone        int
	address     netip.AddrPort
	incarnation int
	instance    *dispatch.Instance
	paused      bool
	heldEvents  []func()
	callers     map[dispatch.CallerID]*simulatedJob
	next        dispatch.CallerID
	// handledFrom is, by connection, the time at which its last event since a pause is
	// handled.
	handledFrom map[string]time.Time
	// lossy are the peers to which an envelope was lost since the last reset of the
	// link.
	lossy map[netip.AddrPort]bool
	// arrivals are the times at which the last envelope to each peer since the last reset
	// of the link arrives there.
	arrivals map[netip.AddrPort]time.Time
	// stale are the envelopes to each peer that a broken stream holds back.
	stale map[netip.AddrPort][]*peer.Envelope
	// ended are the jobs whose ends the instance has reported to other instances and that
	// were not forwarded to it since, with the latest end.
	ended map[string]peer.JobState
	// refused is set while the store refuses to answer the instance about drained zones,
	// and couldNotLearnAt is when the instance was last unable to learn of them.
	refused         bool
	couldNotLearnAt time.Time
}

func (n *simulatedInstance) name() string { return n.address.String() }

// start starts a new incarnation.
func (n *simulatedInstance) start() {
	n.incarnation++
	n.paused, n.heldEvents = false, nil
	n.handledFrom = make(map[string]time.Time)
	n.callers = make(map[dispatch.CallerID]*simulatedJob)
	n.lossy = make(map[netip.AddrPort]bool)
	n.arrivals = make(map[netip.AddrPort]time.Time)
	n.stale = make(map[netip.AddrPort][]*peer.Envelope)
	n.ended = make(map[string]peer.JobState)
	n.instance = dispatch.NewInstance(n.simulation.now, dispatch.Config{
		Self:        n.address,
		Zone:        simulationZones[n.zone],
		Zones:       simulationZones,
		Weight:      n.weight(),
		Unfenced:    n.simulation.unfenced,
		Incarnation: uint64(n.incarnation),
		Wall:        n.simulation.now,
		Callers:     n,
	})
	for _, other := range n.simulation.instances {
		n.instance.AddMember(n.simulation.now, other.address, simulationZones[other.zone], other.weight())
	}
	n.readDrains()
	n.listWorkers()
	n.tick(n.incarnation)
}

// listWorkers sets the instance's worker table to that of the store.
func (n *simulatedInstance) listWorkers() {
	var table []dispatch.Worker
	for _, w := range n.simulation.workers {
		if !w.down {
			table = append(table, w.entry)
		}
	}
	n.instance.SetWorkers(n.simulation.now, table)
}

func (n *simulatedInstance) tick(incarnation int) {
	n.do(incarnation, func() {
		n.instance.Tick(n.simulation.now)
		if n.instance.Leading() && n.simulation.random.IntN(40) == 0 {
			n.listWorkers()
		}
	})
	if n.incarnation == incarnation && n.instance != nil {
		n.simulation.after(simulationTick, func() { n.tick(incarnation) })
	}
}

// do handles an event at the instance if the incarnation is still running, once it is
// not paused.
func (n *simulatedInstance) do(incarnation int, event func()) {
	switch {
	case n.incarnation != incarnation || n.instance == nil:
	case n.paused:
		n.heldEvents = append(n.heldEvents, func() { n.do(incarnation, event) })
	default:
		event()
		n.apply(n.instance.Take(n.simulation.now))
	}
}

// doFrom is like do for an event of a connection. The events of one connection are handled in
// order. If receivers are starved, those of different connections that arrived during a pause
// are handled in any order, in up to maxBacklog after it.
func (n *simulatedInstance) doFrom(connection string, incarnation int, event func()) {
	if n.paused && n.simulation.starved && n.incarnation == incarnation {
		n.heldEvents = append(n.heldEvents, func() { n.handleLate(connection, incarnation, event) })
		return
	}
	if at := n.handledFrom[connection]; at.After(n.simulation.now) {
		n.simulation.at(at, func() { n.do(incarnation, event) })
		return
	}
	n.do(incarnation, event)
}

// handleLate handles an event that arrived during a pause that has just ended.
func (n *simulatedInstance) handleLate(connection string, incarnation int, event func()) {
	at := n.simulation.now.Add(time.Duration(n.simulation.random.Int64N(int64(maxBacklog))))
	if last := n.handledFrom[connection]; last.After(at) {
		at = last
	}
	n.handledFrom[connection] = at
	n.simulation.at(at, func() { n.do(incarnation, event) })
}

// kill ends the process. Its callers lose their connections.
func (n *simulatedInstance) kill() {
	n.instance = nil
	for _, caller := range slices.Sorted(maps.Keys(n.callers)) {
		n.simulation.resubmit(n.callers[caller])
	}
	n.callers = nil
}

// disconnectCaller breaks the connection of a random caller, who submits its job again.
func (n *simulatedInstance) disconnectCaller() {
	if n.instance == nil || len(n.callers) == 0 {
		return
	}
	callers := slices.Sorted(maps.Keys(n.callers))
	caller := callers[n.simulation.random.IntN(len(callers))]
	n.leave(caller, n.callers[caller])
}

// leave closes the connection of a caller, who submits its job again.
func (n *simulatedInstance) leave(caller dispatch.CallerID, j *simulatedJob) {
	delete(n.callers, caller)
	n.simulation.note("the caller of %s leaves %v", j.id, n.address)
	n.doFrom(callerConnection(caller), n.incarnation, func() { n.instance.Abandon(n.simulation.now, caller) })
	n.simulation.resubmit(j)
}

// Connected implements dispatch.Callers.
func (n *simulatedInstance) Connected(caller dispatch.CallerID) bool { return n.callers[caller] != nil }

// callerConnection names the connection of a caller.
func callerConnection(caller dispatch.CallerID) string { return fmt.Sprintf("caller-%d", caller) }

// resume ends a pause of the process. It handles the events that arrived meanwhile.
func (n *simulatedInstance) resume() {
	n.paused = false
	heldEvents := n.heldEvents
	n.heldEvents = nil
	for _, event := range heldEvents {
		event()
	}
}

func (n *simulatedInstance) submit(j *simulatedJob) {
	n.next++
	caller := n.next
	n.callers[caller] = j
	impatient := n.simulation.starved && n.simulation.faulty()
	if impatient {
		incarnation := n.incarnation
		n.simulation.after(starvedPatience, func() {
			if n.incarnation == incarnation && n.callers[caller] == j {
				n.leave(caller, j)
			}
		})
	}
	n.doFrom(callerConnection(caller), n.incarnation, func() {
		now := n.simulation.now
		job := dispatch.Job{
			ID: j.id, Route: "previews", Pool: "editor", MaxAttempts: 3, Stretch: 4, Slack: time.Second,
			Steps: []dispatch.Step{{
				Tasks: j.tasks, Needs: dispatch.Resources{Millicores: taskCPU, Memory: 10}, Estimate: 400 * time.Millisecond,
			}},
			Arrived: now, CallerDeadline: now.Add(3 * time.Second),
		}
		if impatient {
			job.CallerDeadline = now.Add(starvedPatience)
		}
		if n.simulation.short {
			job.Stretch, job.Slack, job.Steps[0].Estimate = shortStretch, shortSlack, shortRunTime
		}
		if shape := j.shape; shape != nil {
			job.Steps, job.Stretch, job.Slack, job.CallerDeadline = shape.steps, shape.stretch, shape.slack, now.Add(shape.patience)
		}
		delete(n.ended, job.ID)
		n.instance.Submit(now, caller, job)
	})
}

// apply carries out the effects of the instance.
func (n *simulatedInstance) apply(e dispatch.Effects) {
	incarnation := n.incarnation
	for _, d := range e.Decisions {
		n.simulation.note("%v %s %s %v", n.address, d.Event, d.Subject, d.Fields)
	}
	for _, r := range e.Redirects {
		if r.In {
			n.simulation.acceptedFromOthers++
		} else {
			n.simulation.redirected++
			zone, _, _ := strings.Cut(r.Zone, "/")
			n.simulation.redirectedTo[zone]++
		}
	}
	for _, s := range e.Starts {
		n.checkDrained(s)
		if n.hasEnded(s.Task.Job) {
			n.simulation.violate("%v starts %v after it has reported the end of the job", n.address, s.Task)
		}
		n.sendCommand(incarnation, s.Command, func(w *fakeWorker) dispatch.Outcome { return w.start(s) },
			func(o dispatch.Outcome, clock time.Duration) { n.instance.StartDone(n.simulation.now, s, o, clock) })
	}
	for _, s := range e.Stops {
		n.sendCommand(incarnation, s.Command, func(w *fakeWorker) dispatch.Outcome { return w.stop(s) },
			func(o dispatch.Outcome, clock time.Duration) { n.instance.StopDone(n.simulation.now, s, o, clock) })
	}
	sim := n.simulation
	sim.counts.starts += len(e.Starts)
	sim.counts.stops += len(e.Stops)
	sim.counts.polls += len(e.Polls)
	for _, poll := range e.Polls {
		n.sendPoll(incarnation, poll)
	}
	for _, s := range e.Sends {
		n.send(s)
	}
	for _, end := range e.Answers {
		n.answer(end)
	}
}

// hasEnded reports whether the instance has reported the end of a job that it must not start
// any more. A job that it has redirected may come back from the receiver of the instance itself,
// which sends no envelope.
func (n *simulatedInstance) hasEnded(job string) bool {
	state, ended := n.ended[job]
	returned := state == peer.JobState_JOB_STATE_REDIRECTED && n.instance.HasOpenJob(job)
	return ended && !returned
}

func (n *simulatedInstance) answer(end dispatch.Answer) {
	j := n.callers[end.Caller]
	delete(n.callers, end.Caller)
	if j == nil {
		return
	}
	j.answered = append(j.answered, end.End.State)
	if end.End.State == dispatch.Overdue {
		n.simulation.resubmit(j)
		return
	}
	j.end, j.ended = end.End.State, n.simulation.now
}

// send delivers an envelope to a peer. The envelopes between two resets of the link arrive in
// the order in which they were sent, as on a TCP connection.
func (n *simulatedInstance) send(s dispatch.Send) {
	if len(s.Envelope.OperatorTables) > 0 {
		n.simulation.tablesSent[s.To]++
	}
	for _, end := range s.Envelope.JobEnds {
		if end.State != peer.JobState_JOB_STATE_UNKNOWN {
			n.ended[end.Id] = end.State
		}
	}
	to := n.simulation.instance(s.To)
	delay, arrives := n.simulation.transit(n.name(), to.name())
	if !arrives || to.instance == nil {
		n.lossy[s.To] = true
		n.holdBack(s, to)
		return
	}
	if n.lossy[s.To] {
		delete(n.lossy, s.To)
		delete(n.arrivals, s.To)
		incarnation := n.incarnation
		n.simulation.after(linkResetAfter, func() {
			n.do(incarnation, func() { n.instance.LinkReset(n.simulation.now, s.To) })
			n.deliverStale(to)
		})
	}
	from, incarnation := n.address, to.incarnation
	env := s.Envelope
	arrival := n.simulation.now.Add(delay)
	if last := n.arrivals[s.To]; last.After(arrival) {
		arrival = last
	}
	n.arrivals[s.To] = arrival
	n.simulation.at(arrival, func() {
		to.doFrom(from.String(), incarnation, func() {
			for _, job := range env.Jobs {
				delete(to.ended, job.Id)
			}
			to.instance.Receive(n.simulation.now, from, env)
		})
	})
}

// sendCommand delivers a command to a worker and returns its answer.
func (n *simulatedInstance) sendCommand(incarnation int, command dispatch.Command, execute func(*fakeWorker) dispatch.Outcome, done func(dispatch.Outcome, time.Duration)) {
	sim := n.simulation
	f := sim.worker(command.Worker)
	finish := func(outcome dispatch.Outcome, clock time.Duration) {
		n.do(incarnation, func() { done(outcome, clock) })
	}
	noAnswer := func() { sim.after(answerTimeout, func() { finish(dispatch.OutcomeUnknown, 0) }) }
	delay, arrives := sim.transit(n.name(), f.entry.ID)
	if !arrives || f.down {
		noAnswer()
		return
	}
	if sim.random.Float64() < sim.lateCommands {
		sim.counts.late++
		noAnswer()
		sim.after(time.Duration(sim.random.IntN(12_000))*time.Millisecond, func() {
			if !f.down {
				execute(f)
			}
		})
		return
	}
	sim.after(delay, func() {
		if f.down {
			noAnswer()
			return
		}
		f.checkTerm(n, command.Term)
		outcome, clock := execute(f), f.clock().Truncate(time.Millisecond)
		back, arrives := sim.transit(f.entry.ID, n.name())
		if !arrives || sim.answerLost(f) {
			noAnswer()
			return
		}
		sim.after(back, func() { finish(outcome, clock) })
	})
}

// sendPoll delivers a poll to a worker, which waits for a run to end.
func (n *simulatedInstance) sendPoll(incarnation int, poll dispatch.Poll) {
	sim := n.simulation
	f := sim.worker(poll.Worker)
	finish := func(report dispatch.Report, outcome dispatch.Outcome) {
		n.do(incarnation, func() { n.instance.PollDone(sim.now, poll, report, outcome) })
	}
	noAnswer := func() {
		sim.after(answerTimeout+poll.Wait, func() { finish(dispatch.Report{}, dispatch.OutcomeUnknown) })
	}
	delay, arrives := sim.transit(n.name(), f.entry.ID)
	if !arrives || f.down {
		noAnswer()
		return
	}
	sim.after(delay, func() {
		if f.down {
			noAnswer()
			return
		}
		f.checkTerm(n, poll.Term)
		outcome := f.poll(poll)
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			report := f.report()
			back, arrives := sim.transit(f.entry.ID, n.name())
			if !arrives || f.down || sim.lostPolls && sim.answerLost(f) {
				noAnswer()
				return
			}
			sim.after(back, func() { finish(report, outcome) })
		}
		if outcome != dispatch.Accepted || poll.Wait == 0 || len(f.ends) > 0 {
			answer()
			return
		}
		f.waiting = append(f.waiting, func() { sim.after(0, answer) })
		sim.after(poll.Wait, answer)
	})
}
