package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	leadershipStart = time.Unix(1_800_000_000, 0)
	leadershipZones = []string{"hr-north-a", "hr-north-b"}
)

// cluster is a set of Leaderships whose heartbeats arrive without delay.
type cluster struct {
	now     time.Time
	members map[netip.AddrPort]*Leadership
	zones   map[netip.AddrPort]string
	order   []netip.AddrPort
	// partitioned reports whether heartbeats from a to b are lost.
	partitioned func(a, b netip.AddrPort) bool
	leaving     map[netip.AddrPort]bool
	// received counts the heartbeats that each instance has received.
	received map[netip.AddrPort]int
}

func newCluster(zones ...string) *cluster {
	c := &cluster{
		now:         leadershipStart,
		members:     make(map[netip.AddrPort]*Leadership),
		zones:       make(map[netip.AddrPort]string),
		partitioned: func(_, _ netip.AddrPort) bool { return false },
		leaving:     make(map[netip.AddrPort]bool),
		received:    make(map[netip.AddrPort]int),
	}
	for n, zone := range zones {
		addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:70", n+1))
		c.order = append(c.order, addr)
		c.zones[addr] = zone
		c.members[addr] = NewLeadership(c.now, LeadershipConfig{Self: addr, Zone: zone, Zones: leadershipZones, Wall: c.now})
	}
	for _, l := range c.members {
		for _, addr := range c.order {
			l.AddMember(c.now, addr, c.zones[addr])
		}
	}
	return c
}

// run advances the time by d in steps of 20 ms and delivers the heartbeats that
// are due.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(20 * time.Millisecond) {
		for _, addr := range c.order {
			if l := c.members[addr]; l != nil {
				c.broadcast(addr, l.Tick(c.now))
			}
		}
	}
}

func (c *cluster) broadcast(from netip.AddrPort, heartbeat *Beat) {
	if heartbeat == nil {
		return
	}
	for _, to := range c.members[from].Recipients(c.now) {
		c.deliver(from, to, heartbeat)
	}
}

func (c *cluster) deliver(from, to netip.AddrPort, heartbeat *Beat) {
	if c.members[to] == nil || c.partitioned(from, to) {
		return
	}
	c.received[to]++
	if reply := c.members[to].Receive(c.now, from, c.zones[from], c.leaving[from], heartbeat); reply != nil {
		c.deliver(to, from, reply)
	}
}

// leaders returns how many zones each instance leads, in the order of
// addresses.
func (c *cluster) leaders() []int {
	led := make([]int, len(c.order))
	for n, addr := range c.order {
		for _, zone := range leadershipZones {
			if l := c.members[addr]; l != nil {
				if _, leads := l.Leads(zone); leads {
					led[n]++
				}
			}
		}
	}
	return led
}

func TestOneInstanceLeadsAllZones(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-b")
	c.run(queryFor + 100*time.Millisecond)
	is.Equal(c.leaders(), []int{2, 0, 0}) // after one claim
	c.run(2 * time.Second)
	is.Equal(c.leaders(), []int{2, 0, 0})
}

func TestOneInstanceReplacesAFailedLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
	c.run(2 * time.Second)
	c.members[c.order[0]] = nil
	c.run(LeaderTimeout + queryFor + 60*time.Millisecond)
	is.Equal(c.leaders(), []int{0, 2, 0, 0}) // one instance claims both zones at once
}

func TestLeavingLeaderNamesOneSuccessor(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-b")
	c.run(2 * time.Second)
	leader := c.order[0]
	c.leaving[leader] = true
	c.members[leader].Leave()
	c.broadcast(leader, c.members[leader].Heartbeat(c.now))
	c.run(20 * time.Millisecond)
	is.Equal(c.leaders(), []int{0, 2, 0})
}

func TestPartitionedZoneHasItsOwnLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
	c.run(2 * time.Second)
	c.partitioned = func(a, b netip.AddrPort) bool { return c.zones[a] != c.zones[b] }
	c.run(time.Second)
	is.Equal(c.leaders(), []int{2, 0, 1, 0}) // the old leader has not given up the zone that it cannot reach
	c.partitioned = func(_, _ netip.AddrPort) bool { return false }
	c.run(3 * time.Second)
	is.Equal(c.leaders(), []int{2, 0, 0, 0})
}

func TestIsolatedInstanceClaimsItsZoneOnlyIfWorkersAreIdle(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-b")
	c.run(2 * time.Second)
	isolated := c.order[1]
	c.partitioned = func(a, b netip.AddrPort) bool { return a == isolated || b == isolated }
	for range 50 {
		c.run(100 * time.Millisecond)
		// The polled workers have tasks, so another instance leads the zone.
		for _, zone := range c.members[isolated].UnconfirmedZones(c.now) {
			c.members[isolated].RecordPoll(c.now, zone, true)
		}
	}
	is.Equal(c.leaders(), []int{2, 0, 0})
	for range 20 {
		c.run(100 * time.Millisecond)
		for _, zone := range c.members[isolated].UnconfirmedZones(c.now) {
			c.members[isolated].RecordPoll(c.now, zone, false)
		}
	}
	_, leads := c.members[isolated].Leads("hr-north-a")
	is.True(leads) // the workers of its zone are idle
}

func TestHeaviestInstanceLeadsItsZoneWithLeaderPerZone(t *testing.T) {
	for _, light := range []int{144, 480} {
		checkHeaviestLeads(t, light)
	}
}

// checkHeaviestLeads starts instances of weight 800 one second after others of
// weight light, and checks that the heavier instance of each zone becomes its
// leader.
func checkHeaviestLeads(t *testing.T, light int) {
	t.Helper()
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
	for n, weight := range []int{light, 800, light, 800} {
		l := c.members[c.order[n]]
		l.cfg.Weight = weight
		l.SetLeaderPerZone(true)
	}
	// The lighter instances start first.
	late := []*Leadership{c.members[c.order[1]], c.members[c.order[3]]}
	c.members[c.order[1]], c.members[c.order[3]] = nil, nil
	c.run(time.Second)
	is.Equal(c.leaders(), []int{1, 0, 1, 0})
	c.members[c.order[1]], c.members[c.order[3]] = late[0], late[1]
	c.run(4 * time.Second)
	is.Equal(c.leaders(), []int{0, 1, 0, 1})
}

func TestLaterClaimsHaveHigherTerms(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a")
	c.run(time.Second)
	first, _ := c.members[c.order[0]].Leads("hr-north-a")
	c.members[c.order[0]].Fenced(c.now, "hr-north-a")
	is.Equal(c.leaders(), []int{0, 0})
	c.run(2 * time.Second)
	second, leads := c.members[c.order[0]].Leads("hr-north-a")
	is.True(leads)
	is.True(second > first)
}

// A single instance becomes the leader of its zone once the polls of the zone's
// workers show that they have no tasks and no other leader.
func ExampleLeadership() {
	now := time.Unix(1_800_000_000, 0)
	l := NewLeadership(now, LeadershipConfig{
		Self: netip.MustParseAddrPort("10.0.0.1:70"), Zone: "hr-north-a", Zones: []string{"hr-north-a"}, Wall: now,
	})
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		l.Tick(now)
		for _, zone := range l.UnconfirmedZones(now) {
			l.RecordPoll(now, zone, false)
		}
	}
	_, leads := l.Leads("hr-north-a")
	fmt.Println(leads)
	// Output: true
}

// TestQueryDoesNotConfirmThatTheLeaderIsGone guards against a claim that rests
// on the query of another instance. The query may have been sent before that
// instance found a leader, so only a reply counts.
func TestQueryDoesNotConfirmThatTheLeaderIsGone(t *testing.T) {
	is := is.New(t)
	now := leadershipStart
	other := netip.MustParseAddrPort("10.0.0.2:70")
	l := NewLeadership(now, LeadershipConfig{Self: netip.MustParseAddrPort("10.0.0.1:70"), Zone: "hr-north-a", Zones: leadershipZones, Wall: now})
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			l.Tick(now)
		}
	}
	tick(40 * time.Millisecond)
	l.Receive(now, other, "hr-north-a", false, &Beat{Seeking: true})
	tick(time.Second)
	is.True(!l.Leading())
	l.Receive(now, other, "hr-north-a", false, &Beat{Reply: true})
	tick(time.Second)
	is.True(l.Leading())
}

// TestInstanceWithoutWorkersRanksLast stops the leader while the store cannot
// be reached. An instance that was started meanwhile has an empty worker table
// and must not replace the leader, whatever its weight.
func TestInstanceWithoutWorkersRanksLast(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-a")
	c.run(time.Second)
	for _, addr := range c.order {
		if addr != c.order[1] {
			c.members[addr].SetTableRevision(1)
		}
	}
	c.run(time.Second)
	delete(c.members, c.order[0])
	c.run(2 * time.Second)
	is.True(!c.members[c.order[1]].Leading())
	is.True(c.members[c.order[2]].Leading())
}

// TestLeaderByAStaleClaimIsReplaced guards against a zone that keeps a second
// leader after a partition. Both sides claim the zone, and the leader with the
// later claim stops. Once the partition ends, one instance must lead both
// zones.
func TestLeaderByAStaleClaimIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-b", "hr-north-b", "hr-north-b", "hr-north-a", "hr-north-a")
	c.run(time.Second)
	lateLeader, expected, staleLeader := c.order[0], c.order[1], c.order[3]
	c.partitioned = func(a, b netip.AddrPort) bool { return c.zones[a] != c.zones[b] }
	c.members[staleLeader].claim(c.now, "hr-north-a")
	c.run(time.Second)
	c.members[lateLeader].claim(c.now, "hr-north-a")
	c.run(500 * time.Millisecond)
	delete(c.members, lateLeader)
	c.run(time.Second)
	c.partitioned = func(_, _ netip.AddrPort) bool { return false }
	c.run(5 * time.Second)
	is.True(c.members[expected].Leading())
	is.True(!c.members[staleLeader].Leading())
}

// TestLeadershipIsStableWhileInstancesDisagreeOnItsKind guards against leaders that replace
// each other without end: some instances count more workers than others, and so want a leader
// for each zone, while the others want one for all. Whoever leads then stays.
func TestLeadershipIsStableWhileInstancesDisagreeOnItsKind(t *testing.T) {
	for apart := range 1 << 4 {
		is := is.New(t)
		c := newCluster("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
		for _, l := range c.members {
			l.SetTableRevision(1)
		}
		c.run(3 * time.Second)
		for n, addr := range c.order {
			c.members[addr].SetLeaderPerZone(apart&(1<<n) != 0)
		}
		c.run(5 * time.Second)
		claims := c.claims()
		for range 100 {
			c.run(40 * time.Millisecond)
			is.Equal(c.claims(), claims)
		}
	}
}

// claims returns the term of each zone at the instance that leads it.
func (c *cluster) claims() map[string]uint64 {
	terms := make(map[string]uint64)
	for _, l := range c.members {
		for _, zone := range leadershipZones {
			if term, leads := l.Leads(zone); leads {
				terms[zone] = max(terms[zone], term)
			}
		}
	}
	return terms
}

// TestLeaderOfAZoneIsNotReplacedForASingleLeader guards against an instance that takes over
// all zones of a large system because it does not know most of the workers yet.
func TestLeaderOfAZoneIsNotReplacedForASingleLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
	for _, l := range c.members {
		l.SetTableRevision(1)
		l.SetLeaderPerZone(true)
	}
	c.run(3 * time.Second)
	is.Equal(c.leaders(), []int{1, 0, 1, 0})
	c.members[c.order[0]].SetLeaderPerZone(false)
	c.run(3 * time.Second)
	is.Equal(c.leaders(), []int{1, 0, 1, 0})
}
