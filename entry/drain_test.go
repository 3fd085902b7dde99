package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
)

// TestDrainWaitsUntilPeersKnow lets an idle holder shut down while tasks are on
// their way to it.
func TestDrainWaitsUntilPeersKnow(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 6, 12)
	w.run(settle)
	owner, holder := instanceAddress(0), instanceAddress(5)
	job := caller.Job{Key: w.key(owner), Route: "previews", Tasks: payloads(200)}
	w.seen = func(p point) {
		if p.kind == pointSent && p.at == owner && p.peer == holder && len(p.env.Runs) > 0 {
			w.seen = nil
			w.drain(holder)
		}
	}
	id := w.submit(instanceAddress(1), job)
	w.run(time.Minute)
	is.True(!w.nodes[holder].up)
	is.Equal(len(w.answers[id]), 1)
	mustBeWhole(is, w.answers[id][0], job.Tasks)
}
