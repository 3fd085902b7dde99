package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// TestLargeTasksDoNotStarve checks that tasks of 12 cores start although
// small tasks flood the servers. With 8 slots and 16 cores, tasks of one core
// leave at most 8 cores, and a stream of them would never free 12.
func TestLargeTasksDoNotStarve(t *testing.T) {
	is := is.New(t)
	routes := []operator.Route{
		{Name: "large", Share: 1, Urgency: 10, Cores: 12, MemoryMiB: 1 << 10},
		{Name: "small", Share: 1, Urgency: 90, Cores: 1, MemoryMiB: 1 << 10},
	}
	sim := newSimulation(t, 1, routes, servers(4, 8))
	// 10 tasks of 100 ms every 20 ms need 50 slots; there are 32.
	sim.everyTick(func() { sim.submit("small", repeated(10, 100*time.Millisecond)...) })
	sim.run(time.Second)
	sim.submit("large", repeated(100, 200*time.Millisecond)...)
	sim.run(10 * time.Second)
	is.True(sim.started["large"] >= 20)
	is.True(sim.started["small"] >= 1000)
}

// TestTasksTooLargeForAnyServerBlockNoOthers checks that tasks that fit on no
// server do not keep other tasks from starting, and become overdue.
func TestTasksTooLargeForAnyServerBlockNoOthers(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(t)
	sched.SetRoutes([]operator.Route{
		{Name: "too-large", Share: 9, Urgency: 90, Cores: 17},
		{Name: "small", Share: 1, Urgency: 10, Cores: 1},
	})
	sched.SetServers(begin, servers(1, 2))
	sched.Push(begin, backend.Task[int]{ID: 1, Route: "too-large", Deadline: begin.Add(time.Second)})
	sched.Push(begin, backend.Task[int]{ID: 2, Route: "small"})
	s, ok := sched.Next(begin)
	is.True(ok)
	is.Equal(s.ID, 2)
	_, ok = sched.Next(begin)
	is.True(!ok)
	is.Equal(sched.RemoveOverdue(begin.Add(time.Second)), []int{1})
}

// TestUnknownReportedTasksOccupySlots checks that tasks that a server reports
// but that the Scheduler does not know of, such as those whose responses were
// lost, occupy slots once two consecutive reports include them.
func TestUnknownReportedTasksOccupySlots(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(t)
	sched.SetRoutes(oneRoute)
	sched.SetServers(begin, servers(1, 2))
	report := backend.Outcome{Kind: backend.Done, Reported: true, Running: 2}
	for id := range 2 {
		sched.Push(begin, backend.Task[int]{ID: id, Route: "preview"})
		_, ok := sched.Next(begin)
		is.True(ok)
		sched.Done(begin, id, report)
	}
	sched.Push(begin, backend.Task[int]{ID: 2, Route: "preview"})
	_, ok := sched.Next(begin)
	is.True(!ok)
	_, ok = sched.Next(begin.Add(2 * time.Second)) // The reports have expired.
	is.True(ok)
}

// TestTasksStartInArrivalOrder checks that tasks that are pushed in another
// order than that of their arrival start in the order of their arrival.
func TestTasksStartInArrivalOrder(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(t)
	sched.SetRoutes(oneRoute)
	sched.SetServers(begin, servers(1, 1))
	for id, arrived := range []time.Duration{3, 1, 4, 1, 0} {
		sched.Push(begin, backend.Task[int]{ID: id, Route: "preview", Arrived: begin.Add(arrived)})
	}
	for _, want := range []int{4, 1, 3, 0, 2} {
		s, ok := sched.Next(begin)
		is.True(ok)
		is.Equal(s.ID, want)
		sched.Done(begin, s.ID, backend.Outcome{Kind: backend.Done})
	}
}
