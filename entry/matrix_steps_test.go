package entry_test

import (
	"net/netip"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A step is an event of a scenario at which faults are injected: the first event for
// which reachedBy returns true.
type step struct {
	name      string
	reachedBy func(c *matrixCase, ev event) bool
}

// eventAt matches any event of a kind at an instance.
func eventAt(kind eventKind, at netip.AddrPort) func(*matrixCase, event) bool {
	return func(_ *matrixCase, ev event) bool { return ev.kind == kind && ev.at == at }
}

// carries matches the sending or the receipt, as kind says, of an envelope at an
// instance, if has returns true for the event.
func carries(kind eventKind, at netip.AddrPort, has func(c *matrixCase, ev event) bool) func(*matrixCase, event) bool {
	return func(c *matrixCase, ev event) bool { return ev.kind == kind && ev.at == at && has(c, ev) }
}

// isJob reports whether key is the key of the test case's job.
func isJob(c *matrixCase, key []byte) bool {
	var k caller.Key
	return k.UnmarshalBinary(key) == nil && k == c.job.Key
}

// The functions named has and a kind of content report whether the event's envelope has
// content of that kind. Except for hasReleased, the content must belong to the test
// case's job.

func hasSubmit(c *matrixCase, ev event) bool {
	for _, s := range ev.env.Submits {
		if isJob(c, s.Key) {
			return true
		}
	}
	return false
}

func hasAnswer(c *matrixCase, ev event) bool {
	for _, a := range ev.env.Answers {
		if isJob(c, a.Key) {
			return true
		}
	}
	return false
}

func hasRun(c *matrixCase, ev event) bool {
	for _, r := range ev.env.Runs {
		if isJob(c, r.Key) {
			return true
		}
	}
	return false
}

func hasRunToHolder(c *matrixCase, ev event) bool { return ev.peer == holderRole && hasRun(c, ev) }

func hasResult(c *matrixCase, ev event) bool {
	for _, r := range ev.env.Results {
		if isJob(c, r.Key) && r.Outcome == peer.Outcome_OUTCOME_DONE {
			return true
		}
	}
	return false
}

// hasReturnedTask reports whether the envelope returns a task of the job as not started.
func hasReturnedTask(c *matrixCase, ev event) bool {
	for _, r := range ev.env.Results {
		if isJob(c, r.Key) && r.Outcome == peer.Outcome_OUTCOME_NOT_STARTED {
			return true
		}
	}
	return false
}

// hasCancel matches a Cancel of the job: its owner's report that the job is settled if
// settled is true, and a caller's cancellation otherwise.
func hasCancel(settled bool) func(c *matrixCase, ev event) bool {
	return func(c *matrixCase, ev event) bool {
		for _, e := range ev.env.Cancels {
			if isJob(c, e.Key) && e.Settled == settled {
				return true
			}
		}
		return false
	}
}

func hasReleased(_ *matrixCase, ev event) bool { return len(ev.env.Released) > 0 }

// fromJoiner reports whether the envelope comes from the joiner.
func fromJoiner(_ *matrixCase, ev event) bool { return ev.peer == joinerRole }
