package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// BenchmarkScheduler measures the cost of a task from Push to Done while all
// slots are busy and tasks are waiting.
func BenchmarkScheduler(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			sched := newScheduler(b)
			sched.SetRoutes([]operator.Route{
				{Name: "preview", Share: 6, Urgency: 90, Cores: 1, MemoryMiB: 512},
				{Name: "retouch", Share: 3, Urgency: 50, Cores: 2, MemoryMiB: 1024},
				{Name: "share", Share: 1, Urgency: 10, Cores: 1, MemoryMiB: 256},
			})
			now := begin
			sched.SetServers(now, servers(n, 8))
			routes := []string{"preview", "retouch", "share"}
			next := 0
			push := func() {
				next++
				sched.Push(now, backend.Task[int]{ID: next, Route: routes[next%3], Deadline: now.Add(time.Minute)})
			}
			var started []int
			start := func() {
				for s, ok := sched.Next(now); ok; s, ok = sched.Next(now) {
					started = append(started, s.ID)
				}
			}
			step := func() {
				push()
				now = now.Add(time.Second / time.Duration(8*n))
				sched.Done(now, started[0], backend.Outcome{Kind: backend.Done, Reported: true})
				started = started[1:]
				start()
			}
			for range 16 * n {
				push()
			}
			start()
			for range 100 * n {
				step()
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				step()
			}
		})
	}
}
