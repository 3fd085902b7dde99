package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// receiveRun handles tasks that their owner at addr has assigned to this
// instance. It ignores tasks of jobs that the peer does not own.
func (i *Instance) receiveRun(now time.Time, addr netip.AddrPort, r *peer.Run) {
	key, ok := parseKey(r.Key)
	if !ok || key.Owner != addr {
		return
	}
	deadline := now.Add(time.Duration(r.TimeoutNanos))
	arrived := now.Add(-time.Duration(r.AgeNanos))
	h := i.ensureHeldJob(addr, key, r.Route)
	for _, t := range r.Tasks {
		i.holdTask(now, h, arrived, deadline, t)
	}
}

// ensureHeldJob returns the record of the held job with the given key, and creates it
// if there is none. The owner's address and the route are those of the job.
func (i *Instance) ensureHeldJob(owner netip.AddrPort, key caller.Key, route string) *heldJob {
	h := i.held[key]
	if h == nil {
		h = &heldJob{key: key, owner: owner, route: route, tasks: make(map[uint32]*Task)}
		i.held[key] = h
	}
	return h
}

// holdTask queues a task that its owner has assigned to this instance. It ignores an
// attempt that is known already, but reports its outcome again if it has ended. A
// later attempt is queued only if the earlier one is proved not to have started. If
// this instance is leaving or the route has no pool, the task is returned at once as
// not started.
func (i *Instance) holdTask(now time.Time, h *heldJob, arrived, deadline time.Time, in *peer.Task) {
	if h.settled {
		return
	}
	if t := h.tasks[in.Index]; t != nil {
		if t.attempt == in.Attempt && t.state == heldEnded {
			i.reportResult(now, t)
		}
		if t.attempt >= in.Attempt || t.state != heldEnded || t.outcome != peer.Outcome_OUTCOME_NOT_STARTED {
			return
		}
	}
	t := &Task{job: h, index: in.Index, attempt: in.Attempt, payload: in.Payload, deadline: deadline}
	h.tasks[in.Index] = t
	p := i.poolOf(h.route)
	if p == nil || i.leaving {
		i.taskEnded(now, t, peer.Outcome_OUTCOME_NOT_STARTED, nil)
		return
	}
	h.pool = p.name
	p.scheduler.Push(now, backend.Task[*Task]{
		ID:       t,
		Route:    h.route,
		Index:    int(in.Index),
		Arrived:  arrived,
		Deadline: deadline,
	})
}

// startTasks starts the waiting tasks for which the pools have a slot at now.
func (i *Instance) startTasks(now time.Time) {
	for _, name := range sortedMapKeys(i.pools) {
		p := i.pools[name]
		for {
			s, ok := p.scheduler.Next(now)
			if !ok {
				break
			}
			i.startTask(now, s)
		}
	}
}

// startTask adds the effect that starts a task. It is called once per attempt.
func (i *Instance) startTask(now time.Time, s backend.Start[*Task]) {
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

// TaskDone handles the outcome o of the Start whose Task is t. It must be called
// exactly once per Start.
func (i *Instance) TaskDone(now time.Time, t *Task, o backend.Outcome) {
	if p := i.pools[t.job.pool]; p != nil {
		p.scheduler.Done(now, t, o)
		i.notifyNextHolder(p, t.server)
	}
	t.job.running--
	switch o.Kind {
	case backend.Done:
		i.taskEnded(now, t, peer.Outcome_OUTCOME_DONE, o.Body)
	case backend.Failed:
		i.taskEnded(now, t, peer.Outcome_OUTCOME_FAILED, o.Body)
	case backend.NotStarted:
		i.counts.NotStarted++
		i.taskEnded(now, t, peer.Outcome_OUTCOME_NOT_STARTED, nil)
	default:
		i.taskEnded(now, t, peer.Outcome_OUTCOME_LOST, nil)
	}
}

// taskEnded records the outcome of a task and reports it to the owner, unless the
// owner has settled the job.
func (i *Instance) taskEnded(now time.Time, t *Task, outcome peer.Outcome, body []byte) {
	t.state = heldEnded
	t.outcome = outcome
	t.body = body
	t.payload = nil
	if t.job.settled {
		i.dropSettled(t.job)
		return
	}
	i.reportResult(now, t)
}

// reportResult reports the outcome of a task to its owner.
func (i *Instance) reportResult(now time.Time, t *Task) {
	if t.job.owner == i.cfg.Self {
		if j := i.jobs[t.job.key]; j != nil {
			i.applyLocalOutcome(now, j, t)
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

// applyLocalOutcome applies the outcome of a task that this instance both owns
// and holds.
func (i *Instance) applyLocalOutcome(now time.Time, j *job, t *Task) {
	owned := &j.tasks[t.index]
	if owned.state == taskAssigned && owned.attempt == t.attempt && owned.holder == i.cfg.Self {
		i.applyOutcome(now, j, int(t.index), t.outcome, t.body)
	}
}

// receiveCancel handles a Cancel message: either the owner of a job reports that
// the job is settled, or an entry instance relays a caller's cancellation.
func (i *Instance) receiveCancel(now time.Time, addr netip.AddrPort, c *peer.Cancel) {
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

// settleLocal drops what this instance holds of a job that it also owns and that has
// ended.
func (i *Instance) settleLocal(_ time.Time, key caller.Key) {
	if h := i.held[key]; h != nil {
		i.forgetHeld(h)
	}
}

// forgetHeld marks a job as settled and drops its tasks that have not started.
// The record of the job is deleted once no task of it runs.
func (i *Instance) forgetHeld(h *heldJob) {
	h.settled = true
	if p := i.pools[h.pool]; p != nil {
		for _, t := range h.tasks {
			if t.state == heldWaiting && p.scheduler.Remove(t) {
				t.state = heldEnded
				t.payload = nil
			}
		}
	}
	i.dropSettled(h)
}

// dropSettled deletes the record of a settled job if no task of it runs.
func (i *Instance) dropSettled(h *heldJob) {
	if h.running == 0 {
		delete(i.held, h.key)
	}
}

// expireHeld drops the waiting tasks that can no longer end by their deadlines, and
// reports them to their owners as overdue.
func (i *Instance) expireHeld(now time.Time) {
	for _, name := range sortedMapKeys(i.pools) {
		for _, t := range i.pools[name].scheduler.RemoveOverdue(now) {
			i.taskEnded(now, t, peer.Outcome_OUTCOME_OVERDUE, nil)
		}
	}
}

// returnHeld returns the waiting tasks of a pool to their owners as not started.
func (i *Instance) returnHeld(now time.Time, p *pool) {
	for _, key := range sortedJobKeys(i.held) {
		h := i.held[key]
		if h == nil || h.pool != p.name {
			continue
		}
		for _, index := range sortedMapKeys(h.tasks) {
			t := h.tasks[index]
			if t.state == heldWaiting && p.scheduler.Remove(t) {
				i.taskEnded(now, t, peer.Outcome_OUTCOME_NOT_STARTED, nil)
			}
		}
	}
}

// hasHeldTasks reports whether any task waits or runs at this instance.
func (i *Instance) hasHeldTasks() bool {
	for _, h := range i.held {
		for _, t := range h.tasks {
			if t.state != heldEnded {
				return true
			}
		}
	}
	return false
}
