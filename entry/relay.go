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
	// request is this instance's number for the submission.
	request uint64
	job     caller.Job
	caller  CallerID
	// deadline is when the caller is told that the outcome is unknown.
	deadline time.Time
}

// relayGrace is the time beyond a job's timeout that its owner has to answer.
const relayGrace = 2 * time.Second

// defaultRelayTimeout bounds the wait for a job that names no timeout and whose
// route is not known here.
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
	i.requests++
	r := &relay{request: i.requests, job: job, caller: id, deadline: now.Add(i.relayTimeout(job) + relayGrace)}
	i.relays[r.request] = r
	i.sendSubmit(now, r)
}

// relayTimeout returns the time that a job's owner has for the job.
func (i *Instance) relayTimeout(job caller.Job) time.Duration {
	if job.Timeout > 0 {
		return job.Timeout
	}
	if i.tables != nil {
		if route, ok := i.tables.Route(job.Route); ok {
			return route.Timeout
		}
	}
	return defaultRelayTimeout
}

// unreachable says why a key's owner cannot be asked, if it cannot.
func (i *Instance) unreachable(key caller.Key) (caller.Reason, bool) {
	if i.members.Ended(key.Owner, key.Incarnation) {
		return caller.ReasonOwnerGone, true
	}
	if i.members.Incarnation(key.Owner) == 0 {
		return caller.ReasonOwnerUnreachable, true
	}
	return "", false
}

func (i *Instance) sendSubmit(now time.Time, r *relay) {
	box := i.outbox(r.job.Key.Owner)
	box.env.Submits = append(box.env.Submits, &peer.Submit{
		Request:      r.request,
		Key:          keyBytes(r.job.Key),
		Route:        r.job.Route,
		TimeoutNanos: int64(min(r.job.Timeout, r.deadline.Sub(now))),
		Tasks:        r.job.Tasks,
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
	box.hurry(now)
}

// relayed passes an owner's answer on to the caller that waits for it.
func (i *Instance) relayed(request uint64, a caller.Answer) {
	r := i.relays[request]
	if r == nil || r.job.Key != a.Key {
		return
	}
	delete(i.relays, request)
	i.answerCaller(r.caller, a)
}

// expireRelays answers the callers whose owners have not answered in time or
// have ended.
func (i *Instance) expireRelays(now time.Time) {
	var due []uint64
	for request, r := range i.relays {
		if !now.Before(r.deadline) || i.members.Ended(r.job.Key.Owner, r.job.Key.Incarnation) {
			due = append(due, request)
		}
	}
	slices.Sort(due)
	for _, request := range due {
		key := i.relays[request].job.Key
		reason := caller.ReasonOwnerUnreachable
		if i.members.Ended(key.Owner, key.Incarnation) {
			reason = caller.ReasonOwnerGone
		}
		i.relayed(request, caller.Answer{Key: key, Status: caller.Unknown, Reason: reason})
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
