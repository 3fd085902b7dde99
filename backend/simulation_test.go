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

// A simulation runs a Scheduler with simulated servers and jobs in simulated
// time.
type simulation struct {
	// sched is nil in a simulation that only uses the event queue.
	sched   *backend.Scheduler[int]
	random  *rand.Rand
	now     time.Time
	events  events
	servers map[netip.AddrPort]*simulatedServer
	tasks   map[int]*task
	lastID  int
	// started is the number of tasks of each route that have started, and
	// running the number of tasks of each route that are running.
	started, running map[string]int
	// startedOn is the number of tasks that have started on each server.
	startedOn map[netip.AddrPort]int
	// wasted is the number of tasks that started on a server with failAll.
	wasted int
	// ratios holds, by route, one ratio for each job that succeeded: its
	// response time divided by job.longest. failedJobs is the number of jobs
	// that ended otherwise.
	ratios     map[string][]float64
	failedJobs int
}

// tickInterval is the time between two calls of a function that is run
// periodically.
const tickInterval = 20 * time.Millisecond

// A simulatedServer determines the run times and outcomes of tasks on a server.
type simulatedServer struct {
	// factor is the run time of a task relative to that on a typical server.
	factor float64
	// failAll is set if the server fails each task after 1 ms.
	failAll bool
}

type job struct {
	route      string
	arrived    time.Time
	unfinished int
	failed     bool
	// longest is the longest run time of the job's tasks on a typical server.
	longest time.Duration
}

type task struct {
	id  int
	job *job
	// run is the run time on a typical server.
	run time.Duration
	// fail is set if the task fails on any server.
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

func newSimulation(t testing.TB, seed uint64, routes []operator.Route, rows []operator.Server) *simulation {
	sim := &simulation{
		sched:     newScheduler(t),
		random:    rand.New(rand.NewPCG(seed, 0)),
		now:       begin,
		servers:   map[netip.AddrPort]*simulatedServer{},
		tasks:     map[int]*task{},
		started:   map[string]int{},
		running:   map[string]int{},
		startedOn: map[netip.AddrPort]int{},
		ratios:    map[string][]float64{},
	}
	sim.everyTick(func() {})
	sim.sched.SetRoutes(routes)
	sim.sched.SetServers(sim.now, rows)
	for _, s := range rows {
		sim.servers[s.Address] = &simulatedServer{factor: 1}
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.events, event{at: sim.now.Add(d), do: do})
}

// run advances the simulated time by d and handles the events that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
		if sim.sched != nil {
			sim.startAll()
		}
	}
	sim.now = end
}

// everyTick calls do now and at every tick.
func (sim *simulation) everyTick(do func()) {
	do()
	sim.after(tickInterval, func() { sim.everyTick(do) })
}

// submit adds a job of the given route. It has one task for each of runs, the
// run times on a typical server.
func (sim *simulation) submit(route string, runs ...time.Duration) *job {
	j := &job{route: route, arrived: sim.now, unfinished: len(runs), longest: slices.Max(runs)}
	for i, run := range runs {
		sim.lastID++
		sim.tasks[sim.lastID] = &task{id: sim.lastID, job: j, run: run}
		sim.sched.Push(sim.now, backend.Task[int]{ID: sim.lastID, Route: route, Arrived: sim.now, Index: i})
	}
	return j
}

func (sim *simulation) startAll() {
	for s, ok := sim.sched.Next(sim.now); ok; s, ok = sim.sched.Next(sim.now) {
		t := sim.tasks[s.ID]
		f := sim.servers[s.Server]
		sim.started[s.Route]++
		sim.startedOn[s.Server]++
		sim.running[s.Route]++
		kind, run := backend.Done, time.Duration(float64(t.run)*f.factor)
		if f.failAll {
			kind, run = backend.Failed, time.Millisecond
			sim.wasted++
		}
		if t.fail {
			kind = backend.Failed
		}
		sim.after(run, func() { sim.done(t, kind) })
	}
}

func (sim *simulation) done(t *task, kind backend.OutcomeKind) {
	sim.running[t.job.route]--
	sim.sched.Done(sim.now, t.id, backend.Outcome{Kind: kind})
	delete(sim.tasks, t.id)
	j := t.job
	j.unfinished--
	j.failed = j.failed || kind != backend.Done
	if j.unfinished > 0 {
		return
	}
	if j.failed {
		sim.failedJobs++
		return
	}
	ratio := float64(sim.now.Sub(j.arrived)) / float64(j.longest)
	sim.ratios[j.route] = append(sim.ratios[j.route], ratio)
}

// runTime draws a run time: mostly from 50 ms to 1 s, and one in fifty from 2
// to 5 s. The requirements describe tasks of these lengths.
func (sim *simulation) runTime() time.Duration {
	if sim.random.IntN(50) == 0 {
		return 2*time.Second + time.Duration(sim.random.Int64N(int64(3*time.Second)))
	}
	low, high := math.Log(0.05), math.Log(1)
	return time.Duration(math.Exp(low+sim.random.Float64()*(high-low)) * float64(time.Second))
}

// meanRunTime is the mean of runTime: 0.98*(1-0.05)/ln 20 + 0.02*3.5 s.
const meanRunTime = 381 * time.Millisecond

// arrive submits jobs of a route at random times from now on, with 1 to
// 2*tasks-1 tasks each. They need the given number of slots of typical servers
// on average.
func (sim *simulation) arrive(route string, tasks int, slots float64) {
	gap := float64(tasks) * meanRunTime.Seconds() / slots
	var next func()
	next = func() {
		runs := make([]time.Duration, 1+sim.random.IntN(2*tasks-1))
		for i := range runs {
			runs[i] = sim.runTime()
		}
		sim.submit(route, runs...)
		sim.after(time.Duration(sim.random.ExpFloat64()*gap*float64(time.Second)), next)
	}
	sim.after(time.Duration(sim.random.ExpFloat64()*gap*float64(time.Second)), next)
}

// percentile returns the p-th percentile of values, p in [0, 100].
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}
