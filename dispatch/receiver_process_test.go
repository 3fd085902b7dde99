package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// forwardedJob is a job of one task that runs for long, as a receiver forwards it.
func forwardedJob(id string) *peer.Job {
	return &peer.Job{
		Id: id, Pool: "editor", MaxAttempts: 1, Stretch: 2, SlackNanos: int64(time.Second), PatienceNanos: int64(8 * time.Second),
		Steps: []*peer.Step{{Tasks: 1, Millicores: 1000, EstimateNanos: int64(2500 * time.Millisecond)}},
	}
}

// reply delivers an answer of the receiver's process to the heartbeat that the instance
// sends now, with jobs that the process forwards.
func (s *scriptedInstance) reply(incarnation uint64, jobs ...*peer.Job) {
	s.Receive(s.now, firstLeader, &peer.Envelope{
		Zone: "hr-north-a", Incarnation: incarnation, Beat: &peer.Beat{Reply: true, EchoNanos: s.now.UnixNano()}, Jobs: jobs,
	})
}

// replies advances the time by d while the receiver's process answers heartbeats.
func (s *scriptedInstance) replies(incarnation uint64, d time.Duration) {
	for range d / (20 * time.Millisecond) {
		s.reply(incarnation)
		s.advance(20 * time.Millisecond)
	}
}

// startForwarded forwards a job from the receiver's process and lets its only task run.
func (s *scriptedInstance) startForwarded(is *is.I, incarnation uint64, id string) dispatch.Start {
	is.Helper()
	started := len(s.effects.Starts)
	s.reply(incarnation, forwardedJob(id))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), started+1)
	start := s.effects.Starts[started]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.report.Running = append(s.report.Running, dispatch.RunningTask{Task: start.Task, Number: start.Number, Percent: 10})
	s.advance(20 * time.Millisecond)
	return start
}

// TestRunsEndWhenTheirReceiverRestarts guards against runs that outlive the process whose
// caller waited for them: a restarted receiver sends heartbeats from the same address, but
// its callers have lost their connections and send their jobs elsewhere.
func TestRunsEndWhenTheirReceiverRestarts(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	start := s.startForwarded(is, 1, "5c0e7a21d94b36f8")
	s.replies(1, 200*time.Millisecond)
	is.Equal(len(s.effects.Stops), 0)
	s.reply(2)
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Stops), 1)
	is.Equal(s.effects.Stops[0].Task, start.Task)
}

// TestEnvelopeOfAReplacedProcessIsIgnored guards against jobs that arrive late from a
// process that has ended since: nobody waits for them.
func TestEnvelopeOfAReplacedProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.reply(1)
	s.reply(2)
	s.reply(1, forwardedJob("5c0e7a21d94b36f8"))
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 0)
	s.startForwarded(is, 2, "5c0e7a21d94b36f9")
}
