package peer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// zoneOfWorkers is the required weight of a leader in the tests: heavy instances of weight 800
// have it, light ones of weight 192 have not.
const zoneOfWorkers = 600

// newUnevenCluster returns a cluster of two zones with a leader each, of two heavy instances
// and a light one: a-1, a-2, a-3, b-1, b-2, b-3.
func newUnevenCluster() *cluster {
	a, b := leadershipZones[0], leadershipZones[1]
	c := newCluster(a, a, a, b, b, b)
	for n, weight := range []int{800, 800, 192, 800, 800, 192} {
		c.configure(n, weight)
	}
	c.run(3 * time.Second)
	return c
}

func (c *cluster) configure(n, weight int) {
	l := c.members[c.order[n]]
	l.cfg.Weight = weight
	l.SetLeaderPerZone(true)
	l.SetTableRevision(1)
	l.SetRequiredWeights(map[string]int{leadershipZones[0]: zoneOfWorkers, leadershipZones[1]: zoneOfWorkers})
}

// leave lets an instance shut down and ends it after d.
func (c *cluster) leave(n int, d time.Duration) {
	addr := c.order[n]
	c.leaving[addr] = true
	c.members[addr].Leave()
	c.broadcast(addr, c.members[addr].Heartbeat(c.now))
	c.run(d)
	delete(c.members, addr)
}

// restart starts an instance again that knows all others.
func (c *cluster) restart(n, weight int) {
	addr := c.order[n]
	delete(c.leaving, addr)
	c.members[addr] = NewLeadership(c.now, LeadershipConfig{Self: addr, Zone: c.zones[addr], Zones: leadershipZones, Wall: c.now})
	for _, other := range c.order {
		c.members[addr].AddMember(c.now, other, c.zones[other])
	}
	c.configure(n, weight)
}

// TestLightInstanceIsNoSuccessorBesideAHeavyOneOfAnotherZone guards against a release in which
// a machine that can't command its zone's workers leads them while both heavy machines of the
// zone are away and an idle one of another zone could. It also guards against a light instance
// that takes the zone back, and against leaders that replace each other without end.
func TestLightInstanceIsNoSuccessorBesideAHeavyOneOfAnotherZone(t *testing.T) {
	is := is.New(t)
	c := newUnevenCluster()
	is.Equal(c.leaders(), []int{1, 0, 0, 1, 0, 0})
	c.leave(3, 400*time.Millisecond)
	is.Equal(c.leaders(), []int{1, 0, 0, 0, 1, 0})
	c.leave(4, 400*time.Millisecond)
	is.Equal(c.leaders(), []int{1, 1, 0, 0, 0, 0}) // a-2 leads zone b
	claims := c.claims()
	for range 100 {
		c.run(40 * time.Millisecond)
		is.Equal(c.claims(), claims)
	}
	c.restart(3, 800)
	c.run(stableAfter + time.Second)
	is.Equal(c.leaders(), []int{1, 0, 0, 1, 0, 0}) // b-1 has taken its zone back
	claims = c.claims()
	for range 100 {
		c.run(40 * time.Millisecond)
		is.Equal(c.claims(), claims)
	}
}

// TestLeaderOfAnotherZoneIsNoSuccessor guards against a leader of two zones, which has more
// workers than it can command, while a light instance of the zone is there.
func TestLeaderOfAnotherZoneIsNoSuccessor(t *testing.T) {
	is := is.New(t)
	c := newUnevenCluster()
	c.leave(1, 200*time.Millisecond) // the idle heavy instance of zone a
	c.leave(4, 200*time.Millisecond)
	c.run(time.Second)
	c.leave(3, 400*time.Millisecond)
	is.Equal(c.leaders(), []int{1, 0, 0, 0, 0, 1}) // b-3 at once
	c.run(5 * time.Second)
	is.Equal(c.leaders(), []int{1, 0, 0, 0, 0, 1})
}

// TestZoneWithARemoteLeaderIsLedAtOnceWhenCutOff guards against a zone whose light instances
// wait for a leader of another zone that they can't reach.
func TestZoneWithARemoteLeaderIsLedAtOnceWhenCutOff(t *testing.T) {
	is := is.New(t)
	c := newUnevenCluster()
	b4 := netip.MustParseAddrPort("10.0.0.7:70")
	c.order, c.zones[b4] = append(c.order, b4), leadershipZones[1]
	c.restart(6, 192)
	c.run(time.Second)
	c.leave(3, 400*time.Millisecond)
	c.leave(4, 400*time.Millisecond)
	is.Equal(c.leaders(), []int{1, 1, 0, 0, 0, 0, 0})
	c.partitioned = func(a, b netip.AddrPort) bool { return c.zones[a] != c.zones[b] }
	c.run(LeaderTimeout + 2*maxQueryDelay)
	is.Equal(c.leaders()[5]+c.leaders()[6], 1)
	c.partitioned = func(_, _ netip.AddrPort) bool { return false }
	c.run(2 * time.Second)
	claims := c.claims()
	for range 100 {
		c.run(40 * time.Millisecond)
		is.Equal(c.claims(), claims)
	}
}

// TestLeaderWithAFitSuccessorSendsNothingToStandbys guards against heartbeats to other zones
// where the zone has a heavy instance of its own.
func TestLeaderWithAFitSuccessorSendsNothingToStandbys(t *testing.T) {
	is := is.New(t)
	c := newUnevenCluster()
	clear(c.received)
	c.run(time.Second)
	is.Equal(c.received[c.order[1]], int(time.Second/LeaderHeartbeatEvery))
}
