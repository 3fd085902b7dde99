package dispatch_test

import (
	"strconv"
	"testing"
	"time"
)

const (
	// starvedPatience is the time for which a caller waits before it closes its connection.
	starvedPatience = 1500 * time.Millisecond
	// maxBacklog is the longest time after a pause in which an instance handles an event
	// that arrived during the pause.
	maxBacklog = 300 * time.Millisecond
)

// TestRandomFaultsWithStarvedReceivers guards against a receiver that asks for a job whose
// caller has left: after a pause it handles the requests, the closed connections and the
// heartbeats that have arrived meanwhile in any order, while the job that was submitted again
// runs at the leader of another shard or zone.
func TestRandomFaultsWithStarvedReceivers(t *testing.T) {
	for _, test := range []struct {
		name string
		cfg  simulationConfig
	}{
		{"", simulationConfig{apart: true, starved: true}},
		{"shards-", simulationConfig{apart: true, starved: true, shards: true}},
	} {
		for seed := range seeds() {
			t.Run(test.name+strconv.FormatUint(seed, 10), func(t *testing.T) { runRandomFaults(t, newSimulationOf(seed, test.cfg)) })
		}
	}
}
