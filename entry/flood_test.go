package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// TestFloodIsRefusedNotFailed floods 6 instances with about 10 times what their
// 96 slots can run. An admitted job is expected to wait for at most half of its
// timeout, so that hardly one may end in failure.
func TestFloodIsRefusedNotFailed(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, 12)
	w.tables.Routes[1].Timeout = 8 * time.Second
	w.runTime = func(s entry.Start) time.Duration {
		run := time.Duration(50+w.random.IntN(500)) * time.Millisecond
		if s.Server.Addr().As4()[3]%3 == 0 {
			return 4 * run // so slow that holders leave slots idle
		}
		return run
	}
	w.run(settle)
	var ids []entry.CallerID
	for range 1200 {
		for range 3 {
			job := caller.Job{Route: "thumbnails", Tasks: payloads(1 + w.random.IntN(20))}
			ids = append(ids, w.submit(instanceAddress(w.random.IntN(6)), job))
		}
		w.run(10 * time.Millisecond)
	}
	w.run(20 * time.Second)
	ended := make(map[caller.Status]int)
	for _, id := range ids {
		is.Equal(len(w.answers[id]), 1)
		ended[w.answers[id][0].Status]++
	}
	// 64 fast slots run some 200 tasks a second, 20 jobs, for 12 s.
	is.True(ended[caller.Complete] > 200)
	is.True(ended[caller.Failed]*20 <= ended[caller.Complete])
}

// TestOverdueTaskIsNotGivenOutAgain has a task wait behind 8 slow ones until it
// can no longer end in time.
func TestOverdueTaskIsNotGivenOutAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 1, 1)
	w.run(settle)
	for range 20 {
		w.submit(instanceAddress(0), caller.Job{Route: "previews", Tasks: payloads(4)})
		w.run(time.Second)
	}
	w.runTime = func(entry.Start) time.Duration { return 2 * time.Second }
	job := caller.Job{Route: "previews", Timeout: time.Second, Tasks: payloads(9)}
	id := w.submit(instanceAddress(0), job)
	w.run(980 * time.Millisecond) // a task needs 100 ms
	is.Equal(len(w.answers[id]), 1)
	is.Equal(w.answers[id][0].Status, caller.Failed)
	is.Equal(w.answers[id][0].Reason, caller.ReasonTimeout)
	is.Equal(w.nodes[instanceAddress(0)].instance.Counts().Returned, uint64(0))
}
