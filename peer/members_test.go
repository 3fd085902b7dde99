package peer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/peer"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self   = netip.MustParseAddrPort("127.0.2.1:7000")
	second = netip.MustParseAddrPort("127.0.2.2:7000")
	third  = netip.MustParseAddrPort("127.0.2.3:7000")
)

func newMembers(addr netip.AddrPort, incarnation uint64) *peer.Members {
	return peer.NewMembers(peer.MembersConfig{Self: addr, Zone: "a", Incarnation: incarnation})
}

// send passes the next envelope from one instance to the other and returns its
// status.
func send(now time.Time, from, to *peer.Members, fromAddr, toAddr netip.AddrPort) (*peer.Envelope, peer.EnvelopeStatus) {
	env := &peer.Envelope{}
	from.SetHeader(now, toAddr, env)
	return env, to.Receive(now, fromAddr, env)
}

func ExampleMembers() {
	now := start
	a := peer.NewMembers(peer.MembersConfig{Self: self, Zone: "a", Incarnation: 1})
	b := peer.NewMembers(peer.MembersConfig{Self: second, Zone: "a", Incarnation: 2})
	env := &peer.Envelope{}
	b.SetHeader(now, self, env)
	a.Receive(now, second, env)
	fmt.Println(a.Live(second))
	a.Tick(now.Add(peer.DefaultSuspectAfter))
	fmt.Println(a.Live(second))
	// Output:
	// true
	// false
}

// TestEnvelopesCountOnceAndInOrder guards against an envelope that counts twice
// because it was duplicated, or that counts after a later one.
func TestEnvelopesCountOnceAndInOrder(t *testing.T) {
	is := is.New(t)
	a, b := newMembers(self, 1), newMembers(second, 2)
	first, status := send(start, b, a, second, self)
	is.True(status.Fresh)
	is.True(!status.Gap)
	is.True(!a.Receive(start, second, first).Fresh) // a duplicate
	lost := &peer.Envelope{}
	b.SetHeader(start, self, lost)
	_, status = send(start, b, a, second, self)
	is.True(status.Fresh)
	is.True(status.Gap)
	is.True(!a.Receive(start, second, lost).Fresh) // overtaken
}

// TestEnvelopeOfAnEndedIncarnationDoesNotCount delivers an envelope of a former
// process after its successor at the same address has answered a challenge.
func TestEnvelopeOfAnEndedIncarnationDoesNotCount(t *testing.T) {
	is := is.New(t)
	a, old, next := newMembers(self, 1), newMembers(second, 2), newMembers(second, 3)
	late := &peer.Envelope{}
	send(start, old, a, second, self)
	old.SetHeader(start, self, late)
	_, status := send(start, next, a, second, self)
	is.True(!status.Fresh) // it may be an earlier one as long as it has not answered a challenge
	send(start, a, next, self, second)
	_, status = send(start, next, a, second, self)
	is.True(status.Restarted)
	is.True(a.Ended(second, 2))
	is.True(!a.Ended(second, 3))
	is.True(!a.Receive(start, second, late).Fresh)
}

// TestLateEnvelopeOfAnEarlierIncarnationEndsNoSession guards against a delayed
// envelope of a former process that ends the session of the current process at
// the address.
func TestLateEnvelopeOfAnEarlierIncarnationEndsNoSession(t *testing.T) {
	is := is.New(t)
	a, old, next := newMembers(self, 1), newMembers(second, 2), newMembers(second, 3)
	send(start, a, old, self, second)
	late, later := &peer.Envelope{}, &peer.Envelope{}
	old.SetHeader(start, self, late)
	old.SetHeader(start, self, later)
	send(start, next, a, second, self)
	is.True(!a.Receive(start, second, late).Fresh)
	is.True(!a.Receive(start, second, later).Fresh)
	is.True(!a.Ended(second, 3))
	send(start, a, next, self, second)
	_, status := send(start, next, a, second, self)
	is.True(status.Fresh)
	is.True(!status.Restarted)
	is.Equal(a.Incarnation(second), uint64(3))
}

// TestAForgottenPeerIsNotCurrent guards against envelopes that rely on state
// which the receiver has dropped: a forgets b and then receives from it again.
func TestAForgottenPeerIsNotCurrent(t *testing.T) {
	is := is.New(t)
	a, b := newMembers(self, 1), newMembers(second, 2)
	send(start, b, a, second, self)
	send(start, a, b, self, second)
	_, status := send(start, b, a, second, self)
	is.True(status.Current)
	late := &peer.Envelope{}
	a.SetHeader(start, second, late)
	later := start.Add(peer.DefaultForgetAfter)
	is.Equal(a.Tick(later), []netip.AddrPort{second})
	// What b sends now relies on state that a has dropped.
	_, status = send(later, b, a, second, self)
	is.True(!status.Current)
	_, status = send(later, a, b, self, second)
	is.True(!status.Fresh)
	send(later, b, a, second, self) // a challenge
	_, status = send(later, a, b, self, second)
	is.True(status.Restarted)
	// The envelope that a sent before it forgot b is of an ended session.
	is.True(!b.Receive(later, self, late).Fresh)
	is.Equal(len(b.HeartbeatsDue(later)), 0) // and b does not challenge it
}

func TestAListedPeerIsNotForgotten(t *testing.T) {
	is := is.New(t)
	a, b := newMembers(self, 1), newMembers(second, 2)
	a.SetList(start, peer.InstanceList{Instances: []peer.Instance{
		{Address: second, Kind: peer.EntryInstance, Zone: "a"},
	}})
	send(start, b, a, second, self)
	later := start.Add(10 * peer.DefaultForgetAfter)
	is.Equal(len(a.Tick(later)), 0)
	is.True(!a.Live(second))
	_, status := send(later, b, a, second, self)
	is.True(status.Fresh)
	is.True(a.Live(second))
}

// TestLeavingPeerIsNotLiveUntilTheListShowsThatItStays covers both ways in
// which a peer can be leaving: by the platform's list, and by its own
// envelopes.
func TestLeavingPeerIsNotLiveUntilTheListShowsThatItStays(t *testing.T) {
	is := is.New(t)
	a, b := newMembers(self, 1), newMembers(second, 2)
	send(start, b, a, second, self)
	listed := peer.Instance{Address: second, Kind: peer.EntryInstance, Zone: "a", Leaving: true}
	a.SetList(start, peer.InstanceList{Instances: []peer.Instance{listed}})
	send(start, b, a, second, self)
	is.True(!a.Live(second))
	listed.Leaving = false
	a.SetList(start, peer.InstanceList{Instances: []peer.Instance{listed}})
	send(start, b, a, second, self)
	is.True(a.Live(second))
	b.SetLeaving()
	send(start, b, a, second, self)
	is.True(!a.Live(second))
}

func TestHolderIsInTheZoneOfTheServer(t *testing.T) {
	is := is.New(t)
	members := []*peer.Members{newMembers(self, 1), newMembers(second, 2), newMembers(third, 3)}
	addrs := []netip.AddrPort{self, second, third}
	for from := range members {
		for to := range members {
			if from != to {
				send(start, members[from], members[to], addrs[from], addrs[to])
			}
		}
	}
	held := make(map[netip.AddrPort]int)
	for n := range 60 {
		server := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n)}), 9000)
		holder, ok := members[0].Holder(server, "a")
		is.True(ok)
		for _, m := range members {
			other, _ := m.Holder(server, "a")
			is.Equal(other, holder)
		}
		held[holder]++
		elsewhere, ok := members[0].Holder(server, "b")
		is.True(ok) // instances of other zones are the holders of a zone without instances
		is.True(elsewhere.IsValid())
	}
	is.Equal(len(held), 3)
}

// TestEndedIncarnationStartsNoSession resumes a paused process after its
// successor has started at the same address. The resumed process starts a new
// session and echoes the challenge, but its incarnation has ended.
func TestEndedIncarnationStartsNoSession(t *testing.T) {
	is := is.New(t)
	a := newMembers(self, 1)
	former := &peer.Envelope{Incarnation: 10, Session: 1, Sequence: 1, Zone: "b"}
	next := &peer.Envelope{Incarnation: 20, Session: 2, Sequence: 1, Zone: "b"}
	resumed := &peer.Envelope{Incarnation: 10, Session: 3, Sequence: 1, Zone: "b"}
	is.True(a.Receive(start, second, former).Fresh)
	is.True(!a.Receive(start, second, next).Fresh)
	challenge := &peer.Envelope{}
	a.SetHeader(start, second, challenge)
	next.Echo = challenge.Challenge
	is.True(a.Receive(start, second, next).Fresh)
	is.True(!a.Receive(start, second, resumed).Fresh)
	a.SetHeader(start, second, challenge)
	resumed.Sequence, resumed.Echo = 2, challenge.Challenge
	is.True(!a.Receive(start, second, resumed).Fresh)
	is.Equal(a.Incarnation(second), uint64(20))
}
