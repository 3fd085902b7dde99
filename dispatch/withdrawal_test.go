package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

const abandonedID = "5c0e7a21d94b36f8"

// followLeader delivers heartbeats of the first leader, and submits a job that is forwarded
// to it. It returns the job's caller.
func (s *scriptedInstance) followLeader() dispatch.CallerID {
	const caller = 1
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.Submit(s.now, caller, s.job(abandonedID))
	s.advance(10 * time.Millisecond)
	return caller
}

// withdrawnFrom returns the envelopes to addr since the last call that withdraw the
// abandoned job, and forgets all envelopes.
func (s *scriptedInstance) withdrawnFrom(addr netip.AddrPort) []*peer.Envelope {
	var found []*peer.Envelope
	for _, send := range s.effects.Sends {
		if send.To == addr && len(send.Envelope.Withdrawn) == 1 && send.Envelope.Withdrawn[0] == abandonedID {
			found = append(found, send.Envelope)
		}
	}
	s.effects.Sends = nil
	return found
}

// acknowledge delivers a heartbeat of a leader that has received a withdrawal.
func (s *scriptedInstance) acknowledge(from netip.AddrPort, term uint64, env *peer.Envelope) {
	s.Receive(s.now, from, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{
		Leads: []*peer.Lead{{Zone: "hr-north-a", Term: term}}, WithdrawnReceived: env.WithdrawnThrough,
	}})
}

// TestLostWithdrawalIsRepeated guards against jobs that go on because the only message that
// ends them was lost with a connection. Each answer to a heartbeat repeats the message, until
// the leader acknowledges it.
func TestLostWithdrawalIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.Abandon(s.now, s.followLeader())
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.withdrawnFrom(firstLeader)), 1)
	s.heartbeats(firstLeader, 1024, 100*time.Millisecond)
	repeated := s.withdrawnFrom(firstLeader)
	is.Equal(len(repeated), 2) // one for each heartbeat

	s.acknowledge(firstLeader, 1024, repeated[0])
	s.heartbeats(firstLeader, 1024, 100*time.Millisecond)
	is.Equal(len(s.withdrawnFrom(firstLeader)), 0)
}

// TestWithdrawalIsRepeatedOnlyUntilTheJobComesAgain guards against a repeated withdrawal
// that ends a job that its caller has sent again meanwhile.
func TestWithdrawalIsRepeatedOnlyUntilTheJobComesAgain(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.Abandon(s.now, s.followLeader())
	s.advance(10 * time.Millisecond)
	s.Submit(s.now, 2, s.job(abandonedID))
	s.effects.Sends = nil
	s.heartbeats(firstLeader, 1024, 200*time.Millisecond)
	is.True(s.jobSent(firstLeader) != nil)
	is.Equal(len(s.withdrawnFrom(firstLeader)), 0)
}

// TestEarlierAcknowledgementLeavesLaterWithdrawal guards against an acknowledgement of the
// first of two withdrawals of a job that counts for the second one, which was lost.
func TestEarlierAcknowledgementLeavesLaterWithdrawal(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.Abandon(s.now, s.followLeader())
	s.advance(10 * time.Millisecond)
	first := s.withdrawnFrom(firstLeader)
	s.Submit(s.now, 2, s.job(abandonedID))
	s.advance(10 * time.Millisecond)
	s.Abandon(s.now, 2)
	s.acknowledge(firstLeader, 1024, first[0])
	s.advance(10 * time.Millisecond)
	s.heartbeats(firstLeader, 1024, 100*time.Millisecond)
	is.True(len(s.withdrawnFrom(firstLeader)) >= 2)
}

// TestJobIsWithdrawnFromASilentLeader guards against a job that stays at a leader because
// it was to be forwarded again when its caller left: the leader, which was cut off, may
// still have it.
func TestJobIsWithdrawnFromASilentLeader(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	caller := s.followLeader()
	s.advance(peer.LeaderTimeout + 20*time.Millisecond)
	s.LinkReset(s.now, firstLeader)
	s.Abandon(s.now, caller)
	s.effects.Sends = nil
	s.heartbeats(firstLeader, 1024, 100*time.Millisecond)
	is.True(len(s.withdrawnFrom(firstLeader)) >= 2)
}

// TestJobIsWithdrawnFromALeaderThatWasLost guards against a job that stays at a leader
// whose claim expired before another one appeared.
func TestJobIsWithdrawnFromALeaderThatWasLost(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.followLeader()
	s.advance(peer.LeaderTimeout + 20*time.Millisecond)
	s.effects.Sends = nil
	s.heartbeats(secondLeader, 2048, 100*time.Millisecond)
	is.True(len(s.withdrawnFrom(firstLeader)) >= 1)
}

// TestRequestForAnUnknownJobIsAnsweredByItsWithdrawal guards against a job that a leader
// keeps although its receiver does not know it any more.
func TestRequestForAnUnknownJobIsAnsweredByItsWithdrawal(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", JobEnds: []*peer.JobEnd{{Id: abandonedID}}})
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.withdrawnFrom(firstLeader)), 1)
}

// TestLeaderEndsJobAtItsCallersDeadline guards against runs that go on after the deadline
// of the job's callers because the withdrawal by their receiver is lost.
func TestLeaderEndsJobAtItsCallersDeadline(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	j := forwardedJob(abandonedID)
	j.PatienceNanos = int64(300 * time.Millisecond)
	s.reply(1, j)
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number, Percent: 10}}
	s.replies(1, 240*time.Millisecond)
	is.Equal(len(s.effects.Stops), 0)
	s.replies(1, 60*time.Millisecond)
	is.True(len(s.effects.Stops) > 0)
}

// TestLeaderAcknowledgesWithdrawals reads the acknowledgement in a leader's next heartbeat.
func TestLeaderAcknowledgesWithdrawals(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.reply(1, forwardedJob(abandonedID))
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Incarnation: 1, Withdrawn: []string{abandonedID}, WithdrawnThrough: 7})
	s.effects.Sends = nil
	s.advance(2 * peer.LeaderHeartbeatEvery)
	var received uint64
	for _, send := range s.effects.Sends {
		if send.To == firstLeader && send.Envelope.Beat != nil {
			received = send.Envelope.Beat.WithdrawnReceived
		}
	}
	is.Equal(received, uint64(7))
}
