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

// A council is some Leaderships whose beats arrive at once.
type council struct {
	now     time.Time
	members map[netip.AddrPort]*Leadership
	zones   map[netip.AddrPort]string
	order   []netip.AddrPort
	// cut says whether beats between two addresses are lost.
	cut     func(a, b netip.AddrPort) bool
	leaving map[netip.AddrPort]bool
}

func newCouncil(zones ...string) *council {
	c := &council{
		now:     leadershipStart,
		members: make(map[netip.AddrPort]*Leadership),
		zones:   make(map[netip.AddrPort]string),
		cut:     func(_, _ netip.AddrPort) bool { return false },
		leaving: make(map[netip.AddrPort]bool),
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

// run lets d pass.
func (c *council) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(20 * time.Millisecond) {
		for _, addr := range c.order {
			if l := c.members[addr]; l != nil {
				c.broadcast(addr, l.Tick(c.now))
			}
		}
	}
}

func (c *council) broadcast(from netip.AddrPort, beat *Beat) {
	if beat == nil {
		return
	}
	for _, to := range c.order {
		if to != from {
			c.deliver(from, to, beat)
		}
	}
}

func (c *council) deliver(from, to netip.AddrPort, beat *Beat) {
	if c.members[to] == nil || c.cut(from, to) {
		return
	}
	if reply := c.members[to].Receive(c.now, from, c.zones[from], c.leaving[from], beat); reply != nil {
		c.deliver(to, from, reply)
	}
}

// leaders returns how many zones each instance leads, in the order of addresses.
func (c *council) leaders() []int {
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

func TestOneInstanceComesToLeadAllZones(t *testing.T) {
	is := is.New(t)
	c := newCouncil("hr-north-a", "hr-north-a", "hr-north-b")
	c.run(pollFor + 100*time.Millisecond)
	is.Equal(c.leaders(), []int{2, 0, 0}) // in one step
	c.run(2 * time.Second)
	is.Equal(c.leaders(), []int{2, 0, 0})
}

func TestOneInstanceFollowsALeaderThatEnds(t *testing.T) {
	is := is.New(t)
	c := newCouncil("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
	c.run(2 * time.Second)
	c.members[c.order[0]] = nil
	c.run(LeaderTimeout + pollFor + 60*time.Millisecond)
	is.Equal(c.leaders(), []int{0, 2, 0, 0}) // both zones go to one instance in one step
}

func TestLeavingLeaderNamesOneSuccessor(t *testing.T) {
	is := is.New(t)
	c := newCouncil("hr-north-a", "hr-north-a", "hr-north-b")
	c.run(2 * time.Second)
	leader := c.order[0]
	c.leaving[leader] = true
	c.members[leader].Leave()
	c.broadcast(leader, c.members[leader].Heartbeat(c.now))
	c.run(20 * time.Millisecond)
	is.Equal(c.leaders(), []int{0, 2, 0})
}

func TestZoneThatIsCutOffLeadsItself(t *testing.T) {
	is := is.New(t)
	c := newCouncil("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
	c.run(2 * time.Second)
	c.cut = func(a, b netip.AddrPort) bool { return c.zones[a] != c.zones[b] }
	c.run(time.Second)
	is.Equal(c.leaders(), []int{2, 0, 1, 0}) // the old leader still believes to lead what it cannot reach
	c.cut = func(_, _ netip.AddrPort) bool { return false }
	c.run(3 * time.Second)
	is.Equal(c.leaders(), []int{2, 0, 0, 0})
}

func TestInstanceThatHearsNobodyClaimsNothingInUse(t *testing.T) {
	is := is.New(t)
	c := newCouncil("hr-north-a", "hr-north-a", "hr-north-b")
	c.run(2 * time.Second)
	alone := c.order[1]
	c.cut = func(a, b netip.AddrPort) bool { return a == alone || b == alone }
	for range 50 {
		c.run(100 * time.Millisecond)
		// Its workers are found to have tasks: somebody else leads.
		for _, zone := range c.members[alone].UnconfirmedZones(c.now) {
			c.members[alone].RecordPoll(c.now, zone, true)
		}
	}
	is.Equal(c.leaders(), []int{2, 0, 0})
	for range 20 {
		c.run(100 * time.Millisecond)
		for _, zone := range c.members[alone].UnconfirmedZones(c.now) {
			c.members[alone].RecordPoll(c.now, zone, false)
		}
	}
	_, leads := c.members[alone].Leads("hr-north-a")
	is.True(leads) // nobody gives its workers tasks
}

func TestHeaviestInstanceComesToLeadItsZoneApart(t *testing.T) {
	for _, light := range []int{144, 480} {
		heaviestComesToLead(t, light)
	}
}

// heaviestComesToLead has instances of 0.8 cores begin after others of a light weight.
func heaviestComesToLead(t *testing.T, light int) {
	t.Helper()
	is := is.New(t)
	c := newCouncil("hr-north-a", "hr-north-a", "hr-north-b", "hr-north-b")
	for n, weight := range []int{light, 800, light, 800} {
		l := c.members[c.order[n]]
		l.cfg.Weight = weight
		l.SetLeaderPerZone(true)
	}
	// The light instances are there first.
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
	c := newCouncil("hr-north-a", "hr-north-a")
	c.run(time.Second)
	first, _ := c.members[c.order[0]].Leads("hr-north-a")
	c.members[c.order[0]].Fenced(c.now, "hr-north-a")
	is.Equal(c.leaders(), []int{0, 0})
	c.run(2 * time.Second)
	second, leads := c.members[c.order[0]].Leads("hr-north-a")
	is.True(leads)
	is.True(second > first)
}

// The instance that is alone comes to lead its zone once it finds that nobody
// gives the zone's workers tasks.
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

// TestQuestionOfAnotherConfirmsNothing begins an instance that knows nobody and hears
// only the question of another one, which may be from before a leader was found.
func TestQuestionOfAnotherConfirmsNothing(t *testing.T) {
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

// TestInstanceWithoutWorkersComesLast ends the leader while the store is away: an
// instance that began meanwhile, and knows no worker, does not succeed it, however
// heavy it is.
func TestInstanceWithoutWorkersComesLast(t *testing.T) {
	is := is.New(t)
	c := newCouncil("hr-north-a", "hr-north-a", "hr-north-a")
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

// TestLeaderByAnOutlivedClaimIsTakenOver cuts a zone off, lets an instance beyond the
// cut claim it, too, and end: once all hear each other, one leads both zones.
func TestLeaderByAnOutlivedClaimIsTakenOver(t *testing.T) {
	is := is.New(t)
	c := newCouncil("hr-north-b", "hr-north-b", "hr-north-b", "hr-north-a", "hr-north-a")
	c.run(time.Second)
	rival, heir, alone := c.order[0], c.order[1], c.order[3]
	c.cut = func(a, b netip.AddrPort) bool { return c.zones[a] != c.zones[b] }
	c.members[alone].claim(c.now, "hr-north-a")
	c.run(time.Second)
	c.members[rival].claim(c.now, "hr-north-a")
	c.run(500 * time.Millisecond)
	delete(c.members, rival)
	c.run(time.Second)
	c.cut = func(_, _ netip.AddrPort) bool { return false }
	c.run(5 * time.Second)
	is.True(c.members[heir].Leading())
	is.True(!c.members[alone].Leading())
}
