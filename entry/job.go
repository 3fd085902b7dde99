package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A taskState is the state of a task at its job's owner.
type taskState uint8

const (
	// taskWaiting means that the task is not assigned to a holder.
	taskWaiting taskState = iota
	// taskAssigned means that the task is assigned to a holder, which may
	// start it.
	taskAssigned
	// taskDone means that the task ran and succeeded.
	taskDone
)

// A jobTask is the owner's view of a task.
type jobTask struct {
	state taskState
	// attempt counts the assignments of the task, and holder is the instance
	// of the last one.
	attempt uint32
	holder  netip.AddrPort
}

// A job is a submission that this instance owns and that has not ended.
type job struct {
	key      caller.Key
	route    operator.Route
	arrived  time.Time
	deadline time.Time
	payloads [][]byte
	results  [][]byte
	tasks    []jobTask
	// next is the index of the first task that was never assigned.
	next int
	// returned holds the indexes of the waiting tasks that holders returned
	// without having started them.
	returned []int
	// assigned and done count the tasks in the states taskAssigned and
	// taskDone.
	assigned int
	done     int
	// holders holds the holders to which a task of the job was ever assigned.
	holders map[netip.AddrPort]bool
	// notBefore is the time before which none of the job's tasks is assigned.
	// It is set whenever a holder returns a task.
	notBefore time.Time
	// queued is set while the job is in its route's queue. Its index in the
	// queue's heap is then heapIndex, and due is the time by which the heap
	// orders it.
	queued    bool
	heapIndex int
	due       time.Time
}

// waiting returns the number of tasks that are not assigned and not done.
func (j *job) waiting() int { return len(j.tasks) - j.next + len(j.returned) }

// started reports whether a task of the job may have started.
func (j *job) started() bool { return j.assigned > 0 || j.done > 0 }

// popTask removes and returns the index of the next task to be assigned. It panics
// if no task waits.
func (j *job) popTask() int {
	if n := len(j.returned); n > 0 {
		index := j.returned[n-1]
		j.returned = j.returned[:n-1]
		return index
	}
	j.next++
	return j.next - 1
}

// submitOwned handles a submission whose key was issued by this instance.
func (i *Instance) submitOwned(now time.Time, w waiter, in caller.Job) {
	if err := i.keys.Verify(in.Key); err != nil {
		i.answer(w, refusedKey(in.Key, err))
		return
	}
	decision, answer := i.submissions.Submit(now, in, w)
	switch decision {
	case caller.Answered:
		i.answer(w, answer)
	case caller.Accept:
		i.admit(now, in)
	}
}

// accept creates the job of an admitted submission and queues it.
func (i *Instance) accept(now time.Time, in caller.Job, route operator.Route, timeout time.Duration) {
	j := &job{
		key:      in.Key,
		route:    route,
		arrived:  now,
		deadline: now.Add(timeout),
		payloads: in.Tasks,
		results:  make([][]byte, len(in.Tasks)),
		tasks:    make([]jobTask, len(in.Tasks)),
		holders:  make(map[netip.AddrPort]bool),
	}
	i.jobs[j.key] = j
	i.counts.Accepted++
	if len(j.tasks) == 0 {
		i.complete(now, j)
		return
	}
	i.enqueue(j)
}

// receiveResult handles the outcome of a task from its holder at addr. It ignores
// the outcomes of other attempts and from other holders.
func (i *Instance) receiveResult(now time.Time, addr netip.AddrPort, r *peer.Result) {
	key, ok := parseKey(r.Key)
	if !ok {
		return
	}
	j := i.jobs[key]
	if j == nil || int(r.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[r.Index]
	if t.state != taskAssigned || t.attempt != r.Attempt || t.holder != addr {
		return
	}
	i.applyOutcome(now, j, int(r.Index), r.Outcome, r.Body)
}

// applyOutcome applies the outcome of an assigned task to its job.
func (i *Instance) applyOutcome(now time.Time, j *job, index int, outcome peer.Outcome, body []byte) {
	t := &j.tasks[index]
	if outcome == peer.Outcome_OUTCOME_DONE || outcome == peer.Outcome_OUTCOME_FAILED {
		i.queue(j.route).completions.add()
	}
	switch outcome {
	case peer.Outcome_OUTCOME_DONE:
		t.state = taskDone
		j.assigned--
		j.done++
		if body == nil {
			body = []byte{}
		}
		j.results[index] = body
		if j.done == len(j.tasks) {
			i.complete(now, j)
		}
	case peer.Outcome_OUTCOME_NOT_STARTED:
		i.requeue(now, j, index)
	case peer.Outcome_OUTCOME_OVERDUE:
		t.state = taskWaiting
		j.assigned--
		i.abort(now, j, caller.ReasonTimeout, "a task could no longer end within the job's time")
	case peer.Outcome_OUTCOME_FAILED:
		i.fail(now, j, caller.ReasonTaskFailed, string(body))
	default:
		i.fail(now, j, caller.ReasonOutcomeLost, "a task may have started and its outcome is lost")
	}
}

// Pauses before a returned task is assigned again: none after the first attempt,
// then returnPause times 2^(attempt-1), at most maxReturnPause.
const (
	returnPause    = 5 * time.Millisecond
	maxReturnPause = 500 * time.Millisecond
)

// requeue makes a task that is proved not to have started available for another
// assignment. Until the pause above has passed, no task of the job is assigned.
func (i *Instance) requeue(now time.Time, j *job, index int) {
	t := &j.tasks[index]
	t.state = taskWaiting
	j.assigned--
	j.returned = append(j.returned, index)
	i.counts.Returned++
	pause := min(returnPause<<min(t.attempt-1, 10), maxReturnPause)
	if t.attempt == 1 {
		pause = 0
	}
	j.notBefore = now.Add(pause)
	if j.queued {
		i.queue(j.route).waiting++
		return
	}
	i.enqueue(j)
}

// holderGone fails j if a task of it is assigned to the holder at addr, which has
// ended: the task may have started.
func (i *Instance) holderGone(now time.Time, j *job, addr netip.AddrPort) {
	for index := range j.tasks {
		if j.tasks[index].state == taskAssigned && j.tasks[index].holder == addr {
			i.fail(now, j, caller.ReasonOutcomeLost, "the instance that held a task has ended")
			return
		}
	}
}

// resendRuns sends once more the tasks of j that are assigned to the holder at addr,
// because the envelopes with them may have been lost.
func (i *Instance) resendRuns(now time.Time, j *job, addr netip.AddrPort) {
	if addr == i.cfg.Self || !now.Before(j.deadline) {
		return
	}
	for index := range j.tasks {
		if t := j.tasks[index]; t.state == taskAssigned && t.holder == addr {
			i.sendRun(now, j, index)
		}
	}
}

// expireJobs aborts the jobs whose deadlines have passed.
func (i *Instance) expireJobs(now time.Time) {
	var due []*job
	for _, j := range i.jobs {
		if !now.Before(j.deadline) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int { return compareKeys(a.key, b.key) })
	for _, j := range due {
		i.abort(now, j, caller.ReasonTimeout, "the job's timeout passed")
	}
}

// cancelOwned aborts an owned job on behalf of its caller. It does nothing if the
// job has ended or never arrived.
func (i *Instance) cancelOwned(now time.Time, key caller.Key) {
	if j := i.jobs[key]; j != nil {
		i.counts.Cancelled++
		i.abort(now, j, caller.ReasonCancelled, "the caller cancelled the job")
	}
}

// abort ends a job before it is complete. Its status is not-run if no task of it
// may have started, and failed otherwise.
func (i *Instance) abort(now time.Time, j *job, reason caller.Reason, message string) {
	if j.started() {
		i.fail(now, j, reason, message)
		return
	}
	i.end(now, j, caller.Answer{Key: j.key, Status: caller.NotRun, Reason: reason, Message: message})
}

// fail ends a job whose tasks may have started.
func (i *Instance) fail(now time.Time, j *job, reason caller.Reason, message string) {
	i.end(now, j, caller.Answer{Key: j.key, Status: caller.Failed, Reason: reason, Message: message})
}

// complete ends a job all of whose tasks have succeeded.
func (i *Instance) complete(now time.Time, j *job) {
	i.end(now, j, caller.Answer{Key: j.key, Status: caller.Complete, Results: j.results})
}

// end records the answer of a job and sends it to all that wait for it. It reports to
// the holders that the job is settled: they drop its waiting tasks and need not
// report further results.
func (i *Instance) end(now time.Time, j *job, a caller.Answer) {
	delete(i.jobs, j.key)
	i.dequeue(j)
	for _, w := range i.submissions.Finish(now, j.key, a) {
		i.answer(w, a)
	}
	unfinished := j.assigned > 0
	for _, addr := range sortedAddrs(j.holders) {
		if addr == i.cfg.Self {
			i.settleLocal(now, j.key)
			continue
		}
		i.sendSettled(addr, j.key)
		if unfinished {
			// The holder then drops the job's waiting tasks soon rather than
			// at the next heartbeat.
			i.outbox(addr).sendSoon(now)
		}
	}
}

// answer sends an answer to a waiter, through the relaying instance if there is one.
func (i *Instance) answer(w waiter, a caller.Answer) {
	if w.caller != 0 {
		i.answerCaller(w.caller, a)
		return
	}
	box := i.outbox(w.peer)
	box.env.Answers = append(box.env.Answers, &peer.Answer{
		Request:         w.request,
		Key:             keyBytes(a.Key),
		Status:          string(a.Status),
		Reason:          string(a.Reason),
		Message:         a.Message,
		RetryAfterNanos: int64(a.RetryAfter),
		Results:         a.Results,
	})
	box.urgent = true
}

// refusedKey returns the answer to a submission whose key failed its verification
// with err.
func refusedKey(key caller.Key, err error) caller.Answer {
	a := caller.Answer{Key: key, Status: caller.Unknown, Reason: caller.ReasonMalformedKey, Message: err.Error()}
	var fault *caller.KeyError
	if errors.As(err, &fault) && fault.Fault == caller.KeyOtherIncarnation {
		a.Reason = caller.ReasonOwnerGone
	}
	return a
}
