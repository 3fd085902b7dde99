package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A relay is a submission that waits at this instance for its key's owner.
type relay struct {
	job     caller.Job
	callers []CallerID
	// deadline is when the callers are told that the outcome is unknown.
	deadline time.Time
}

// relayGrace is the time beyond a job's timeout that its owner has to answer.
const relayGrace = 2 * time.Second

// defaultRelayTimeout bounds the wait for a job that names no timeout.
const defaultRelayTimeout = 2 * time.Minute

// IssueKey returns a new submission key for a caller, or false if the instance is leaving.
func (i *Instance) IssueKey(now time.Time) (caller.Key, bool) {
	if i.leaving {
		return caller.Key{}, false
	}
	i.issued = now
	return i.keys.Issue(now), true
}

// Submit takes a job from a caller. Exactly one answer follows.
func (i *Instance) Submit(now time.Time, id CallerID, job caller.Job) {
	i.counts.Submitted++
	if job.Key.IsZero() {
		if i.leaving {
			i.answerCaller(id, caller.Answer{Status: caller.NotRun, Reason: caller.ReasonLeaving})
			return
		}
		job.Key = i.keys.Issue(now)
	}
	if job.Key.Owner == i.cfg.Self {
		i.own(now, waiter{caller: id}, job)
		return
	}
	i.relay(now, id, job)
}

// relay passes a job on to its key's owner.
func (i *Instance) relay(now time.Time, id CallerID, job caller.Job) {
	if reason, ok := i.unreachable(job.Key); ok {
		i.answerCaller(id, caller.Answer{Key: job.Key, Status: caller.Unknown, Reason: reason})
		return
	}
	r := i.relays[job.Key]
	if r == nil {
		r = &relay{job: job}
		i.relays[job.Key] = r
	}
	r.callers = append(r.callers, id)
	timeout := job.Timeout
	if timeout == 0 {
		timeout = defaultRelayTimeout
	}
	r.deadline = now.Add(timeout + relayGrace)
	// A repeat may differ from the first one; the owner is to judge it.
	i.sendSubmit(now, r, job)
}

// unreachable says why a key's owner cannot be asked, if it cannot.
func (i *Instance) unreachable(key caller.Key) (caller.Reason, bool) {
	if i.members.Ended(key.Owner, key.Incarnation) {
		return caller.ReasonOwnerGone, true
	}
	if i.members.Incarnation(key.Owner) == 0 {
		return caller.ReasonOwner, true
	}
	return "", false
}

func (i *Instance) sendSubmit(now time.Time, r *relay, job caller.Job) {
	box := i.outbox(job.Key.Owner)
	box.env.Submits = append(box.env.Submits, &peer.Submit{
		Key:          keyBytes(job.Key),
		Route:        job.Route,
		TimeoutNanos: int64(min(job.Timeout, r.deadline.Sub(now))),
		Tasks:        job.Tasks,
	})
	box.urgent = true
}

// Cancel ends the submission of a key, on behalf of a caller.
func (i *Instance) Cancel(now time.Time, key caller.Key) {
	if key.Owner == i.cfg.Self {
		i.cancelOwned(now, key)
		return
	}
	box := i.outbox(key.Owner)
	box.env.Cancels = append(box.env.Cancels, &peer.Cancel{Key: keyBytes(key)})
	box.urgent = true
}

// relayed passes an owner's answer on to the callers that wait for it.
func (i *Instance) relayed(a caller.Answer) {
	r := i.relays[a.Key]
	if r == nil {
		return
	}
	delete(i.relays, a.Key)
	for _, id := range r.callers {
		i.answerCaller(id, a)
	}
}

// expireRelays answers the callers whose owners have not answered in time or
// have ended.
func (i *Instance) expireRelays(now time.Time) {
	var due []caller.Answer
	for key, r := range i.relays {
		if i.members.Ended(key.Owner, key.Incarnation) {
			due = append(due, caller.Answer{Key: key, Status: caller.Unknown, Reason: caller.ReasonOwnerGone})
		} else if !now.Before(r.deadline) {
			due = append(due, caller.Answer{Key: key, Status: caller.Unknown, Reason: caller.ReasonOwner})
		}
	}
	slices.SortFunc(due, func(a, b caller.Answer) int { return compareKeys(a.Key, b.Key) })
	for _, a := range due {
		i.relayed(a)
	}
}

func compareKeys(a, b caller.Key) int {
	if c := a.Owner.Compare(b.Owner); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Serial, b.Serial)
}

func (i *Instance) answerCaller(id CallerID, a caller.Answer) {
	i.counts.answered(a.Status)
	i.effects.Answers = append(i.effects.Answers, CallerAnswer{Caller: id, Answer: a})
}
