package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// leaderOf returns the instance that leads, or nil.
func (w *world) leaderOf() *worldNode {
	for _, n := range w.nodes {
		if n.instance != nil && !n.frozen && n.instance.Leading() {
			return n
		}
	}
	return nil
}

// TestNoFalseRefusalAfterAChangeOfLeaders ends leaders one after the other while
// more jobs come than the workers can take: some cannot be served, and none of
// which anything ran is said not to have run.
func TestNoFalseRefusalAfterAChangeOfLeaders(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.run(stormWarmUp)
	for range 6 {
		for range 40 {
			w.submit(w.random.IntN(len(worldZones)))
		}
		w.run(400 * time.Millisecond)
		if n := w.leaderOf(); n != nil {
			n.kill()
			w.after(time.Second, n.start)
		}
		w.run(1500 * time.Millisecond)
	}
	w.run(10 * time.Second)
	w.judgeRefusals()
	is.Equal(w.violations, nil)
	overdue := 0
	for _, j := range w.jobs {
		if slices.Contains(j.answered, dispatch.Overdue) {
			overdue++
		}
	}
	is.True(overdue > 0) // the test reaches what it is for
}

// TestReceiverForgetsALossThatPassed silences the leader for less than its
// followers take to replace it, long before it is replaced: what the next leader
// is told of the time after which nothing runs counts from the real loss.
func TestReceiverForgetsALossThatPassed(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		w := newWorld(seed)
		w.run(stormWarmUp)
		w.arrivals(8 * time.Second)
		for range 6 {
			leader := w.leaderOf()
			w.cutNode(leader, 480*time.Millisecond, true, true)
			w.run(1500 * time.Millisecond)
			// Two of its workers give the next leader no answer.
			for _, f := range w.workers[:2] {
				for _, n := range w.nodes {
					if n != leader {
						w.cutPair(n.name(), f.entry.ID, 300*time.Millisecond, true)
					}
				}
			}
			w.cutNode(leader, 900*time.Millisecond, true, true)
			w.run(1500 * time.Millisecond)
		}
		is.Equal(w.violations, nil)
	}
}

// TestWorkersThatFailAreLeftOut makes a worker fail all that it starts: jobs
// complete on the others.
func TestWorkersThatFailAreLeftOut(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.workers[0].failing = true
	w.run(stormWarmUp)
	w.arrivals(6 * time.Second)
	w.run(12 * time.Second)
	completed := 0
	for _, j := range w.jobs {
		if j.end == dispatch.Completed {
			completed++
		}
	}
	is.Equal(w.violations, nil)
	is.True(completed*10 >= len(w.jobs)*9) // one worker of twelve is bad, and tasks are tried three times
}

// TestLeavingWorkerGetsNoTask marks a worker as leaving: it starts nothing from
// then on.
func TestLeavingWorkerGetsNoTask(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(stormWarmUp)
	w.arrivals(3 * time.Second)
	w.run(time.Second)
	leaving := w.workers[0]
	leaving.entry.Leaving = true
	for _, n := range w.nodes {
		n.do(n.life, n.listWorkers)
	}
	w.run(10 * time.Millisecond)
	before := leaving.next + int64(len(leaving.runs))
	w.run(8 * time.Second)
	is.Equal(leaving.next, before)
	is.Equal(w.violations, nil)
}
