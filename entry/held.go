package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// takeRun takes tasks from their owner at addr.
func (i *Instance) takeRun(now time.Time, addr netip.AddrPort, r *peer.Run) {
	key, ok := parseKey(r.Key)
	if !ok || key.Owner != addr {
		return
	}
	deadline := now.Add(time.Duration(r.TimeoutNanos))
	arrived := now.Add(-time.Duration(r.AgeNanos))
	h := i.heldJob(addr, key, r.Route)
	for _, t := range r.Tasks {
		i.hold(now, h, arrived, deadline, t)
	}
}

// heldJob returns what is known of a job whose owner is at addr.
func (i *Instance) heldJob(owner netip.AddrPort, key caller.Key, route string) *heldJob {
	h := i.held[key]
	if h == nil {
		h = &heldJob{key: key, owner: owner, route: route, tasks: make(map[uint32]*Task)}
		i.held[key] = h
	}
	return h
}

// hold takes one task from its owner. A task that is known at the same or a
// later attempt is not queued again.
func (i *Instance) hold(now time.Time, h *heldJob, arrived, deadline time.Time, in *peer.Task) {
	if h.settled {
		return
	}
	if t := h.tasks[in.Index]; t != nil {
		if t.attempt == in.Attempt && t.state == heldEnded {
			i.result(now, t)
		}
		if t.attempt >= in.Attempt || t.state != heldEnded || t.outcome != peer.Outcome_OUTCOME_NOT_STARTED {
			return
		}
	}
	t := &Task{job: h, index: in.Index, attempt: in.Attempt, payload: in.Payload, deadline: deadline}
	h.tasks[in.Index] = t
	p := i.poolOf(h.route)
	if p == nil || i.leaving {
		i.ended(now, t, peer.Outcome_OUTCOME_NOT_STARTED, nil)
		return
	}
	h.pool = p.name
	p.holding.Push(now, backend.Task[*Task]{
		ID:       t,
		Route:    h.route,
		Index:    int(in.Index),
		Arrived:  arrived,
		Deadline: deadline,
	})
}

// startHeld decides which waiting tasks start now.
func (i *Instance) startHeld(now time.Time) {
	for _, name := range sorted(i.pools) {
		p := i.pools[name]
		for {
			s, ok := p.holding.Next(now)
			if !ok {
				break
			}
			i.start(now, s)
		}
	}
}

// start makes the effect that starts a task. It is made once an attempt.
func (i *Instance) start(now time.Time, s backend.Start[*Task]) {
	t := s.ID
	t.state = heldRunning
	t.server = s.Server
	t.job.running++
	i.counts.Starts++
	i.effects.Starts = append(i.effects.Starts, Start{
		Task:    t,
		Server:  s.Server,
		Key:     t.job.key,
		Index:   int(t.index),
		Attempt: int(t.attempt),
		Route:   t.job.route,
		Payload: t.payload,
		Decided: now,
		Timeout: max(t.deadline.Sub(now), 0),
	})
}

// TaskDone takes the outcome of a Start.
func (i *Instance) TaskDone(now time.Time, t *Task, o backend.Outcome) {
	if p := i.pools[t.job.pool]; p != nil {
		p.holding.Done(now, t, o)
		i.tellNext(p, t.server)
	}
	t.job.running--
	switch o.Kind {
	case backend.Done:
		i.ended(now, t, peer.Outcome_OUTCOME_DONE, o.Body)
	case backend.Failed:
		i.ended(now, t, peer.Outcome_OUTCOME_FAILED, o.Body)
	case backend.NotStarted:
		i.counts.NotStarted++
		i.ended(now, t, peer.Outcome_OUTCOME_NOT_STARTED, nil)
	default:
		i.ended(now, t, peer.Outcome_OUTCOME_LOST, nil)
	}
}

// ended records what became of a task and tells its owner.
func (i *Instance) ended(now time.Time, t *Task, outcome peer.Outcome, body []byte) {
	t.state = heldEnded
	t.outcome = outcome
	t.body = body
	t.payload = nil
	if t.job.settled {
		i.dropSettled(t.job)
		return
	}
	i.result(now, t)
}

// result tells a task's owner what became of it.
func (i *Instance) result(now time.Time, t *Task) {
	if t.job.owner == i.cfg.Self {
		if j := i.jobs[t.job.key]; j != nil {
			i.settleHere(now, j, t)
		}
		return
	}
	box := i.outbox(t.job.owner)
	box.env.Results = append(box.env.Results, &peer.Result{
		Key:     keyBytes(t.job.key),
		Index:   t.index,
		Attempt: t.attempt,
		Outcome: t.outcome,
		Body:    t.body,
	})
	box.urgent = true
}

// settleHere applies the outcome of a task that this instance both owns and
// holds.
func (i *Instance) settleHere(now time.Time, j *job, t *Task) {
	at := &j.tasks[t.index]
	if at.state == taskGiven && at.attempt == t.attempt && at.holder == i.cfg.Self {
		i.settleTask(now, j, int(t.index), t.outcome, t.body)
	}
}

// takeCancel takes the end of a job from its owner, or a caller's wish to end
// it from an entry instance.
func (i *Instance) takeCancel(now time.Time, addr netip.AddrPort, c *peer.Cancel) {
	key, ok := parseKey(c.Key)
	if !ok {
		return
	}
	if !c.Settled {
		i.cancelOwned(now, key)
		return
	}
	if h := i.held[key]; h != nil && h.owner == addr {
		i.forgetHeld(h)
	}
}

// settleHeld forgets a job that this instance both owns and holds.
func (i *Instance) settleHeld(_ time.Time, key caller.Key) {
	if h := i.held[key]; h != nil {
		i.forgetHeld(h)
	}
}

// forgetHeld drops the tasks of a job that have not started, and the job once
// the others have ended.
func (i *Instance) forgetHeld(h *heldJob) {
	h.settled = true
	if p := i.pools[h.pool]; p != nil {
		for _, t := range h.tasks {
			if t.state == heldWaiting && p.holding.Remove(t) {
				t.state = heldEnded
				t.payload = nil
			}
		}
	}
	i.dropSettled(h)
}

func (i *Instance) dropSettled(h *heldJob) {
	if h.running == 0 {
		delete(i.held, h.key)
	}
}

// expireHeld ends the tasks that can no longer be answered in time.
func (i *Instance) expireHeld(now time.Time) {
	for _, name := range sorted(i.pools) {
		for _, t := range i.pools[name].holding.RemoveOverdue(now) {
			i.ended(now, t, peer.Outcome_OUTCOME_OVERDUE, nil)
		}
	}
}

// returnHeld gives the waiting tasks of a pool back to their owners.
func (i *Instance) returnHeld(now time.Time, p *pool) {
	for _, key := range sortedKeys(i.held) {
		h := i.held[key]
		if h == nil || h.pool != p.name {
			continue
		}
		for _, index := range sorted(h.tasks) {
			t := h.tasks[index]
			if t.state == heldWaiting && p.holding.Remove(t) {
				i.ended(now, t, peer.Outcome_OUTCOME_NOT_STARTED, nil)
			}
		}
	}
}

// holdsTasks reports whether a task of a job that is not settled waits or runs
// here.
func (i *Instance) holdsTasks() bool {
	for _, h := range i.held {
		for _, t := range h.tasks {
			if t.state != heldEnded {
				return true
			}
		}
	}
	return false
}
