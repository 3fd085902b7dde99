package backend_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
)

// An ejectionPolicy limits the number of tasks on each server, based on the
// outcomes of earlier tasks.
type ejectionPolicy interface {
	Advance(now time.Time) bool
	Limit(addr netip.AddrPort, slots int) int
	Record(now time.Time, addr netip.AddrPort, o backend.Observation)
}

// A circuitBreaker is a set of circuit breakers, one per server, each with a
// window of ten buckets of one second, as in "Autumn resilience: circuit
// breakers and overload protection". A breaker opens, that is, lets no calls
// pass, when half of the calls in the window fail. It then lets one call at a
// time pass, and closes after three successes.
type circuitBreaker struct {
	// minSamples is the minimum number of calls in the window at which a
	// breaker opens.
	minSamples int
	// open is the time for which a breaker is open.
	open     time.Duration
	now      time.Time
	circuits map[netip.AddrPort]*circuit
}

// A circuit is the circuit breaker of one server.
type circuit struct {
	// calls and failed are the numbers of calls and of failed calls in each
	// bucket. second is the latest second that has a bucket.
	calls, failed [10]int
	second        int64
	// since is when the breaker last opened or closed. until is when it stops
	// being open, or zero if it is closed.
	since, until time.Time
	// trials is the number of calls since until.
	trials int
}

func (b *circuitBreaker) Advance(now time.Time) bool {
	b.now = now
	return false
}

func (b *circuitBreaker) Limit(addr netip.AddrPort, slots int) int {
	c := b.circuits[addr]
	switch {
	case c == nil || c.until.IsZero():
		return slots
	case b.now.Before(c.until):
		return 0
	default:
		return 1
	}
}

func (b *circuitBreaker) Record(now time.Time, addr netip.AddrPort, o backend.Observation) {
	c := b.circuits[addr]
	if c == nil {
		c = &circuit{}
		b.circuits[addr] = c
	}
	if o.Started.Before(c.since) || o.Started.Before(c.until) {
		return
	}
	bad := o.Kind != backend.Done
	if !c.until.IsZero() {
		c.trials++
		switch {
		case bad:
			*c = circuit{since: now, until: now.Add(b.open)}
		case c.trials == 3:
			*c = circuit{since: now}
		}
		return
	}
	if c.addCall(now.Unix(), bad, b.minSamples) {
		*c = circuit{since: now, until: now.Add(b.open)}
	}
}

// addCall adds a call to the bucket of the given second. It returns true if the
// breaker must open.
func (c *circuit) addCall(second int64, bad bool, minSamples int) bool {
	for c.second = max(c.second, second-10); c.second < second; c.second++ {
		c.calls[(c.second+1)%10], c.failed[(c.second+1)%10] = 0, 0
	}
	c.calls[second%10]++
	if bad {
		c.failed[second%10]++
	}
	calls, failed := 0, 0
	for i := range c.calls {
		calls += c.calls[i]
		failed += c.failed[i]
	}
	return calls >= minSamples && 2*failed >= calls
}

// A scenario returns the probability that a task of the given route fails on a
// server, at the given time since the start of the simulation, and whether the
// server is at fault.
type scenario func(server int, route string, since time.Duration) (fails float64, bad bool)

var scenarios = map[string]scenario{
	"three-fail-all": func(server int, _ string, _ time.Duration) (float64, bool) {
		return choose(server < 3, 1, 0.01), server < 3
	},
	"three-fail-for-a-minute": func(server int, _ string, since time.Duration) (float64, bool) {
		bad := server < 3 && since.Truncate(time.Minute) == time.Minute
		return choose(bad, 1, 0.01), bad
	},
	"one-route-fails-everywhere": func(_ int, route string, since time.Duration) (float64, bool) {
		return choose(route == "share" && since > 30*time.Second, 1, 0.01), false
	},
	"all-fail-one-in-ten": func(int, string, time.Duration) (float64, bool) {
		return 0.1, false
	},
}

func choose(condition bool, yes, no float64) float64 {
	if condition {
		return yes
	}
	return no
}

// runScenario runs tasks of two routes for four minutes on 20 servers with 8
// slots, each task on a random server. The tasks need 60 % of the slots. It
// returns the number of tasks that failed on servers at fault, and the fraction
// of the other servers' slots that the policy withheld from tasks.
func runScenario(policy ejectionPolicy, s scenario, seed uint64) (wasted int, withheld float64) {
	sim := simulation{random: rand.New(rand.NewPCG(seed, 1)), now: begin}
	rows := servers(20, 8)
	running := make([]int, len(rows))
	slots, open := 0, 0
	sim.everyTick(func() {
		policy.Advance(sim.now)
		// 20 servers with 8 slots and tasks of 0.35 s run 457 tasks/s, of
		// which 60 % is 5.5 per tick of 20 ms.
		for range 3 + sim.random.IntN(6) {
			server := sim.random.IntN(len(rows))
			addr := rows[server].Address
			if running[server] >= policy.Limit(addr, 8) {
				continue
			}
			running[server]++
			o := backend.Observation{Route: "preview", Started: sim.now, Kind: backend.Done}
			if sim.random.IntN(3) == 0 {
				o.Route = "share"
			}
			run := 50*time.Millisecond + time.Duration(sim.random.Int64N(int64(600*time.Millisecond)))
			fails, bad := s(server, o.Route, sim.now.Sub(begin))
			if sim.random.Float64() < fails {
				o.Kind, run = backend.Failed, 20*time.Millisecond
				wasted += int(choose(bad, 1, 0))
			}
			sim.after(run, func() {
				running[server]--
				policy.Record(sim.now, addr, o)
			})
		}
		for server, row := range rows {
			if _, bad := s(server, "", sim.now.Sub(begin)); !bad {
				open += policy.Limit(row.Address, 8)
				slots += 8
			}
		}
	})
	sim.run(4 * time.Minute)
	return wasted, 1 - float64(open)/float64(slots)
}

// BenchmarkEjectionPolicies reports the number of tasks that failed on servers
// at fault and the percentage of the other servers' slots that was withheld
// from tasks, with an Ejector (min-samples=0) and with circuit breakers. Each
// iteration uses another seed.
func BenchmarkEjectionPolicies(b *testing.B) {
	for name, s := range scenarios {
		for _, samples := range []int{0, 3, 10} {
			b.Run(fmt.Sprintf("%s/min-samples=%d", name, samples), func(b *testing.B) {
				wasted, withheld := 0, 0.0
				for i := range b.N {
					var policy ejectionPolicy = newEjector(b, servers(20, 8))
					if samples > 0 {
						policy = &circuitBreaker{minSamples: samples, open: time.Minute, circuits: map[netip.AddrPort]*circuit{}}
					}
					w, h := runScenario(policy, s, uint64(i))
					wasted += w
					withheld += h
				}
				b.ReportMetric(float64(wasted)/float64(b.N), "wasted")
				b.ReportMetric(100*withheld/float64(b.N), "%withheld")
			})
		}
	}
}
