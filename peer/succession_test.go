package peer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestLeaderOfMoreZonesStaysDespiteAStaleClaim guards against two leaders that take a zone
// from each other without end: each counted the other one's zones by the claims that it knew,
// and the latest claim to a third zone was of a leader that was gone.
func TestLeaderOfMoreZonesStaysDespiteAStaleClaim(t *testing.T) {
	is := is.New(t)
	now := leadershipStart
	self, other, gone := netip.MustParseAddrPort("10.0.0.1:70"), netip.MustParseAddrPort("10.0.0.2:70"), netip.MustParseAddrPort("10.0.0.3:70")
	l := NewLeadership(now, LeadershipConfig{Self: self, Zone: "a", Zones: []string{"a", "b", "c"}, Wall: now})
	l.SetTableRevision(1)
	l.claim(now, "a")
	own, _ := l.Leads("a")
	l.Receive(now, gone, "c", false, &Beat{Leads: []*Lead{{Zone: "c", Term: own + 2}}, TableRevision: 1})
	for end := now.Add(3 * stableAfter); now.Before(end); now = now.Add(LeaderHeartbeatEvery) {
		l.Receive(now, other, "b", false, &Beat{Leads: []*Lead{{Zone: "b", Term: own + 1}, {Zone: "c", Term: own - 1}}, TableRevision: 1})
		l.Tick(now)
	}
	for _, zone := range []string{"b", "c"} {
		_, leads := l.Leads(zone)
		is.True(!leads) // the other instance leads two zones, and this one leads one
	}
}
