package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// TestWaitingTasksReturnWhenAllServersLeave checks that tasks do not wait until
// their timeout at a holder whose servers have all left. The servers of one
// instance's availability zone leave at several moments of an overload, because
// tasks wait there only at some of them.
func TestWaitingTasksReturnWhenAllServersLeave(t *testing.T) {
	for moment := 50 * time.Millisecond; moment <= 500*time.Millisecond; moment += 50 * time.Millisecond {
		t.Run(moment.String(), func(t *testing.T) { leaveDuringOverload(is.New(t), moment) })
	}
}

// leaveDuringOverload checks one case of the test above: the servers leave at the given
// time after the jobs were submitted.
func leaveDuringOverload(is *is.I, moment time.Duration) {
	sim := newSimulation(8, 3, 6)
	sim.run(settleTime)
	var ids []entry.CallerID
	for range 10 {
		ids = append(ids, sim.submit(instanceAddress(1), caller.Job{Route: "thumbnails", Tasks: payloads(100)}))
	}
	sim.run(moment)
	for _, n := range []int{0, 3} { // the servers of instance 0's zone
		sim.list.Instances = append(sim.list.Instances, peer.Instance{
			Address: serverAddress(n), Kind: peer.BackendServer, Zone: zoneOf(n), Leaving: true,
		})
	}
	sim.setList(sim.list)
	sim.run(25 * time.Second) // the route's timeout is 20 s
	for _, id := range ids {
		is.Equal(len(sim.answers[id]), 1)
		is.Equal(sim.answers[id][0].Status, caller.Complete)
	}
	is.Equal(len(sim.starts), 1000) // 10 jobs of 100 tasks
	for _, n := range sim.starts {
		is.Equal(n, 1)
	}
}
