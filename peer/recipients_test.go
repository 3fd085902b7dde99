package peer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLargeCluster returns a cluster of two zones with the given number of instances each,
// in which each zone has a leader of its own, and runs it until both have one.
func newLargeCluster(perZone int) *cluster {
	var zones []string
	for range perZone {
		zones = append(zones, leadershipZones...)
	}
	c := newCluster(zones...)
	for _, l := range c.members {
		l.SetLeaderPerZone(true)
	}
	c.run(3 * time.Second)
	clear(c.received)
	return c
}

// TestFollowersReceiveOnlyTheHeartbeatsOfTheirLeader counts the heartbeats of two systems
// of different sizes: a follower receives those of its own leader and no more, however
// many leaders and instances there are.
func TestFollowersReceiveOnlyTheHeartbeatsOfTheirLeader(t *testing.T) {
	for _, perZone := range []int{10, 40} {
		is := is.New(t)
		c := newLargeCluster(perZone)
		leaders := c.leaders()
		is.Equal(leaders[:3], []int{1, 1, 0})
		c.run(time.Second)
		for n, addr := range c.order {
			if leaders[n] == 0 {
				is.Equal(c.received[addr], int(time.Second/LeaderHeartbeatEvery))
			}
		}
	}
}

// TestLossOfALeaderLoadsItsZoneOnly lets the leader of one zone of two fail. The next
// instance takes over as soon as it can, and the search for a leader neither floods the
// other zone nor makes every instance query every other.
func TestLossOfALeaderLoadsItsZoneOnly(t *testing.T) {
	is := is.New(t)
	const perZone = 40
	c := newLargeCluster(perZone)
	is.Equal(c.leaders()[:3], []int{1, 1, 0})
	c.members[c.order[0]] = nil
	const takeover = LeaderTimeout + queryFor + 100*time.Millisecond
	c.run(takeover)
	is.Equal(c.leaders()[:3], []int{0, 1, 1})
	beats := int(takeover/LeaderHeartbeatEvery) + 1
	total := 0
	for n, addr := range c.order {
		if n%2 == 1 && n != 1 {
			is.True(c.received[addr] <= beats+witnesses) // beside those of its own leader
		}
		total += c.received[addr]
	}
	// At most as many as if each instance of the zone had queried it once.
	is.True(total-beats*len(c.order)*2 < perZone*perZone)
}

// TestReceiversOfRedirectedJobsGetHeartbeats guards the confirmation of runs whose receiver is
// in another zone.
func TestReceiversOfRedirectedJobsGetHeartbeats(t *testing.T) {
	is := is.New(t)
	c := newLargeCluster(3)
	is.Equal(c.leaders()[:3], []int{1, 1, 0})
	foreign := c.order[5] // in the zone of the second leader
	leader := c.members[c.order[0]]
	is.True(!slices.Contains(leader.Recipients(c.now), foreign))
	leader.SetForeignReceivers([]netip.AddrPort{foreign})
	is.True(slices.Contains(leader.Recipients(c.now), foreign))
	leader.SetForeignReceivers(nil)
	is.True(!slices.Contains(leader.Recipients(c.now), foreign))
}
