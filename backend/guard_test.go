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
	is.Equal(h.Overdue(begin.Add(time.Second)), []int{1})
}

// TestForeignTasks has a former holder's tasks take slots of a server.
func TestForeignTasks(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.SetRoutes(oneRoute)
	rows := servers(1, 2)
	h.SetServers(begin, rows)
	h.SetForeign(begin, rows[0].Address, 1)
	h.Push(begin, backend.Task[int]{ID: 1, Route: "preview"})
	h.Push(begin, backend.Task[int]{ID: 2, Route: "preview"})
	_, ok := h.Next(begin)
	is.True(ok)
	_, ok = h.Next(begin)
	is.True(!ok)
	h.SetForeign(begin, rows[0].Address, 0)
	_, ok = h.Next(begin)
	is.True(ok)
}

// TestReleasedServer takes a server away while tasks run there, and gives it
// back.
func TestReleasedServer(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.SetRoutes(oneRoute)
	rows := servers(1, 2)
	addr := rows[0].Address
	h.SetServers(begin, rows)
	for id := range 3 {
		h.Push(begin, backend.Task[int]{ID: id, Route: "preview"})
	}
	for range 2 {
		_, ok := h.Next(begin)
		is.True(ok)
	}
	h.SetServers(begin, nil)
	is.Equal(h.Running(addr), 2)
	is.Equal(h.Load().Slots, 0)
	h.Done(begin.Add(time.Second), 0, backend.Outcome{Kind: backend.Done})
	is.Equal(h.Running(addr), 1)
	_, ok := h.Next(begin.Add(time.Second))
	is.True(!ok)
	h.SetServers(begin.Add(time.Second), rows)
	s, ok := h.Next(begin.Add(time.Second))
	is.True(ok)
	is.Equal(s.ID, 2)
	is.Equal(h.Running(addr), 2)
}

// TestUnknownTasks has Done and Remove called for tasks that are not there, and
// Push twice for one.
func TestUnknownTasks(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.SetRoutes(oneRoute)
	h.SetServers(begin, servers(1, 2))
	h.Done(begin, 1, backend.Outcome{})
	is.True(!h.Remove(1))
	h.Push(begin, backend.Task[int]{ID: 1, Route: "preview"})
	h.Push(begin, backend.Task[int]{ID: 1, Route: "preview"})
	h.Done(begin, 1, backend.Outcome{Kind: backend.Done}) // It has not started.
	_, ok := h.Next(begin)
	is.True(ok)
	_, ok = h.Next(begin)
	is.True(!ok)
	h.Push(begin, backend.Task[int]{ID: 1, Route: "preview"})
	is.Equal(len(h.Load().Queued), 0)
}
