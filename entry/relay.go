package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A relay is a submission that this instance has passed on to its key's owner and
// that waits for the answer.
type relay struct {
	// request is this instance's request number of the submission.
	request uint64
	job     caller.Job
	caller  CallerID
	// deadline is when the caller is answered that the outcome is unknown, if
	// the owner has not answered by then.
	deadline time.Time
}

// relayGrace is the time after a job's timeout for which a relay still waits for the
// owner's answer.
const relayGrace = 2 * time.Second

// defaultRelayTimeout is the assumed timeout of a job that states none and whose
// route is not known to this instance.
const defaultRelayTimeout = 2 * time.Minute

// IssueKey returns a new submission key for a caller, or false if the instance is
// leaving.
func (i *Instance) IssueKey(now time.Time) (caller.Key, bool) {
	if i.leaving {
		return caller.Key{}, false
	}
	i.lastIssued = now
	return i.keys.Issue(now), true
}

// Submit handles a job from a caller, which gets exactly one answer. A job without a
// key gets a new one, or is answered as not-run if the instance is leaving.
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
		i.submitOwned(now, waiter{caller: id}, job)
		return
	}
	i.relay(now, id, job)
}

// relay passes a job on to the owner of its key.
func (i *Instance) relay(now time.Time, id CallerID, job caller.Job) {
	if reason, ok := i.ownerUnreachable(job.Key); ok {
		i.answerCaller(id, caller.Answer{Key: job.Key, Status: caller.Unknown, Reason: reason})
		return
	}
	i.lastRequest++
	r := &relay{request: i.lastRequest, job: job, caller: id, deadline: now.Add(i.relayTimeout(job) + relayGrace)}
	i.relays[r.request] = r
	i.sendSubmit(now, r)
}

// relayTimeout returns how long the owner of a job may take to end it, as far as this
// instance knows.
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

// ownerUnreachable returns true and the reason if the owner of a key cannot be
// reached.
func (i *Instance) ownerUnreachable(key caller.Key) (caller.Reason, bool) {
	if i.members.Ended(key.Owner, key.Incarnation) {
		return caller.ReasonOwnerGone, true
	}
	if i.members.Incarnation(key.Owner) == 0 {
		return caller.ReasonOwnerUnreachable, true
	}
	return "", false
}

// sendSubmit adds a relayed submission to the next envelope to its owner.
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

// Cancel cancels the job with the given key on behalf of a caller.
func (i *Instance) Cancel(now time.Time, key caller.Key) {
	if key.Owner == i.cfg.Self {
		i.cancelOwned(now, key)
		return
	}
	box := i.outbox(key.Owner)
	box.env.Cancels = append(box.env.Cancels, &peer.Cancel{Key: keyBytes(key)})
	box.sendSoon(now)
}

// answerRelay passes the answer to a relayed submission on to its caller. An answer
// with another key than that of the submission is ignored.
func (i *Instance) answerRelay(request uint64, a caller.Answer) {
	r := i.relays[request]
	if r == nil || r.job.Key != a.Key {
		return
	}
	delete(i.relays, request)
	i.answerCaller(r.caller, a)
}

// expireRelays answers the callers of relayed submissions whose owners have not
// answered in time or have ended.
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
		i.answerRelay(request, caller.Answer{Key: key, Status: caller.Unknown, Reason: reason})
	}
}

// compareKeys orders keys by owner, incarnation and serial number.
func compareKeys(a, b caller.Key) int {
	if c := a.Owner.Compare(b.Owner); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Serial, b.Serial)
}

// answerCaller sends an answer to a caller of this instance.
func (i *Instance) answerCaller(id CallerID, a caller.Answer) {
	i.counts.countAnswer(a.Status)
	i.effects.Answers = append(i.effects.Answers, CallerAnswer{Caller: id, Answer: a})
}
