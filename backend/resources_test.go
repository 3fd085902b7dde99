package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// TestLargeTasksAreNotKeptOut floods with tasks of one core, of which the slots
// leave 8 of 16 cores, while others want 12 cores.
func TestLargeTasksAreNotKeptOut(t *testing.T) {
	is := is.New(t)
	routes := []operator.Route{
		{Name: "large", Share: 1, Urgency: 10, Cores: 12, MemoryMiB: 1 << 10},
		{Name: "small", Share: 1, Urgency: 90, Cores: 1, MemoryMiB: 1 << 10},
	}
	w := newWorld(t, 1, routes, servers(4, 8))
	// 10 tasks of 100 ms each 20 ms are 50 on 32 slots.
	w.repeat(func() { w.submit("small", repeated(10, 100*time.Millisecond)...) })
	w.run(time.Second)
	w.submit("large", repeated(100, 200*time.Millisecond)...)
	w.run(10 * time.Second)
	is.True(w.started["large"] >= 20)
	is.True(w.started["small"] >= 1000)
}

// TestTooLargeTasks has tasks that no server can ever take: they must not keep
// others out, and end as overdue.
func TestTooLargeTasks(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.SetRoutes([]operator.Route{
		{Name: "too-large", Share: 9, Urgency: 90, Cores: 17},
		{Name: "small", Share: 1, Urgency: 10, Cores: 1},
	})
	h.SetServers(begin, servers(1, 2))
	h.Push(begin, backend.Task[int]{ID: 1, Route: "too-large", Deadline: begin.Add(time.Second)})
	h.Push(begin, backend.Task[int]{ID: 2, Route: "small"})
	s, ok := h.Next(begin)
	is.True(ok)
	is.Equal(s.ID, 2)
	_, ok = h.Next(begin)
	is.True(!ok)
	is.Equal(h.RemoveOverdue(begin.Add(time.Second)), []int{1})
}

// TestStrayTasks has a server report tasks that nobody knows of, as those whose
// answers were lost: they take slots once two reports name them.
func TestStrayTasks(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.SetRoutes(oneRoute)
	h.SetServers(begin, servers(1, 2))
	report := backend.Outcome{Kind: backend.Done, Reported: true, Running: 2}
	for id := range 2 {
		h.Push(begin, backend.Task[int]{ID: id, Route: "preview"})
		_, ok := h.Next(begin)
		is.True(ok)
		h.Done(begin, id, report)
	}
	h.Push(begin, backend.Task[int]{ID: 2, Route: "preview"})
	_, ok := h.Next(begin)
	is.True(!ok)
	_, ok = h.Next(begin.Add(2 * time.Second)) // The reports are out of date.
	is.True(ok)
}

// TestArrivalOrder pushes tasks out of the order of their arrival.
func TestArrivalOrder(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.SetRoutes(oneRoute)
	h.SetServers(begin, servers(1, 1))
	for id, arrived := range []time.Duration{3, 1, 4, 1, 0} {
		h.Push(begin, backend.Task[int]{ID: id, Route: "preview", Arrived: begin.Add(arrived)})
	}
	for _, want := range []int{4, 1, 3, 0, 2} {
		s, ok := h.Next(begin)
		is.True(ok)
		is.Equal(s.ID, want)
		h.Done(begin, s.ID, backend.Outcome{Kind: backend.Done})
	}
}
