package backend_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

var oneRoute = []operator.Route{{Name: "preview", Share: 1, Urgency: 90}}

// speedWorld returns a world of n servers whose run times relative to a
// typical one's are those of factors in turn, with jobs of 8 tasks in the mean
// that use the load, in [0, 1], of all slots.
func speedWorld(t testing.TB, seed uint64, n int, factors []float64, load float64) *world {
	rows := servers(n, 8)
	w := newWorld(t, seed, oneRoute, rows)
	capacity := 0.0
	for i, s := range rows {
		f := factors[i%len(factors)]
		w.fakes[s.Address].factor = f
		capacity += float64(s.Slots) / f
	}
	w.arrive("preview", 8, load*capacity)
	return w
}

// TestSlowServersWait has one server in four take four times as long. At 70 %
// load jobs must not wait for tasks there: the target is a 99th percentile of
// 1.5. Starting wherever a slot is free gives 2 to 4.
func TestSlowServersWait(t *testing.T) {
	is := is.New(t)
	w := speedWorld(t, 1, 50, []float64{1, 1, 1, 4}, 0.7)
	w.run(time.Minute) // The speeds are learned.
	clear(w.ratios)
	w.run(time.Minute)
	is.True(len(w.ratios["preview"]) > 4000)
	is.True(percentile(w.ratios["preview"], 99) < 1.5)
}

// TestSlowServersHelp has more tasks than the fast servers can take: the slow
// ones must run some.
func TestSlowServersHelp(t *testing.T) {
	is := is.New(t)
	w := speedWorld(t, 1, 10, []float64{1, 4}, 0.5)
	w.run(30 * time.Second)
	w.submit("preview", repeated(4000, 100*time.Millisecond)...)
	w.run(2 * time.Second)
	is.Equal(w.h.Load().Free, 0)
}

// TestSmallJobsPassLargeOnes has small jobs arrive right after large ones. They
// must not wait for all of the large ones' tasks: one has 200, which take 40
// slots 5 rounds of 100 ms.
func TestSmallJobsPassLargeOnes(t *testing.T) {
	is := is.New(t)
	w := speedWorld(t, 1, 5, []float64{1}, 0.1)
	w.run(30 * time.Second)
	large := w.submit("preview", repeated(200, 100*time.Millisecond)...)
	w.run(10 * time.Millisecond)
	small := w.submit("preview", repeated(4, 100*time.Millisecond)...)
	w.run(300 * time.Millisecond) // What runs, the small job, and a rest.
	is.Equal(small.open, 0)
	is.True(large.open > 50)
}

// TestSpeedChange has a server become ten times slower and then fast again.
func TestSpeedChange(t *testing.T) {
	is := is.New(t)
	w := speedWorld(t, 1, 10, []float64{1}, 0.7)
	addr := servers(1, 8)[0].Address
	w.run(30 * time.Second)
	w.fakes[addr].factor = 10
	before := w.startedOn[addr]
	w.run(15 * time.Second)
	// The first 8 tasks tell, but others start as they end one by one.
	is.True(w.startedOn[addr]-before <= 2*8)
	w.fakes[addr].factor = 1
	w.run(10 * time.Minute)
	before = w.startedOn[addr]
	w.run(60 * time.Second)
	is.True(w.startedOn[addr]-before > 100)
}

// TestFailAllServers has two of ten servers fail all they start, at once, and
// so look fast and idle.
func TestFailAllServers(t *testing.T) {
	is := is.New(t)
	w := speedWorld(t, 1, 10, []float64{1}, 0.6)
	for _, s := range servers(2, 8) {
		w.fakes[s.Address].failAll = true
	}
	w.run(10 * time.Minute)
	// Each fails about 4 tasks before its first ejection and one a trial,
	// after 2, 8, 26, 80, 200 s and then every 120 s: 9 trials in 10 min.
	is.True(w.wasted <= 2*(5+9))
	is.True(len(w.ratios["preview"]) > 5000)
}

// geometricFactors returns the factors of n of 50 servers whose speeds are
// evenly spaced in their logarithm from 0.5 to 2, and the mean speed.
func geometricFactors(n int, random *rand.Rand) (factors []float64, speed float64) {
	for _, i := range random.Perm(50)[:n] {
		s := 0.5 * math.Pow(4, float64(i)/49)
		factors = append(factors, 1/s)
		speed += s / float64(n)
	}
	return factors, speed
}

// arriveMixed submits jobs at random, one in a hundred with 60 to 160 tasks and
// the others with 1 to 40, 8.6 in the mean, that use so many typical slots.
func (w *world) arriveMixed(slots float64) {
	n := min(1+int(w.random.ExpFloat64()*7), 40)
	if w.random.IntN(100) == 0 {
		n = 60 + w.random.IntN(101)
	}
	runs := make([]time.Duration, n)
	for i := range runs {
		runs[i] = w.runTime()
	}
	w.submit("preview", runs...)
	gap := 8.6 * meanRunTime.Seconds() / slots
	w.after(time.Duration(w.random.ExpFloat64()*gap*float64(time.Second)), func() { w.arriveMixed(slots) })
}

// BenchmarkResponse reports the response time over the ideal, which is the run
// time of a job's longest task at the servers' mean speed, in one Scheduler. Each
// iteration is another seed and takes 30 s of simulated time to learn and 60 s
// to measure.
func BenchmarkResponse(b *testing.B) {
	for _, n := range []int{6, 18, 50} {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			b.Run(fmt.Sprintf("servers=%d/load=%v", n, load), func(b *testing.B) {
				var ratios []float64
				for i := range b.N {
					factors, speed := geometricFactors(n, rand.New(rand.NewPCG(uint64(i), 2)))
					w := speedWorld(b, uint64(i), n, factors, 0.001)
					w.arriveMixed(load * 8 * float64(n) * speed)
					w.run(30 * time.Second)
					clear(w.ratios)
					w.run(time.Minute)
					for _, r := range w.ratios["preview"] {
						ratios = append(ratios, r*speed)
					}
				}
				b.ReportMetric(percentile(ratios, 50), "p50")
				b.ReportMetric(percentile(ratios, 99), "p99")
			})
		}
	}
}
