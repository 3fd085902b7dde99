package dispatch_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// An instance that has a worker and no peer takes the leadership of its zone after a
// while, and commands the worker to run a caller's task.
func ExampleInstance() {
	now := time.Unix(1_800_000_000, 0)
	i := dispatch.NewInstance(now, dispatch.Config{
		Self: netip.MustParseAddrPort("10.0.0.1:70"), Zone: "hr-north-a", Zones: []string{"hr-north-a"}, Wall: now,
	})
	i.SetWorker(now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 4000, Memory: 100},
	})
	i.SetDrainedZones(now, 1, nil)
	step := func() dispatch.Effects {
		now = now.Add(20 * time.Millisecond)
		i.Tick(now)
		effects := i.Take(now)
		for _, poll := range effects.Polls {
			i.PollDone(now, poll, dispatch.Report{Incarnation: 1, Clock: now.Sub(time.Unix(1_800_000_000, 0))}, dispatch.Accepted)
		}
		return effects
	}
	for !i.Leading() {
		step()
	}
	i.Submit(now, 1, dispatch.Job{
		ID: "5c0e7a21d94b36f8", Route: "previews", Pool: "editor", MaxAttempts: 1, Stretch: 2, Slack: time.Second,
		Steps:   []dispatch.Step{{Tasks: 1, Needs: dispatch.Resources{Millicores: 1000, Memory: 1}, Estimate: 60 * time.Millisecond}},
		Arrived: now, CallerDeadline: now.Add(time.Second),
	})
	for range 20 {
		for _, start := range step().Starts {
			fmt.Println(start.Worker, start.Task, start.Number)
		}
	}
	// Output: w-1 {5c0e7a21d94b36f8 0 0} 1
}
