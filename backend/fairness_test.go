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

// threeRoutes holds routes with shares of 6, 3 and 1, in total 10.
var threeRoutes = []operator.Route{
	{Name: "preview", Share: 6, Urgency: 90},
	{Name: "retouch", Share: 3, Urgency: 50},
	{Name: "share", Share: 1, Urgency: 10},
}

// TestFloodKeepsGuarantees floods one route while the others use half of
// their guarantees. The jobs of the others must stay nearly as fast as
// without the flood. The flooding routes include the least and the most
// urgent one.
func TestFloodKeepsGuarantees(t *testing.T) {
	for _, flooding := range []string{"preview", "retouch", "share"} {
		t.Run(flooding, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 1, threeRoutes, servers(10, 8))
			for _, r := range threeRoutes {
				if r.Name != flooding {
					// Half of the guarantee of share/10 of 80 slots.
					sim.arrive(r.Name, 1, float64(r.Share)/10*80/2)
				}
			}
			sim.run(30 * time.Second)
			clear(sim.ratios)
			sim.arrive(flooding, 8, 10*80) // Ten times the capacity.
			sim.run(60 * time.Second)
			for _, r := range threeRoutes {
				ratios := sim.ratios[r.Name]
				if r.Name != flooding {
					is.True(len(ratios) > 500)
					// A slot becomes free every 0.38 s/80 = 5 ms, and the two
					// routes use less than half of them. One job in a hundred
					// may wait ten times that, which is the run time of the
					// shortest task, 50 ms.
					is.True(percentile(ratios, 99) < 2)
				}
			}
			// The flooding route gets all slots that the others leave.
			is.Equal(sim.sched.Load().Free, 0)
		})
	}
}

// TestBorrowedSlotsAreReturned lets one route borrow all slots before another
// route fills its queue. The other route must have its guaranteed number of
// slots after the run time of one task.
func TestBorrowedSlotsAreReturned(t *testing.T) {
	for flooding, shares := range map[string]int{"preview": 6, "share": 1} {
		is := is.New(t)
		sim := newSimulation(t, 1, threeRoutes, servers(10, 8))
		sim.everyTick(func() {
			if load := sim.sched.Load(); load.Free > 0 || load.Waiting() < 1 {
				sim.submit(flooding, repeated(100, time.Second)...)
			}
		})
		sim.run(20 * time.Second)
		is.Equal(sim.running[flooding], 80)
		sim.submit("retouch", repeated(100, time.Second)...)
		sim.run(time.Second + tickInterval)
		// The guarantee is 3/10 of 80 slots, 24. The slots that the third
		// route does not use are divided by share, so that the 80 slots are
		// split 3 to shares.
		want := 80 * 3 / float64(3+shares)
		is.True(math.Abs(float64(sim.running["retouch"])-want) <= 1)
		is.Equal(sim.running[flooding], 80-sim.running["retouch"])
	}
}

func repeated(n int, run time.Duration) []time.Duration {
	runs := make([]time.Duration, n)
	for i := range runs {
		runs[i] = run
	}
	return runs
}

// TestFractionalGuaranteesAreServed floods nine routes that share two slots, so
// that each is guaranteed less than one slot. No route may starve: each must
// start about a ninth of all tasks.
func TestFractionalGuaranteesAreServed(t *testing.T) {
	is := is.New(t)
	var routes []operator.Route
	for i := range 9 {
		routes = append(routes, operator.Route{Name: fmt.Sprint("route-", i), Share: 1, Urgency: 10 * i})
	}
	sim := newSimulation(t, 1, routes, servers(1, 2))
	for _, r := range routes {
		sim.submit(r.Name, repeated(2000, 100*time.Millisecond)...)
	}
	sim.run(90 * time.Second)
	for _, r := range routes {
		// 90 s on two slots is 1800 tasks of 100 ms, 200 per route.
		is.True(sim.started[r.Name] > 180)
		is.True(sim.started[r.Name] < 220)
	}
}

// TestGuaranteesAreMetAfterOneRunTime lets one route borrow all slots before
// all other routes fill their queues. Each of them must have its guarantee,
// rounded down to whole slots, after the run time of one task, for any shares,
// urgencies and servers.
func TestGuaranteesAreMetAfterOneRunTime(t *testing.T) {
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
		sim := newSimulation(t, 1, routes, rows)
		flooding := rapid.IntRange(0, n-1).Draw(rt, "flooding")
		sim.submit(routes[flooding].Name, repeated(1000, time.Second)...)
		sim.run(10 * time.Second) // The servers' probation ends.
		if sim.sched.Load().Free > 0 {
			rt.Fatalf("%d slots are not borrowed", sim.sched.Load().Free)
		}
		for i, r := range routes {
			if i != flooding {
				sim.submit(r.Name, repeated(300, time.Second)...)
			}
		}
		sim.run(time.Second + tickInterval)
		slots := sim.sched.Load().Slots
		for _, r := range routes {
			if sim.running[r.Name] < slots*r.Share/shares {
				rt.Fatalf("route %+v runs %d of %d slots, shares %d", r, sim.running[r.Name], slots, shares)
			}
		}
	})
}

// TestRemainingTasksStartAfterManyAreRemoved removes nearly all of 20,000
// waiting tasks and checks that the remaining tasks start.
func TestRemainingTasksStartAfterManyAreRemoved(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(t)
	sched.SetRoutes(threeRoutes)
	sched.SetServers(begin, servers(1, 2))
	const tasks = 20_000
	for id := range tasks {
		sched.Push(begin, backend.Task[int]{ID: id, Route: "share", Deadline: begin.Add(time.Hour)})
	}
	for id := range tasks {
		if id != 7 && id != tasks-1 {
			is.True(sched.Remove(id))
		}
	}
	is.True(!sched.Remove(0))
	for _, want := range []int{7, tasks - 1} {
		s, ok := sched.Next(begin)
		is.True(ok)
		is.Equal(s.ID, want)
	}
	is.True(!sched.Remove(7))
	load := sched.Load()
	is.Equal(load.Slots, 2)
	is.Equal(load.Free, 0)
	is.Equal(len(load.Idle), 0)
	is.Equal(load.Waiting(), 0)
}
