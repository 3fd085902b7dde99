package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPausedLeaderDoesNotRenewTheLeasesOfItsOwnJobs guards against a run that goes on beside the
// next submission of its job: the leader is the receiver of the job, and is paused for too short a
// time to give up its zone. The caller leaves when the pause begins, and may submit the job
// elsewhere resubmitAfter later. The leader learns of it after the pause, and all its stop commands
// are lost. By then no lease may last.
func TestPausedLeaderDoesNotRenewTheLeasesOfItsOwnJobs(t *testing.T) {
	for _, pause := range []time.Duration{20, 100, 200, 300, 400, 500, 600} {
		for _, abandonFirst := range []bool{false, true} {
			is := is.NewRelaxed(t)
			s := newScriptedInstance()
			s.lead()
			s.startOwn(is)
			s.advance(100 * time.Millisecond)

			gone := s.now
			s.left[1] = true
			s.now = s.now.Add(pause * time.Millisecond)
			s.effects.Polls = nil
			if abandonFirst {
				s.Abandon(s.now, 1)
			}
			s.Tick(s.now)
			s.take()
			s.Abandon(s.now, 1)
			s.advance(gone.Add(resubmitAfter).Sub(s.now))
			is.True(!s.leasedUntil().Add(stopTime).After(gone.Add(resubmitAfter)))
		}
	}
}
