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
	// taskWaiting means that no holder has the task.
	taskWaiting taskState = iota
	// taskGiven means that a holder has the task and may start it.
	taskGiven
	// taskDone means that the task ran and succeeded.
	taskDone
)

// A jobTask is a task at its job's owner.
type jobTask struct {
	state   taskState
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
	// next is the first task that was never given to a holder.
	next int
	// returned holds the tasks that came back without having started.
	returned []int
	// given and done count the tasks in those states.
	given int
	done  int
	// holders holds the holders that were ever given a task of the job.
	holders map[netip.AddrPort]bool
	// notBefore is when a returned task may be given out again.
	notBefore time.Time
	// queued says that the job is in its route's queue, at the place at, with
	// its next task due by the time due.
	queued bool
	at     int
	due    time.Time
}

// waiting returns the number of tasks that no holder has.
func (j *job) waiting() int { return len(j.tasks) - j.next + len(j.returned) }

// started reports whether a task of the job may have started.
func (j *job) started() bool { return j.given > 0 || j.done > 0 }

// take returns the next task to be given out. It panics if none waits.
func (j *job) take() int {
	if n := len(j.returned); n > 0 {
		index := j.returned[n-1]
		j.returned = j.returned[:n-1]
		return index
	}
	j.next++
	return j.next - 1
}

// own takes a submission whose key names this instance.
func (i *Instance) own(now time.Time, w waiter, in caller.Job) {
	if err := i.keys.Verify(in.Key); err != nil {
		i.answer(w, refusedKey(in.Key, err))
		return
	}
	decision, answer := i.book.Submit(now, in, w)
	switch decision {
	case caller.Answered:
		i.answer(w, answer)
	case caller.Accept:
		i.admit(now, in)
	}
}

// begin makes a job of an admitted submission and queues it.
func (i *Instance) begin(now time.Time, in caller.Job, route operator.Route, timeout time.Duration) {
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

// takeResult takes what became of a task from its holder at addr.
func (i *Instance) takeResult(now time.Time, addr netip.AddrPort, r *peer.Result) {
	key, ok := parseKey(r.Key)
	if !ok {
		return
	}
	j := i.jobs[key]
	if j == nil || int(r.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[r.Index]
	if t.state != taskGiven || t.attempt != r.Attempt || t.holder != addr {
		return
	}
	i.settleTask(now, j, int(r.Index), r.Outcome, r.Body)
}

// settleTask applies the outcome of a given task to its job.
func (i *Instance) settleTask(now time.Time, j *job, index int, outcome peer.Outcome, body []byte) {
	t := &j.tasks[index]
	if outcome == peer.Outcome_OUTCOME_DONE || outcome == peer.Outcome_OUTCOME_FAILED {
		i.queue(j.route).completions.ran()
	}
	switch outcome {
	case peer.Outcome_OUTCOME_DONE:
		t.state = taskDone
		j.given--
		j.done++
		if body == nil {
			body = []byte{}
		}
		j.results[index] = body
		if j.done == len(j.tasks) {
			i.complete(now, j)
		}
	case peer.Outcome_OUTCOME_NOT_STARTED:
		i.takeBack(now, j, index)
	case peer.Outcome_OUTCOME_OVERDUE:
		t.state = taskWaiting
		j.given--
		i.giveUp(now, j, caller.ReasonTimeout, "a task could no longer end within the job's time")
	case peer.Outcome_OUTCOME_FAILED:
		i.fail(now, j, caller.ReasonTaskFailed, string(body))
	default:
		i.fail(now, j, caller.ReasonOutcomeLost, "a task may have started and its outcome is lost")
	}
}

// Pauses before a task that came back is given out again.
const (
	returnPause    = 5 * time.Millisecond
	maxReturnPause = 500 * time.Millisecond
)

// takeBack queues a task again that is proved not to have started.
func (i *Instance) takeBack(now time.Time, j *job, index int) {
	t := &j.tasks[index]
	t.state = taskWaiting
	j.given--
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

// holderGone gives up the tasks of j that the holder at addr had: they may have
// started.
func (i *Instance) holderGone(now time.Time, j *job, addr netip.AddrPort) {
	for index := range j.tasks {
		if j.tasks[index].state == taskGiven && j.tasks[index].holder == addr {
			i.fail(now, j, caller.ReasonOutcomeLost, "the instance that held a task has ended")
			return
		}
	}
}

// runAgain asks the holder at addr again for the tasks of j that it has.
func (i *Instance) runAgain(now time.Time, j *job, addr netip.AddrPort) {
	if addr == i.cfg.Self || !now.Before(j.deadline) {
		return
	}
	for index := range j.tasks {
		if t := j.tasks[index]; t.state == taskGiven && t.holder == addr {
			i.sendRun(now, j, index)
		}
	}
}

// expireJobs ends the jobs whose time is over.
func (i *Instance) expireJobs(now time.Time) {
	var due []*job
	for _, j := range i.jobs {
		if !now.Before(j.deadline) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int { return compareKeys(a.key, b.key) })
	for _, j := range due {
		i.giveUp(now, j, caller.ReasonTimeout, "the job's timeout passed")
	}
}

// cancelOwned ends a job on behalf of its caller.
func (i *Instance) cancelOwned(now time.Time, key caller.Key) {
	if j := i.jobs[key]; j != nil {
		i.counts.Cancelled++
		i.giveUp(now, j, caller.ReasonCancelled, "the caller cancelled the job")
	}
}

// giveUp ends a job before its answer is whole. The job has not run if no
// holder has a task of it.
func (i *Instance) giveUp(now time.Time, j *job, reason caller.Reason, message string) {
	if j.started() {
		i.fail(now, j, reason, message)
		return
	}
	i.end(now, j, caller.Answer{Key: j.key, Status: caller.NotRun, Reason: reason, Message: message})
}

func (i *Instance) fail(now time.Time, j *job, reason caller.Reason, message string) {
	i.end(now, j, caller.Answer{Key: j.key, Status: caller.Failed, Reason: reason, Message: message})
}

func (i *Instance) complete(now time.Time, j *job) {
	i.end(now, j, caller.Answer{Key: j.key, Status: caller.Complete, Results: j.results})
}

// end records a job's answer, gives it to those who wait for it and lets the
// holders forget the job.
func (i *Instance) end(now time.Time, j *job, a caller.Answer) {
	delete(i.jobs, j.key)
	i.dequeue(j)
	for _, w := range i.book.Finish(now, j.key, a) {
		i.answer(w, a)
	}
	unfinished := j.given > 0
	for _, addr := range sortedAddrs(j.holders) {
		if addr == i.cfg.Self {
			i.settleHeld(now, j.key)
			continue
		}
		i.settle(addr, j.key)
		if unfinished {
			// The tasks that wait there are to free their places soon.
			i.outbox(addr).hurry(now)
		}
	}
}

// answer passes an answer to a waiter.
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

// refusedKey is the answer to a key that this incarnation has not issued.
func refusedKey(key caller.Key, err error) caller.Answer {
	a := caller.Answer{Key: key, Status: caller.Unknown, Reason: caller.ReasonMalformedKey, Message: err.Error()}
	var fault *caller.KeyError
	if errors.As(err, &fault) && fault.Fault == caller.KeyOtherIncarnation {
		a.Reason = caller.ReasonOwnerGone
	}
	return a
}
