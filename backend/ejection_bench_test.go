package backend_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// A judge limits the tasks on servers by what became of earlier ones.
type judge interface {
	Limit(now time.Time, addr netip.AddrPort, slots int) int
	Record(now time.Time, addr netip.AddrPort, o backend.Observation)
}

// ejectorJudge is an Ejector as a judge.
type ejectorJudge struct{ *backend.Ejector }

func (e ejectorJudge) Limit(now time.Time, addr netip.AddrPort, slots int) int {
	e.Advance(now)
	return e.Ejector.Limit(addr, slots)
}

// A scenario is a pool in which servers or routes are at fault.
type scenario struct {
	name string
	// fails returns the probability that a task of the route fails on the
	// server of that number, so long after the beginning.
	fails func(server int, route string, since time.Duration) float64
	// bad says that the server is at fault.
	bad func(server int, since time.Duration) bool
}

var scenarios = []scenario{
	{
		name: "three-fail-all",
		fails: func(server int, _ string, _ time.Duration) float64 {
			if server < 3 {
				return 1
			}
			return 0.01
		},
		bad: func(server int, _ time.Duration) bool { return server < 3 },
	},
	{
		name: "one-route-fails-everywhere",
		fails: func(_ int, route string, since time.Duration) float64 {
			if route == "share" && since > 30*time.Second {
				return 1
			}
			return 0.01
		},
		bad: func(int, time.Duration) bool { return false },
	},
	{
		name: "all-fail-one-in-ten",
		fails: func(int, string, time.Duration) float64 {
			return 0.1
		},
		bad: func(int, time.Duration) bool { return false },
	},
	{
		name: "three-fail-for-a-minute",
		fails: func(server int, _ string, since time.Duration) float64 {
			if server < 3 && since > time.Minute && since < 2*time.Minute {
				return 1
			}
			return 0.01
		},
		bad: func(server int, since time.Duration) bool {
			return server < 3 && since > time.Minute && since < 2*time.Minute
		},
	},
}

const (
	judgedServers = 20
	judgedSlots   = 8
	judgedFor     = 4 * time.Minute
)

// judgeScenario has tasks of two routes run on random servers with a free slot
// for four minutes, at 60 % of the slots. It returns the number of tasks that
// failed on servers at fault, and the share of the good servers' slots that was
// not open to tasks.
func judgeScenario(j judge, s scenario, seed uint64) (wasted int, withheld float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	rows := servers(judgedServers, judgedSlots)
	running := make([]int, judgedServers)
	type end struct {
		server int
		o      backend.Observation
	}
	ends := map[int64][]end{}
	const step = 10 * time.Millisecond
	open, slots := 0, 0
	for at := time.Duration(0); at < judgedFor; at += step {
		now := begin.Add(at)
		for _, e := range ends[int64(at/step)] {
			running[e.server]--
			j.Record(now, rows[e.server].Address, e.o)
		}
		delete(ends, int64(at/step))
		// 20 servers of 8 slots for 0.35 s is 457 tasks/s, of which 60 %
		// is 2.7 each 10 ms.
		for range 2 + random.IntN(2)*random.IntN(2) + random.IntN(2) {
			server := random.IntN(judgedServers)
			if running[server] >= j.Limit(now, rows[server].Address, judgedSlots) {
				continue
			}
			running[server]++
			o := backend.Observation{Route: "preview", Started: now, Kind: backend.Done}
			if random.IntN(3) == 0 {
				o.Route = "share"
			}
			run := 50*time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond)))
			if random.Float64() < s.fails(server, o.Route, at) {
				o.Kind = backend.Failed
				run = 20 * time.Millisecond
				if s.bad(server, at) {
					wasted++
				}
			}
			tick := int64((at + run) / step)
			ends[tick] = append(ends[tick], end{server: server, o: o})
		}
		for server, row := range rows {
			if !s.bad(server, at) {
				open += j.Limit(now, row.Address, judgedSlots)
				slots += judgedSlots
			}
		}
	}
	return wasted, 1 - float64(open)/float64(slots)
}

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

// BenchmarkJudges reports the tasks wasted on servers at fault and the good
// servers' slots withheld, in percent, with an Ejector and with circuit
// breakers. Each iteration is another seed.
func BenchmarkJudges(b *testing.B) {
	judges := []struct {
		name string
		new  func() judge
	}{
		{"ejector", func() judge { return ejectorJudge{newEjector(b, servers(judgedServers, judgedSlots))} }},
		{"breaker-10-samples-60s", func() judge {
			return &breaker{minSamples: 10, open: time.Minute, circuits: map[netip.AddrPort]*circuit{}}
		}},
		{"breaker-3-samples-60s", func() judge {
			return &breaker{minSamples: 3, open: time.Minute, circuits: map[netip.AddrPort]*circuit{}}
		}},
		{"breaker-3-samples-5s", func() judge {
			return &breaker{minSamples: 3, open: 5 * time.Second, circuits: map[netip.AddrPort]*circuit{}}
		}},
	}
	for _, s := range scenarios {
		for _, j := range judges {
			b.Run(fmt.Sprintf("%s/%s", s.name, j.name), func(b *testing.B) {
				wasted, withheld := 0, 0.0
				for i := range b.N {
					w, h := judgeScenario(j.new(), s, uint64(i))
					wasted += w
					withheld += h
				}
				b.ReportMetric(float64(wasted)/float64(b.N), "wasted")
				b.ReportMetric(100*withheld/float64(b.N), "%withheld")
			})
		}
	}
}
