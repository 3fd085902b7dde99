package peer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOnlyAnAnsweredHeartbeatPermitsCommands has a leader of unfenced workers receive
// replies with the time of a heartbeat that it sent before its claim, with a time in the
// future and with none, and then one with the time of a heartbeat sent after its claim.
func TestOnlyAnAnsweredHeartbeatPermitsCommands(t *testing.T) {
	is := is.New(t)
	now := leadershipStart
	other := netip.MustParseAddrPort("10.0.0.2:70")
	l := NewLeadership(now, LeadershipConfig{
		Self: netip.MustParseAddrPort("10.0.0.1:70"), Zone: "hr-north-a", Zones: leadershipZones, Unfenced: true, Wall: now,
	})
	l.AddMember(now, other, "hr-north-a")
	l.claim(now, "hr-north-a")
	reply := func(sent int64) {
		l.Receive(now, other, "hr-north-a", false, &Beat{Reply: true, EchoNanos: sent})
	}
	mayCommand := func() bool {
		from, until := l.MayCommand(now, "hr-north-a")
		return !now.Before(from) && now.Before(until)
	}
	now = now.Add(200 * time.Millisecond)
	reply(leadershipStart.Add(-time.Second).UnixNano())
	reply(now.Add(time.Hour).UnixNano())
	reply(0)
	is.True(!mayCommand())
	reply(leadershipStart.Add(handoverTime).UnixNano())
	is.True(mayCommand())

	// The heartbeat was sent 0.1 s after the claim, so that the permission ends 0.5 s after it.
	now = leadershipStart.Add(handoverTime + confirmationLease)
	is.True(!mayCommand())
	l.Expire(now)
	is.True(!l.Leading())
}

// TestReceiverOfRedirectedJobsDoesNotProlongLeadership has only the receiver of a redirected
// job, in another zone, answer a leader of unfenced workers. An instance that is to replace
// the leader does not query that receiver, so its answers must not count.
func TestReceiverOfRedirectedJobsDoesNotProlongLeadership(t *testing.T) {
	is := is.New(t)
	now := leadershipStart
	foreign := netip.MustParseAddrPort("10.0.0.2:70")
	l := NewLeadership(now, LeadershipConfig{
		Self: netip.MustParseAddrPort("10.0.0.1:70"), Zone: "hr-north-a", Zones: leadershipZones, Unfenced: true, Wall: now,
	})
	l.AddMember(now, foreign, "hr-north-b")
	l.claim(now, "hr-north-a")
	l.SetForeignReceivers([]netip.AddrPort{foreign})
	now = now.Add(confirmationLease - 50*time.Millisecond)
	l.Receive(now, foreign, "hr-north-b", false, &Beat{Reply: true, EchoNanos: now.UnixNano()})
	l.Expire(now.Add(100 * time.Millisecond))
	is.True(!l.Leading())
}
