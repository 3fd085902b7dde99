package backend_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// threeRoutes have shares of 6, 3 and 1 in 10.
var threeRoutes = []operator.Route{
	{Name: "preview", Share: 6, Urgency: 90},
	{Name: "retouch", Share: 3, Urgency: 50},
	{Name: "share", Share: 1, Urgency: 10},
}

// TestFloodKeepsGuarantees floods one route after the other, the least and the
// most urgent among them, while the others use most of their guarantees. Their
// jobs must stay nearly as fast as without the flood.
func TestFloodKeepsGuarantees(t *testing.T) {
	for _, flooding := range []string{"preview", "retouch", "share"} {
		t.Run(flooding, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, threeRoutes, servers(10, 8))
			for _, r := range threeRoutes {
				if r.Name != flooding {
					// Half of the guarantee, which is share/10 of 80 slots.
					w.arrive(r.Name, 1, float64(r.Share)/10*80/2)
				}
			}
			w.run(30 * time.Second)
			clear(w.ratios)
			w.arrive(flooding, 8, 10*80) // Ten times what the servers can take.
			w.run(60 * time.Second)
			for _, r := range threeRoutes {
				ratios := w.ratios[r.Name]
				if r.Name != flooding {
					is.True(len(ratios) > 500)
					// A slot is freed each 0.38 s/80 = 5 ms, and the two
					// use less than half. One in a hundred may wait ten
					// times that, which is the shortest task, 50 ms.
					is.True(percentile(ratios, 99) < 2)
				}
			}
			// The flood gets all that the others leave.
			is.Equal(w.h.Load().Free, 0)
		})
	}
}

// TestLentSlotsReturn has a flood take all slots, and then another route ask
// for its guarantee: it must have it after one task's length.
func TestLentSlotsReturn(t *testing.T) {
	for flooding, shares := range map[string]int{"preview": 6, "share": 1} {
		is := is.New(t)
		w := newWorld(t, 1, threeRoutes, servers(10, 8))
		w.repeat(func() {
			if load := w.h.Load(); load.Free > 0 || load.Waiting() < 1 {
				w.submit(flooding, repeated(100, time.Second)...)
			}
		})
		w.run(20 * time.Second)
		is.Equal(w.running[flooding], 80)
		w.submit("retouch", repeated(100, time.Second)...)
		w.run(time.Second + tickEvery)
		// The guarantee is 3/10 of 80 slots, 24. What the third route does
		// not use is lent by share, so that 80 slots are split 3 to shares.
		want := 80 * 3 / float64(3+shares)
		is.True(math.Abs(float64(w.running["retouch"])-want) <= 1)
		is.Equal(w.running[flooding], 80-w.running["retouch"])
	}
}

func repeated(n int, run time.Duration) []time.Duration {
	runs := make([]time.Duration, n)
	for i := range runs {
		runs[i] = run
	}
	return runs
}

// TestFractionalGuarantees floods all of nine routes that share two slots. No
// route may starve: each must get about a ninth of the service.
func TestFractionalGuarantees(t *testing.T) {
	is := is.New(t)
	var routes []operator.Route
	for i := range 9 {
		routes = append(routes, operator.Route{Name: fmt.Sprint("route-", i), Share: 1, Urgency: 10 * i})
	}
	w := newWorld(t, 1, routes, servers(1, 2))
	for _, r := range routes {
		w.submit(r.Name, repeated(2000, 100*time.Millisecond)...)
	}
	w.run(90 * time.Second)
	for _, r := range routes {
		// 90 s on two slots is 1800 tasks of 100 ms, 200 a route.
		is.True(w.started[r.Name] > 180)
		is.True(w.started[r.Name] < 220)
	}
}

// TestGuaranteeProperty has one route use all slots, and then all the others
// ask for theirs. Each must have its whole guaranteed slots after one task's
// length, for any shares, urgencies and servers.
func TestGuaranteeProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "routes")
		var routes []operator.Route
		shares := 0
		for i := range n {
			r := operator.Route{
				Name:    fmt.Sprint(i),
				Share:   rapid.IntRange(1, 1000).Draw(rt, "share"),
				Urgency: rapid.IntRange(0, 100).Draw(rt, "urgency"),
			}
			shares += r.Share
			routes = append(routes, r)
		}
		rows := servers(rapid.IntRange(1, 10).Draw(rt, "servers"), rapid.IntRange(1, 8).Draw(rt, "slots"))
		w := newWorld(t, 1, routes, rows)
		flooding := rapid.IntRange(0, n-1).Draw(rt, "flooding")
		w.submit(routes[flooding].Name, repeated(1000, time.Second)...)
		w.run(10 * time.Second) // The servers' probation ends.
		if w.h.Load().Free > 0 {
			rt.Fatalf("%d slots are not lent", w.h.Load().Free)
		}
		for i, r := range routes {
			if i != flooding {
				w.submit(r.Name, repeated(300, time.Second)...)
			}
		}
		w.run(time.Second + tickEvery)
		slots := w.h.Load().Slots
		for _, r := range routes {
			if w.running[r.Name] < slots*r.Share/shares {
				rt.Fatalf("route %+v runs %d of %d slots, shares %d", r, w.running[r.Name], slots, shares)
			}
		}
	})
}

// TestCancelWave removes thousands of tasks and then starts the others.
func TestCancelWave(t *testing.T) {
	is := is.New(t)
	h := newHolding(t)
	h.SetRoutes(threeRoutes)
	h.SetServers(begin, servers(1, 2))
	const tasks = 20_000
	for id := range tasks {
		h.Push(begin, backend.Task[int]{ID: id, Route: "share", Deadline: begin.Add(time.Hour)})
	}
	for id := range tasks {
		if id != 7 && id != tasks-1 {
			is.True(h.Remove(id))
		}
	}
	is.True(!h.Remove(0))
	for _, want := range []int{7, tasks - 1} {
		s, ok := h.Next(begin)
		is.True(ok)
		is.Equal(s.ID, want)
	}
	is.True(!h.Remove(7))
	load := h.Load()
	is.Equal(load.Slots, 2)
	is.Equal(load.Free, 0)
	is.Equal(len(load.Idle), 0)
	is.Equal(load.Waiting(), 0)
}
