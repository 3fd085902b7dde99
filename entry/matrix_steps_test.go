package entry_test

import (
	"net/netip"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A step is an event of a scenario at which faults are injected.
type step struct {
	name string
	at   func(c *matrixCase, ev event) bool
}

// eventAt matches any event of a kind at an instance.
func eventAt(kind eventKind, at netip.AddrPort) func(*matrixCase, event) bool {
	return func(_ *matrixCase, ev event) bool { return ev.kind == kind && ev.at == at }
}

// carries matches an envelope with the content has that is sent or received at an
// instance.
func carries(kind eventKind, at netip.AddrPort, has func(c *matrixCase, ev event) bool) func(*matrixCase, event) bool {
	return func(c *matrixCase, ev event) bool { return ev.kind == kind && ev.at == at && has(c, ev) }
}

// isJob reports whether key is the key of the test case's job.
func isJob(c *matrixCase, key []byte) bool {
	var k caller.Key
	return k.UnmarshalBinary(key) == nil && k == c.job.Key
}

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

// hasReturnedTask reports whether a task of the job is returned as not started.
func hasReturnedTask(c *matrixCase, ev event) bool {
	for _, r := range ev.env.Results {
		if isJob(c, r.Key) && r.Outcome == peer.Outcome_OUTCOME_NOT_STARTED {
			return true
		}
	}
	return false
}

// hasCancel matches a Cancel of the job: the report of its owner that it is settled, or
// a caller's cancellation.
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

func fromJoiner(_ *matrixCase, ev event) bool { return ev.peer == joinerRole }
