package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// floodSeeds are the seeds of the model over which the results are summed: a flood has few
// jobs of the least urgent kind.
var floodSeeds = []uint64{7, 17, 27}

// floodResults returns what the callers of each kind get during a flood, and from a second
// after it on.
func floodResults(rates [3]float64) (during, after [3]modelResult) {
	var flooded, later [3][]*modelJob
	for _, seed := range floodSeeds {
		m := newLoadModel(seed)
		m.run(2 * time.Second)
		begin := m.now
		m.flood(6*time.Second, rates)
		end := m.now
		m.run(6 * time.Second)
		for kind := range modelKinds {
			flooded[kind] = append(flooded[kind], m.arrived(kind, begin, end)...)
			later[kind] = append(later[kind], m.arrived(kind, end.Add(time.Second), end.Add(4*time.Second))...)
		}
	}
	for kind := range modelKinds {
		during[kind], after[kind] = resultsOf(flooded[kind]), resultsOf(later[kind])
	}
	return during, after
}

// TestFloodsOfEachKind runs floods of each kind of jobs and of all kinds. The most urgent kind
// is served as without a flood of others. The least urgent kind keeps its minimum share, and
// the large jobs of each kind are served, too. No refusal comes as late as the end of a job
// would, and a second after the flood the callers are served again.
func TestFloodsOfEachKind(t *testing.T) {
	for _, f := range modelFloods {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			during, after := floodResults(f.rates)
			for kind, r := range during {
				t.Logf("%s | %v | after: %v", modelKinds[kind].route, r, after[kind])
			}
			is.True(during[0].inTime > 0.95) // urgent jobs
			is.True(during[2].served > 0.1)  // the least urgent jobs
			is.True(during[2].inTime > 0.05) // and not only late
			for kind, r := range during {
				is.True(r.largest >= 0.5*r.served) // the largest tenth
				is.True(r.large >= 0.5*r.served)   // the fifth below it
				is.True(r.latestShare < 0.7)       // refusals leave time to submit elsewhere
				is.True(after[kind].inTime > 0.9)  // the flood is over
			}
		})
	}
}

// TestLeastUrgentRouteKeepsItsShare floods the pool with jobs of the middle urgency, which
// need much more than its capacity. Without a minimum share for each route, strict urgency
// would leave no capacity to the least urgent one.
func TestLeastUrgentRouteKeepsItsShare(t *testing.T) {
	is := is.New(t)
	m := newLoadModel(11)
	m.run(time.Second)
	m.flood(time.Second, [3]float64{1, 5, 1})
	begin := m.now
	m.flood(8*time.Second, [3]float64{1, 5, 1})
	end := m.now
	m.run(2 * time.Second)
	r := resultsOf(m.arrived(2, begin, end))
	t.Log(r)
	is.True(r.inTime > 0.1)
	is.True(resultsOf(m.arrived(0, begin, end)).inTime > 0.95) // the most urgent jobs
}

// TestUrgentJobsOfAllSizesAreServedInAFlood floods the pool with all kinds. The capacity
// suffices for the most urgent kind, of which small jobs must not delay the large ones until
// these are refused.
func TestUrgentJobsOfAllSizesAreServedInAFlood(t *testing.T) {
	is := is.New(t)
	during, _ := floodResults([3]float64{2.2, 2.2, 2.2})
	t.Log(during[0])
	is.True(during[0].inTime > 0.985)
	is.True(during[0].largest > 0.97)
}

// TestMostRefusalsOfAFloodAreEarly floods the pool with all kinds. Most refused jobs, of which
// there are hundreds, are refused long before their time limit.
func TestMostRefusalsOfAFloodAreEarly(t *testing.T) {
	is := is.New(t)
	during, _ := floodResults([3]float64{2.2, 2.2, 2.2})
	for _, kind := range []int{1, 2} {
		r := during[kind]
		objective := time.Duration(1.6*float64(modelKinds[kind].run)) + 60*time.Millisecond
		is.True(r.refused > 50)
		is.True(r.median < objective/4)
	}
}

// TestCapacityIsUsedInAFlood floods the pool with all kinds. An estimate that refuses too many
// jobs would leave workers idle.
func TestCapacityIsUsedInAFlood(t *testing.T) {
	is := is.New(t)
	m := newLoadModel(9)
	m.run(3 * time.Second)
	m.flood(time.Second, [3]float64{2.2, 2.2, 2.2})
	m.busy = 0
	m.flood(8*time.Second, [3]float64{2.2, 2.2, 2.2})
	is.True(m.busy.Seconds() > 0.96*8*2*modelWorkers)
}

// TestSteadyLoadRefusesNothing runs the usual load, of which waits are short.
func TestSteadyLoadRefusesNothing(t *testing.T) {
	is := is.New(t)
	m := newLoadModel(10)
	begin := m.now
	m.run(10 * time.Second)
	for kind := range modelKinds {
		r := resultsOf(m.arrived(kind, begin, begin.Add(8*time.Second)))
		is.True(r.inTime > 0.99)
		is.True(r.refused <= r.jobs/200)
	}
}
