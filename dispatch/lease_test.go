package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// resubmitDelay is the time after which a caller without an answer submits its job again, to
// an instance that knows nothing of its runs, and stopTime how long a worker takes to end
// them.
const (
	resubmitDelay = 1300 * time.Millisecond
	stopTime      = 50 * time.Millisecond
)

// leasedUntil returns the end of the longest lease that the instance has requested since the
// last call, by a worker's clock that is as slow as the platform allows.
func (s *scriptedInstance) leasedUntil() time.Time {
	var longest time.Duration
	for _, poll := range s.effects.Polls {
		longest = max(longest, poll.Lease)
	}
	for _, start := range s.effects.Starts {
		longest = max(longest, start.Lease)
	}
	s.effects.Polls, s.effects.Starts = nil, nil
	return s.clockStart.Add(longest + time.Duration(workerDrift*float64(leaseAtMost)))
}

// leaseAtMost is the longest lease that a worker grants.
const leaseAtMost = time.Second

// testRunEnds checks that a run is not renewed beyond the time at which the callers that
// have gone at gone may submit its job to another instance. While live is set, the receiver
// answers heartbeats. No stop is answered.
func (s *scriptedInstance) testRunEnds(is *is.I, gone time.Time, live bool) {
	is.Helper()
	for range 100 {
		if live {
			s.reply(1)
		}
		s.advance(20 * time.Millisecond)
	}
	is.True(!s.leasedUntil().Add(stopTime).After(gone.Add(resubmitDelay)))
	is.True(len(s.effects.Stops) > 5) // repeated while they get no answer
}

// leadWithRun makes the instance lead its zone with a run whose receiver answers heartbeats.
func (s *scriptedInstance) leadWithRun(is *is.I) dispatch.Start {
	is.Helper()
	s.lead()
	start := s.startForwarded(is, 1, abandonedID)
	s.replies(1, 300*time.Millisecond)
	s.leasedUntil()
	return start
}

// TestUnansweredStopsLetTheLeaseEnd guards against polls that renew the lease of a run that
// is to be stopped, beyond the time after which its caller submits the job to another zone.
func TestUnansweredStopsLetTheLeaseEnd(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	start := s.leadWithRun(is)
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Incarnation: 1, Withdrawn: []string{start.Task.Job}})
	s.testRunEnds(is, s.now, true)
}

// TestSilentReceiverLetsTheLeaseEnd guards against the same while the receiver is silent:
// its process may have ended just after the last answer.
func TestSilentReceiverLetsTheLeaseEnd(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.leadWithRun(is)
	s.testRunEnds(is, s.now, false)
}

// TestRestartedReceiverLetsTheLeaseEnd guards against the same while a new process runs at
// the receiver's address.
func TestRestartedReceiverLetsTheLeaseEnd(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.leadWithRun(is)
	gone := s.now
	s.advance(20 * time.Millisecond)
	s.reply(2)
	s.testRunEnds(is, gone, false)
}

// TestAnswersOfLongAgoConfirmNothing guards against a receiver that counts as waiting by
// answers that were held up on their way.
func TestAnswersOfLongAgoConfirmNothing(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.startForwarded(is, 1, abandonedID)
	s.leasedUntil()
	const answers = 100
	gone := s.now
	for n := range answers {
		sent := gone.Add(time.Duration(n-answers) * time.Millisecond)
		s.Receive(s.now, firstLeader, &peer.Envelope{
			Zone: "hr-north-a", Incarnation: 1, Beat: &peer.Beat{Reply: true, EchoNanos: sent.UnixNano()},
		})
		s.advance(20 * time.Millisecond)
	}
	is.True(!s.leasedUntil().Add(stopTime).After(gone.Add(resubmitDelay)))
}

// TestRunsBesideAStoppedRunAreRenewed guards against a lease that stays limited once the
// worker has reported the end of the run that was to be stopped.
func TestRunsBesideAStoppedRunAreRenewed(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	stopped := s.startForwarded(is, 1, abandonedID)
	s.startForwarded(is, 1, "5c0e7a21d94b36f9")
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Incarnation: 1, Withdrawn: []string{stopped.Task.Job}})
	s.replies(1, 300*time.Millisecond)
	s.report.Running = s.report.Running[1:]
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: stopped.Task, Number: stopped.Number, Result: dispatch.RunAborted}}
	s.replies(1, 40*time.Millisecond)
	s.leasedUntil()
	s.replies(1, 100*time.Millisecond)
	is.True(s.leasedUntil().Sub(s.now) > 800*time.Millisecond) // a lease of 1 s, less the age of a poll and of an answer
}

// TestNoTaskStartsWhereTheLeaseIsAboutToEnd guards against tasks that are started on a worker
// whose lease cannot be renewed, and that end with it.
func TestNoTaskStartsWhereTheLeaseIsAboutToEnd(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.startForwarded(is, 1, abandonedID)
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: "hr-north-a", Incarnation: 1, Withdrawn: []string{start.Task.Job}})
	s.replies(1, 800*time.Millisecond)
	s.effects.Starts = nil
	s.reply(1, forwardedJob("5c0e7a21d94b36f9"))
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 0)
}

// TestOrphanedRunIsNotRenewed guards against a new leader that renews the lease of a run
// whose receiver was lost together with the former leader.
func TestOrphanedRunIsNotRenewed(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.report.Running = []dispatch.RunningTask{{Task: dispatch.TaskID{Job: abandonedID}, Number: 1, Percent: 10}}
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	gone := s.now
	for !s.Leading() {
		s.Receive(s.now, secondLeader, &peer.Envelope{Zone: "hr-north-a", Beat: &peer.Beat{Reply: true}})
		s.advance(10 * time.Millisecond)
	}
	is.True(s.now.Sub(gone) < 700*time.Millisecond) // the run is still within its last lease
	s.testRunEnds(is, gone, false)
}

// TestReceiverConfirmsNoJobOfALeftCallerAfterAPause guards against a receiver that forwards jobs,
// or confirms them, before it has noticed which callers have left while it was paused. The job of
// a caller that waits is forwarded again at once.
func TestReceiverConfirmsNoJobOfALeftCallerAfterAPause(t *testing.T) {
	for _, left := range []bool{true, false} {
		is := is.New(t)
		s := newScriptedInstance()
		caller := s.followLeader()
		s.effects.Sends = nil
		s.now = s.now.Add(600 * time.Millisecond)
		s.left[caller] = left
		s.Receive(s.now, firstLeader, &peer.Envelope{
			Zone: "hr-north-a",
			Beat: &peer.Beat{Leads: []*peer.Lead{{Zone: "hr-north-a", Term: 1024}}, SentNanos: 5}, JobEnds: []*peer.JobEnd{{Id: abandonedID}},
		})
		s.take()
		is.Equal(s.jobSent(firstLeader) == nil, left)
		is.Equal(len(s.withdrawnFrom(firstLeader)) > 0, left) // with the answer to the heartbeat
	}
}

// TestWithdrawalCountsBeforeTheAnswerThatBringsIt guards against an answer of a receiver that
// confirms the job that it withdraws: the withdrawal was lost with a connection, and its
// repetition arrives with the first answer over the next one.
func TestWithdrawalCountsBeforeTheAnswerThatBringsIt(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.startForwarded(is, 1, abandonedID)
	s.replies(1, 100*time.Millisecond)
	gone := s.now
	for range 15 { // the run makes progress
		s.report.Running[0].Percent++
		s.advance(20 * time.Millisecond)
	}
	s.leasedUntil()
	s.Receive(s.now, firstLeader, &peer.Envelope{
		Zone: "hr-north-a", Incarnation: 1, Beat: &peer.Beat{Reply: true, EchoNanos: s.now.UnixNano()}, Withdrawn: []string{start.Task.Job},
	})
	s.testRunEnds(is, gone, true)
}

// TestFirstPollOfAZoneRenewsNoLease guards against an instance that leads a zone again and
// renews, with its first poll of a worker, the lease of runs that it does not know: those of
// the leader in between, which takes them for ended when its own lease is over.
func TestFirstPollOfAZoneRenewsNoLease(t *testing.T) {
	is := is.New(t)
	s := &scriptedInstance{now: simulationStart, clockStart: simulationStart}
	s.Instance = dispatch.NewInstance(s.now, dispatch.Config{
		Self: selfAddress, Zone: "hr-north-b", Zones: []string{"hr-north-a", "hr-north-b"}, Wall: s.now,
	})
	s.SetDrainedZones(s.now, 1, nil)
	leadsA := func(term uint64, successor string) {
		s.Receive(s.now, secondLeader, &peer.Envelope{Zone: "hr-north-a", Leaving: successor != "", Beat: &peer.Beat{
			Leads: []*peer.Lead{{Zone: "hr-north-a", Term: term}}, Successor: successor,
		}})
	}
	for !s.Leading() {
		s.advance(10 * time.Millisecond)
	}
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	term := uint64(1) << 62
	for range 2 {
		leadsA(term, "")
		s.advance(100 * time.Millisecond)
		s.effects.Polls = nil
		leadsA(term, selfAddress.String())
		s.advance(20 * time.Millisecond)
		is.True(len(s.effects.Polls) > 0)
		is.Equal(s.effects.Polls[0].Lease, time.Duration(0))
		s.advance(100 * time.Millisecond)
		term += 1 << 20
	}
}
