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

// newSpeedSimulation returns a simulation of n servers with 8 slots. The
// slowness factor of server i is factors[i%len(factors)]. Jobs of 8 tasks on
// average use the given fraction of the slots, in [0, 1].
func newSpeedSimulation(t testing.TB, seed uint64, n int, factors []float64, load float64) *simulation {
	rows := servers(n, 8)
	sim := newSimulation(t, seed, oneRoute, rows)
	capacity := 0.0
	for i, s := range rows {
		f := factors[i%len(factors)]
		sim.servers[s.Address].factor = f
		capacity += float64(s.Slots) / f
	}
	sim.arrive("preview", 8, load*capacity)
	return sim
}

// TestTasksWaitForFastServers checks that at 70 % load jobs are not delayed
// by tasks on slow servers, when one server in four takes four times as long.
// The target is a 99th percentile below 1.5 of the ratio of a job's response
// time to the run time of its longest task. It is 2 to 4 if tasks start on any
// free slot.
func TestTasksWaitForFastServers(t *testing.T) {
	is := is.New(t)
	sim := newSpeedSimulation(t, 1, 50, []float64{1, 1, 1, 4}, 0.7)
	sim.run(time.Minute) // Learn the speeds.
	clear(sim.ratios)
	sim.run(time.Minute)
	is.True(len(sim.ratios["preview"]) > 4000)
	is.True(percentile(sim.ratios["preview"], 99) < 1.5)
}

// TestBacklogUsesSlowServers submits more tasks than the fast servers can run.
// The slow servers must run tasks too, so that no slot is free.
func TestBacklogUsesSlowServers(t *testing.T) {
	is := is.New(t)
	sim := newSpeedSimulation(t, 1, 10, []float64{1, 4}, 0.5)
	sim.run(30 * time.Second)
	sim.submit("preview", repeated(4000, 100*time.Millisecond)...)
	sim.run(2 * time.Second)
	is.Equal(sim.sched.Load().Free, 0)
}

// TestSmallJobsFinishBeforeLargeOnes submits a small job right after a large
// one. It must not wait for all tasks of the large one, whose 200 tasks
// occupy 40 slots five times for 100 ms.
func TestSmallJobsFinishBeforeLargeOnes(t *testing.T) {
	is := is.New(t)
	sim := newSpeedSimulation(t, 1, 5, []float64{1}, 0.1)
	sim.run(30 * time.Second)
	large := sim.submit("preview", repeated(200, 100*time.Millisecond)...)
	sim.run(10 * time.Millisecond)
	small := sim.submit("preview", repeated(4, 100*time.Millisecond)...)
	sim.run(300 * time.Millisecond) // The running tasks, the small job, and a margin.
	is.Equal(small.unfinished, 0)
	is.True(large.unfinished > 50)
}

// TestSpeedChangeIsLearned makes a server ten times slower and then fast
// again. It must get few tasks while it is slow, and many afterwards.
func TestSpeedChangeIsLearned(t *testing.T) {
	is := is.New(t)
	sim := newSpeedSimulation(t, 1, 10, []float64{1}, 0.7)
	addr := servers(1, 8)[0].Address
	sim.run(30 * time.Second)
	sim.servers[addr].factor = 10
	before := sim.startedOn[addr]
	sim.run(15 * time.Second)
	// The first 8 tasks reveal the change, but others start as they end one by one.
	is.True(sim.startedOn[addr]-before <= 2*8)
	sim.servers[addr].factor = 1
	sim.run(10 * time.Minute)
	before = sim.startedOn[addr]
	sim.run(60 * time.Second)
	is.True(sim.startedOn[addr]-before > 100)
}

// TestFailingServersAreEjected lets two of ten servers fail all their tasks
// at once, so that they appear fast and idle. They must not attract many
// tasks.
func TestFailingServersAreEjected(t *testing.T) {
	is := is.New(t)
	sim := newSpeedSimulation(t, 1, 10, []float64{1}, 0.6)
	for _, s := range servers(2, 8) {
		sim.servers[s.Address].failAll = true
	}
	sim.run(10 * time.Minute)
	// Each fails about 4 tasks before its first ejection and one per trial,
	// after 2, 8, 26, 80, 200 s and then every 120 s: 9 trials in 10 min.
	is.True(sim.wasted <= 2*(5+9))
	is.True(len(sim.ratios["preview"]) > 5000)
}

// geometricFactors returns the slowness factors and the mean speed of n of 50
// servers whose speeds are evenly spaced on a logarithmic scale from 0.5 to
// 2.
func geometricFactors(n int, random *rand.Rand) (factors []float64, speed float64) {
	for _, i := range random.Perm(50)[:n] {
		s := 0.5 * math.Pow(4, float64(i)/49)
		factors = append(factors, 1/s)
		speed += s / float64(n)
	}
	return factors, speed
}

// arriveMixed submits jobs at random times, one in a hundred with 60 to 160
// tasks and the others with 1 to 40, 8.6 on average, that occupy the given
// number of slots of typical servers.
func (sim *simulation) arriveMixed(slots float64) {
	n := min(1+int(sim.random.ExpFloat64()*7), 40)
	if sim.random.IntN(100) == 0 {
		n = 60 + sim.random.IntN(101)
	}
	runs := make([]time.Duration, n)
	for i := range runs {
		runs[i] = sim.runTime()
	}
	sim.submit("preview", runs...)
	gap := 8.6 * meanRunTime.Seconds() / slots
	sim.after(time.Duration(sim.random.ExpFloat64()*gap*float64(time.Second)), func() { sim.arriveMixed(slots) })
}

// BenchmarkResponse reports the response time relative to the ideal, which is
// the run time of a job's longest task at the mean speed of the servers. Each
// iteration uses another seed and simulates 30 s to learn the speeds and 60 s
// to measure.
func BenchmarkResponse(b *testing.B) {
	for _, n := range []int{6, 18, 50} {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			b.Run(fmt.Sprintf("servers=%d/load=%v", n, load), func(b *testing.B) {
				var ratios []float64
				for i := range b.N {
					factors, speed := geometricFactors(n, rand.New(rand.NewPCG(uint64(i), 2)))
					sim := newSpeedSimulation(b, uint64(i), n, factors, 0.001)
					sim.arriveMixed(load * 8 * float64(n) * speed)
					sim.run(30 * time.Second)
					clear(sim.ratios)
					sim.run(time.Minute)
					for _, r := range sim.ratios["preview"] {
						ratios = append(ratios, r*speed)
					}
				}
				b.ReportMetric(percentile(ratios, 50), "p50")
				b.ReportMetric(percentile(ratios, 99), "p99")
			})
		}
	}
}
