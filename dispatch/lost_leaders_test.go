package dispatch_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// leadsBoth delivers a heartbeat of an instance of the other zone that leads both zones.
func (s *scriptedInstance) leadsBoth(from netip.AddrPort, homeTerm, otherTerm uint64) {
	s.Receive(s.now, from, &peer.Envelope{
		Zone: otherZone, Incarnation: 1,
		Beat: &peer.Beat{
			Leads:         []*peer.Lead{{Zone: homeZone, Term: homeTerm}, {Zone: otherZone, Term: otherTerm}},
			LeaderPerZone: true, Weight: 1, TableRevision: 1,
		},
	})
	s.take()
}

// TestReturnedJobIsWithdrawnFromALeaderOfBothZones guards against a job that a leader keeps
// although its caller has left: the leader of the zone to which it was redirected leads the home
// zone, too, and nothing is received from it for so long that the job returns to the home zone.
// The job must still be withdrawn from it when it is heard again.
func TestReturnedJobIsWithdrawnFromALeaderOfBothZones(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, secondLeader, 2048)
	s.redirect("1")
	is.True(s.jobSent(secondLeader) != nil)
	for range 6 {
		s.leadsBoth(secondLeader, 4096, 2048)
		s.advance(50 * time.Millisecond)
	}
	s.advance(2200 * time.Millisecond) // nothing is received from any leader
	is.True(slices.ContainsFunc(s.effects.Decisions, func(d dispatch.Decision) bool { return d.Event == "job-redirect-returned" }))
	s.effects = dispatch.Effects{}
	s.Abandon(s.now, 1)
	s.advance(50 * time.Millisecond)
	for range 6 {
		s.leadsBoth(secondLeader, 4096, 2048)
		s.advance(50 * time.Millisecond)
	}
	is.True(s.hasWithdrawn(secondLeader, "1"))
}
