package backend_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// A world is a Scheduler with fake servers and jobs in simulated time.
type world struct {
	// h is nil if the tasks are not dispatched.
	h      *backend.Scheduler[int]
	random *rand.Rand
	now    time.Time
	events events
	fakes  map[netip.AddrPort]*fake
	tasks  map[int]*task
	next   int
	// started counts the started tasks, running those that run, by route.
	started, running map[string]int
	// startedOn counts the started tasks by server.
	startedOn map[netip.AddrPort]int
	// wasted counts the tasks that failed on a bad server.
	wasted int
	// ratios holds the response time over the longest task's run time of
	// each job that succeeded, by route, and lost counts the others.
	ratios map[string][]float64
	lost   int
}

// tickEvery is the time between two looks at what changes with time alone.
const tickEvery = 20 * time.Millisecond

// A fake is a backend server.
type fake struct {
	// factor is the true run time relative to a typical server's.
	factor  float64
	failAll bool
}

type job struct {
	route   string
	arrived time.Time
	open    int
	failed  bool
	// longest is the longest run time of its tasks on a typical server.
	longest time.Duration
}

type task struct {
	id   int
	job  *job
	run  time.Duration
	fail bool
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newWorld(t testing.TB, seed uint64, routes []operator.Route, rows []operator.Server) *world {
	w := &world{
		h:         newHolding(t),
		random:    rand.New(rand.NewPCG(seed, 0)),
		now:       begin,
		fakes:     map[netip.AddrPort]*fake{},
		tasks:     map[int]*task{},
		started:   map[string]int{},
		running:   map[string]int{},
		startedOn: map[netip.AddrPort]int{},
		ratios:    map[string][]float64{},
	}
	w.repeat(func() {})
	w.h.SetRoutes(routes)
	w.h.SetServers(w.now, rows)
	for _, s := range rows {
		w.fakes[s.Address] = &fake{factor: 1}
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	heap.Push(&w.events, event{at: w.now.Add(d), do: do})
}

// run lets the simulated time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
		if w.h != nil {
			w.startAll()
		}
	}
	w.now = end
}

// repeat calls do at every tick.
func (w *world) repeat(do func()) {
	do()
	w.after(tickEvery, func() { w.repeat(do) })
}

// submit adds a job with the run times of its tasks on a typical server.
func (w *world) submit(route string, runs ...time.Duration) *job {
	j := &job{route: route, arrived: w.now, open: len(runs), longest: slices.Max(runs)}
	for i, run := range runs {
		w.next++
		w.tasks[w.next] = &task{id: w.next, job: j, run: run}
		w.h.Push(w.now, backend.Task[int]{ID: w.next, Route: route, Arrived: w.now, Index: i})
	}
	return j
}

func (w *world) startAll() {
	for s, ok := w.h.Next(w.now); ok; s, ok = w.h.Next(w.now) {
		t := w.tasks[s.ID]
		f := w.fakes[s.Server]
		w.started[s.Route]++
		w.startedOn[s.Server]++
		w.running[s.Route]++
		kind, run := backend.Done, time.Duration(float64(t.run)*f.factor)
		if f.failAll {
			kind, run = backend.Failed, time.Millisecond
			w.wasted++
		}
		if t.fail {
			kind = backend.Failed
		}
		w.after(run, func() { w.done(t, kind) })
	}
}

func (w *world) done(t *task, kind backend.OutcomeKind) {
	w.running[t.job.route]--
	w.h.Done(w.now, t.id, backend.Outcome{Kind: kind})
	delete(w.tasks, t.id)
	j := t.job
	j.open--
	j.failed = j.failed || kind != backend.Done
	if j.open > 0 {
		return
	}
	if j.failed {
		w.lost++
		return
	}
	ratio := float64(w.now.Sub(j.arrived)) / float64(j.longest)
	w.ratios[j.route] = append(w.ratios[j.route], ratio)
}

// runTime draws a run time: most from 50 ms to 1 s, one in fifty several
// seconds, as the brief's tasks.
func (w *world) runTime() time.Duration {
	if w.random.IntN(50) == 0 {
		return 2*time.Second + time.Duration(w.random.Int64N(int64(3*time.Second)))
	}
	low, high := math.Log(0.05), math.Log(1)
	return time.Duration(math.Exp(low+w.random.Float64()*(high-low)) * float64(time.Second))
}

// meanRunTime is the mean of runTime: 0.98*(1-0.05)/ln 20 + 0.02*3.5 s.
const meanRunTime = 381 * time.Millisecond

// arrive submits jobs of a route at random, with 1 to 2*tasks-1 tasks each, so
// that they use the given number of typical slots in the mean.
func (w *world) arrive(route string, tasks int, slots float64) {
	gap := float64(tasks) * meanRunTime.Seconds() / slots
	var next func()
	next = func() {
		runs := make([]time.Duration, 1+w.random.IntN(2*tasks-1))
		for i := range runs {
			runs[i] = w.runTime()
		}
		w.submit(route, runs...)
		w.after(time.Duration(w.random.ExpFloat64()*gap*float64(time.Second)), next)
	}
	w.after(time.Duration(w.random.ExpFloat64()*gap*float64(time.Second)), next)
}

// percentile returns the p-th percentile of values, p in [0, 100].
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}
