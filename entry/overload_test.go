package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// TestOverloadIsRefusedNotFailed checks that overload leads to refusals rather than
// to timeouts. It submits about 10 times the work that 96 slots can run to 6
// instances. The expected queueing time of an admitted job is at most half of its
// timeout, so almost none may fail.
func TestOverloadIsRefusedNotFailed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 6, 12)
	sim.tables.Routes[1].Timeout = 8 * time.Second
	sim.runTime = func(s entry.Start) time.Duration {
		run := time.Duration(50+sim.random.IntN(500)) * time.Millisecond
		if s.Server.Addr().As4()[3]%3 == 0 {
			return 4 * run // so slow that holders leave slots idle
		}
		return run
	}
	sim.run(settleTime)
	var ids []entry.CallerID
	for range 1200 {
		for range 3 {
			job := caller.Job{Route: "thumbnails", Tasks: payloads(1 + sim.random.IntN(20))}
			ids = append(ids, sim.submit(instanceAddress(sim.random.IntN(6)), job))
		}
		sim.run(10 * time.Millisecond)
	}
	sim.run(20 * time.Second)
	ended := make(map[caller.Status]int)
	for _, id := range ids {
		is.Equal(len(sim.answers[id]), 1)
		ended[sim.answers[id][0].Status]++
	}
	// 64 fast slots run some 200 tasks a second, 20 jobs, for 12 s.
	is.True(ended[caller.Complete] > 200)
	is.True(ended[caller.Failed]*20 <= ended[caller.Complete])
}

// TestOverdueTaskIsNotReassigned checks that a task that can no longer end by its
// deadline fails its job instead of going to another holder. The task waits behind 8
// slow ones.
func TestOverdueTaskIsNotReassigned(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 1, 1)
	sim.run(settleTime)
	for range 20 {
		sim.submit(instanceAddress(0), caller.Job{Route: "previews", Tasks: payloads(4)})
		sim.run(time.Second)
	}
	sim.runTime = func(entry.Start) time.Duration { return 2 * time.Second }
	job := caller.Job{Route: "previews", Timeout: time.Second, Tasks: payloads(9)}
	id := sim.submit(instanceAddress(0), job)
	sim.run(980 * time.Millisecond) // a task needs 100 ms
	is.Equal(len(sim.answers[id]), 1)
	is.Equal(sim.answers[id][0].Status, caller.Failed)
	is.Equal(sim.answers[id][0].Reason, caller.ReasonTimeout)
	is.Equal(sim.nodes[instanceAddress(0)].instance.Counts().Returned, uint64(0))
}
