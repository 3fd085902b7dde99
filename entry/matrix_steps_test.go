package entry_test

import (
	"net/netip"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A step is a point in a scenario at which faults strike.
type step struct {
	name string
	at   func(c *cell, p point) bool
}

// pointAt returns a step that is any point of a kind at an instance.
func pointAt(kind pointKind, at netip.AddrPort) func(*cell, point) bool {
	return func(_ *cell, p point) bool { return p.kind == kind && p.at == at }
}

// carries returns a step that is an envelope of some content, sent or received
// at an instance.
func carries(kind pointKind, at netip.AddrPort, has func(c *cell, p point) bool) func(*cell, point) bool {
	return func(c *cell, p point) bool { return p.kind == kind && p.at == at && has(c, p) }
}

func isJob(c *cell, key []byte) bool {
	var k caller.Key
	return k.UnmarshalBinary(key) == nil && k == c.job.Key
}

func hasSubmit(c *cell, p point) bool {
	for _, s := range p.env.Submits {
		if isJob(c, s.Key) {
			return true
		}
	}
	return false
}

func hasAnswer(c *cell, p point) bool {
	for _, a := range p.env.Answers {
		if isJob(c, a.Key) {
			return true
		}
	}
	return false
}

func hasRun(c *cell, p point) bool {
	for _, r := range p.env.Runs {
		if isJob(c, r.Key) {
			return true
		}
	}
	return false
}

func hasRunToHolder(c *cell, p point) bool { return p.peer == holderRole && hasRun(c, p) }

func hasResult(c *cell, p point) bool {
	for _, r := range p.env.Results {
		if isJob(c, r.Key) && r.Outcome == peer.Outcome_OUTCOME_DONE {
			return true
		}
	}
	return false
}

func hasReturn(c *cell, p point) bool {
	for _, r := range p.env.Results {
		if isJob(c, r.Key) && r.Outcome == peer.Outcome_OUTCOME_NOT_STARTED {
			return true
		}
	}
	return false
}

func hasCancel(settled bool) func(c *cell, p point) bool {
	return func(c *cell, p point) bool {
		for _, e := range p.env.Cancels {
			if isJob(c, e.Key) && e.Settled == settled {
				return true
			}
		}
		return false
	}
}

func hasReleased(_ *cell, p point) bool { return len(p.env.Released) > 0 }

func fromJoiner(_ *cell, p point) bool { return p.peer == joinerRole }
