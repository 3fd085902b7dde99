package backend_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

func newEjector(t testing.TB, rows []operator.Server) *backend.Ejector {
	e, err := backend.NewEjector(backend.EjectionConfig{})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range rows {
		e.Add(s.Address)
	}
	return e
}

func ExampleEjector() {
	e, err := backend.NewEjector(backend.EjectionConfig{})
	if err != nil {
		panic(err)
	}
	now := time.Unix(0, 0)
	good := netip.MustParseAddrPort("127.0.0.1:8000")
	bad := netip.MustParseAddrPort("127.0.0.2:8000")
	e.Add(good)
	e.Add(bad)
	for range 4 {
		e.Record(now, good, backend.Observation{Route: "preview", Started: now, Kind: backend.Done})
		e.Record(now, bad, backend.Observation{Route: "preview", Started: now, Kind: backend.Failed})
	}
	fmt.Println(e.Ejected(now, good), e.Ejected(now, bad))
	fmt.Println(e.Ejected(now.Add(2*time.Second), bad), e.Limit(bad, 8))
	// Output:
	// false true
	// false 1
}

// record records an outcome of a task that started at now.
func record(e *backend.Ejector, now time.Time, server int, kind backend.OutcomeKind) {
	addr := servers(server+1, 8)[server].Address
	e.Record(now, addr, backend.Observation{Route: "preview", Started: now, Kind: kind})
}

func stateOf(e *backend.Ejector, server int) string {
	s, _ := e.State(servers(server+1, 8)[server].Address)
	return backend.HealthChart().Name(s)
}

// TestFailedTrialLengthensEjection takes a server through an ejection, a trial
// that fails, and a longer ejection, and then through a trial and a probation
// that succeed, after which all its slots are used.
func TestFailedTrialLengthensEjection(t *testing.T) {
	is := is.New(t)
	e := newEjector(t, servers(4, 8))
	now := begin
	for range 4 {
		record(e, now, 1, backend.Done)
		record(e, now, 0, backend.Failed)
	}
	is.Equal(stateOf(e, 0), "ejected")
	now = now.Add(2 * time.Second)
	is.True(e.Advance(now))
	is.Equal(stateOf(e, 0), "trial")
	record(e, now, 0, backend.Failed)
	is.Equal(stateOf(e, 0), "ejected")
	now = now.Add(6*time.Second - 1) // The second ejection is three times as long.
	is.True(!e.Advance(now))
	now = now.Add(1)
	is.True(e.Advance(now))
	for range 3 {
		is.Equal(stateOf(e, 0), "trial")
		record(e, now, 0, backend.Done)
	}
	is.Equal(stateOf(e, 0), "probation")
	for range 8 {
		record(e, now, 0, backend.Done)
	}
	is.Equal(e.Limit(servers(1, 8)[0].Address, 8), 8)
}

// TestTasksStartedBeforeEjectionDoNotDecideTrial checks that tasks that started
// before an ejection, and that end during the trial after it, neither end the
// trial nor make it fail.
func TestTasksStartedBeforeEjectionDoNotDecideTrial(t *testing.T) {
	is := is.New(t)
	e := newEjector(t, servers(4, 8))
	for range 4 {
		record(e, begin, 0, backend.Failed)
	}
	now := begin.Add(2 * time.Second)
	e.Advance(now)
	for _, kind := range []backend.OutcomeKind{backend.Done, backend.Done, backend.Done, backend.NotStarted} {
		old := backend.Observation{Route: "preview", Started: begin, Kind: kind}
		e.Record(now, servers(1, 8)[0].Address, old)
		is.Equal(stateOf(e, 0), "trial")
	}
}

// TestRouteFailingEverywhereEjectsNoServer lets a route fail on every server
// in turn: no server may be ejected at the end, because none does worse than
// the others.
func TestRouteFailingEverywhereEjectsNoServer(t *testing.T) {
	is := is.New(t)
	e := newEjector(t, servers(20, 8))
	for i := range 20 * 50 {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		record(e, now, i%20, backend.Failed)
	}
	ejected := 0
	for i := range 20 {
		if stateOf(e, i) == "ejected" {
			ejected++
		}
	}
	is.Equal(ejected, 0)
}

// TestRefusalsLengthenCooling has a server refuse several tasks in a row. Each
// cooling must be three times as long as the one before, up to the limit.
func TestRefusalsLengthenCooling(t *testing.T) {
	is := is.New(t)
	e := newEjector(t, servers(2, 8))
	addr := servers(1, 8)[0].Address
	now := begin
	for _, wait := range []time.Duration{100, 300, 900, 2700, 8100, 10_000, 10_000} {
		record(e, now, 0, backend.NotStarted)
		is.Equal(e.Limit(addr, 8), 0)
		e.Advance(now.Add(wait*time.Millisecond - 1))
		is.Equal(stateOf(e, 0), "cooling")
		now = now.Add(wait * time.Millisecond)
		e.Advance(now)
		is.Equal(stateOf(e, 0), "probation")
	}
	record(e, now, 0, backend.Done)
	record(e, now, 0, backend.NotStarted)
	e.Advance(now.Add(100 * time.Millisecond))
	is.Equal(stateOf(e, 0), "probation")
}

// TestOwnLeavingReportPrecedesList has a server report that it is leaving,
// which takes precedence over the platform's list for some time, because the
// list may be older.
func TestOwnLeavingReportPrecedesList(t *testing.T) {
	is := is.New(t)
	e := newEjector(t, servers(2, 8))
	addr := servers(1, 8)[0].Address
	e.Record(begin, addr, backend.Observation{Route: "preview", Started: begin, Kind: backend.Done, Leaving: true})
	is.Equal(e.Limit(addr, 8), 0)
	e.SetLeaving(begin.Add(10*time.Second), addr, false)
	is.Equal(e.Limit(addr, 8), 0)
	e.SetLeaving(begin.Add(40*time.Second), addr, false)
	is.True(e.Limit(addr, 8) > 0)
	e.SetLeaving(begin.Add(41*time.Second), addr, true)
	is.Equal(e.Limit(addr, 8), 0)
}

// TestEjectedServersStayWithinMaxEjected checks with random outcomes that the
// fraction of the servers that are ejected or on trial never exceeds
// MaxEjected.
func TestEjectedServersStayWithinMaxEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 10).Draw(t, "servers")
		limit := rapid.Float64Range(0.01, 1).Draw(t, "limit")
		e, err := backend.NewEjector(backend.EjectionConfig{MaxEjected: limit})
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range servers(n, 8) {
			e.Add(s.Address)
		}
		now := begin
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			e.Advance(now)
			kind := rapid.SampledFrom([]backend.OutcomeKind{backend.Done, backend.Failed, backend.Lost, backend.NotStarted})
			record(e, now, rapid.IntRange(0, n-1).Draw(t, "server"), kind.Draw(t, "kind"))
			out := 0
			for i := range n {
				if s := stateOf(e, i); s == "ejected" || s == "trial" {
					out++
				}
			}
			if float64(out) > limit*float64(n) {
				t.Fatalf("%d of %d servers are ejected or on trial, limit %v", out, n, limit)
			}
		}
	})
}

func TestNewEjectorRejectsInvalidConfig(t *testing.T) {
	for _, cfg := range []backend.EjectionConfig{
		{MaxEjected: 1.1},
		{MaxEjected: -1},
		{Evidence: -1},
		{Trials: -1},
		{Window: -1},
	} {
		is := is.New(t)
		_, err := backend.NewEjector(cfg)
		var bad *backend.ConfigError
		is.True(errors.As(err, &bad))
	}
}
