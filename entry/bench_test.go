package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
)

// BenchmarkTask measures the control state's time and allocations per task, in jobs
// of 1,300 tasks, on one instance that owns the jobs and holds all backend servers.
func BenchmarkTask(b *testing.B) {
	for _, servers := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) { benchmarkTask(b, servers) })
	}
}

func benchmarkTask(b *testing.B, servers int) {
	sim := newSimulation(1, 1, servers)
	i := sim.nodes[instanceAddress(0)].instance
	now := sim.now
	tasks := payloads(caller.MaxTasks)
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; done += len(tasks) {
		i.Submit(now, 1, caller.Job{Route: "previews", Tasks: tasks})
		for answered := false; !answered; {
			now = now.Add(10 * time.Millisecond)
			i.Tick(now)
			effects := i.Take(now)
			for len(effects.Starts) > 0 {
				for _, s := range effects.Starts {
					i.TaskDone(now, s.Task, backend.Outcome{Kind: backend.Done, Body: s.Payload})
				}
				answered = answered || len(effects.Answers) > 0
				effects = i.Take(now)
			}
			answered = answered || len(effects.Answers) > 0
		}
	}
}
