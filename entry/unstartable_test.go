package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// TestTasksLeaveAHolderWhoseServersAllLeave lets the servers of one instance's
// zone leave at several moments of a flood, since tasks wait there only at some.
func TestTasksLeaveAHolderWhoseServersAllLeave(t *testing.T) {
	for moment := 50 * time.Millisecond; moment <= 500*time.Millisecond; moment += 50 * time.Millisecond {
		t.Run(moment.String(), func(t *testing.T) { leaveDuringFlood(is.New(t), moment) })
	}
}

func leaveDuringFlood(is *is.I, moment time.Duration) {
	w := newWorld(8, 3, 6)
	w.run(settle)
	var ids []entry.CallerID
	for range 10 {
		ids = append(ids, w.submit(instanceAddress(1), caller.Job{Route: "thumbnails", Tasks: payloads(100)}))
	}
	w.run(moment)
	for _, n := range []int{0, 3} { // the servers of instance 0's zone
		w.list.Instances = append(w.list.Instances, peer.Instance{
			Address: serverAddress(n), Kind: peer.BackendServer, Zone: zoneOf(n), Leaving: true,
		})
	}
	w.setList(w.list)
	w.run(25 * time.Second) // the route's timeout is 20 s
	for _, id := range ids {
		is.Equal(len(w.answers[id]), 1)
		is.Equal(w.answers[id][0].Status, caller.Complete)
	}
	is.Equal(len(w.starts), 1000) // 10 jobs of 100 tasks
	for _, n := range w.starts {
		is.Equal(n, 1)
	}
}
