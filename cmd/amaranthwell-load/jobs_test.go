package main

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestIdealIsLongestTaskOrShareOfSlots(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name     string
		runTimes []time.Duration
		speed    float64
		slots    int
		want     time.Duration
	}{
		{"longest task at mean speed 2", []time.Duration{second, 2 * second}, 2, 8, second + time.Millisecond},
		{"total run time over all slots", []time.Duration{second, second, second, second}, 1, 2, 2*second + time.Millisecond},
		{"one long task and short ones", []time.Duration{3 * second, second, second}, 1, 2, 3*second + time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ideal(job{runTimes: tt.runTimes}, tt.speed, tt.slots), tt.want)
		})
	}
}

func TestNewJobWithinBounds(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		j := newJob(r, "previews")
		is.True(len(j.runTimes) >= 1 && len(j.runTimes) <= maxTasksLargeJob)
		for _, d := range j.runTimes {
			is.True(d >= shortestTask && d <= longestLongTask)
		}
	}
}

// The result of another task of the job must not match, even if the two tasks differ only
// in their index.
func TestMatchesResultsOnlyInTaskOrder(t *testing.T) {
	is := is.New(t)
	j := job{id: "a", runTimes: []time.Duration{time.Second, time.Second}}
	p := j.payloads()
	first, second := append([]byte("done:"), p[0]...), append([]byte("done:"), p[1]...)
	is.True(j.matchesResults([][]byte{first, second}))
	is.True(!j.matchesResults([][]byte{second, first}))
	is.True(!j.matchesResults([][]byte{first}))
}

func TestFleetHasSpecifiedServersAndFullLoad(t *testing.T) {
	for _, f := range []*fleet{newSapicaFleet(40), newKwenaFleet(40)} {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(f.servers), 50) // The specified number of workers.
			// The mean of a log-uniform distribution on [1/2, 2] is (2-1/2)/ln(2/(1/2)).
			is.True(math.Abs(f.meanSpeed()-1.5/math.Log(4)) < 0.01)
			sum := 0.0
			for _, r := range f.routes {
				sum += r.loadFraction
			}
			is.True(math.Abs(sum-1) < 1e-9)
		})
	}
}
