package dispatch

import (
	"container/heap"
	"time"
)

const (
	// planInterval is the shortest time between two plans of the queue. It bounds their
	// processor time, and is short beside the time in which a refusal is useful.
	planInterval = 5 * time.Millisecond
	// planOptimism scales the expected run times in a plan: a job is refused only if it
	// would be late even if all runs ahead of it were that much shorter.
	planOptimism = 0.75
	// minForecastWait is the shortest wait behind the queued jobs at which jobs that have not
	// arrived yet count, too: a shorter queue may become empty, and capacity then goes to
	// less urgent jobs or to none.
	minForecastWait = 20 * time.Millisecond
	// maxPlanAge is the age of a plan up to which the overloaded pools that it found count
	// as overloaded.
	maxPlanAge = 50 * time.Millisecond
	// silentWorkerTime is the time after which a plan expects a worker back that has not
	// answered or that is excluded.
	silentWorkerTime = 100 * time.Millisecond
)

// capacityRelease is processor capacity, in thousandths of a core, that becomes free in a
// plan after a time.
type capacityRelease struct {
	after      time.Duration
	millicores int
}

// releaseHeap orders releases by their times.
type releaseHeap []capacityRelease

func (h releaseHeap) Len() int           { return len(h) }
func (h releaseHeap) Less(i, j int) bool { return h[i].after < h[j].after }
func (h releaseHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push and Pop implement heap.Interface.
func (h *releaseHeap) Push(x any) { *h = append(*h, x.(capacityRelease)) }

func (h *releaseHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// poolPlan is the expected course of a pool: when its capacity becomes free, and what is
// ahead in the queue.
type poolPlan struct {
	capacity int
	releases releaseHeap
	// ahead is the work, in core-seconds, of the jobs planned so far.
	ahead float64
	// inUse is the capacity that the runs of each route use, and mostUrgent the lowest
	// urgency value of a queued job.
	inUse      map[string]int
	mostUrgent int
	queued     bool
}

// forecast holds the inputs of a decision about a queued job.
type forecast struct {
	// start is the expected time until the last of its waiting tasks starts.
	start time.Duration
	// ahead is the work ahead of it in core-seconds, and capacity that of its pool in
	// thousandths of a core.
	ahead    float64
	capacity int
}

// planQueue plans the course of the queue with the runs that are going on. It chooses the
// jobs that get the minimum shares of their routes, and refuses those jobs that cannot end
// in time behind the others, so that their callers are told at once.
func (d *dispatcher) planQueue(now time.Time) {
	d.queue.sort()
	if len(d.queue.jobs) == 0 || now.Sub(d.plannedAt) < planInterval {
		return
	}
	d.plannedAt = now
	pools := d.planPools(now)
	d.findOverload(now, pools)
	d.assignMinShares(now, pools)
	d.queue.sort()
	for _, j := range append([]*activeJob(nil), d.queue.jobs...) {
		pool := pools[j.Pool]
		if pool == nil || pool.capacity == 0 || !d.startable(now, j) {
			continue
		}
		if !d.planJob(now, pool, j) {
			d.giveUp(now, j, j.refusalReason())
		}
		j.planned = true
	}
}

// planJob adds j to the plan of its pool, and reports whether it can end in time.
func (d *dispatcher) planJob(now time.Time, pool *poolPlan, j *activeJob) bool {
	waitFactor := d.demand.waitFactor(now, j, pool.capacity)
	f, fits := pool.plan(j, func(start time.Duration) bool {
		if j.started || j.reserved {
			return true
		}
		wait := start
		if start >= minForecastWait {
			wait = time.Duration(float64(start) * waitFactor)
		}
		return !now.Add(wait + d.minChainTime(j)).After(j.usefulUntil())
	})
	j.forecast = f
	if !fits {
		j.forecast.start = time.Duration(float64(f.start) * waitFactor)
	}
	return fits
}

// usefulUntil returns the time by which j must end to be worth its resources under overload:
// its objective or, if it cannot meet that, the time after which its end is worthless.
func (j *activeJob) usefulUntil() time.Time {
	if j.late {
		return j.worthlessAfter()
	}
	return j.objective
}

// findOverload determines the overloaded pools.
func (d *dispatcher) findOverload(now time.Time, pools map[string]*poolPlan) {
	d.overloaded = make(map[string]int, len(pools))
	for name, pool := range pools {
		if demand := d.demand[name]; demand != nil && demand.exceeds(now, pool.capacity) {
			d.overloaded[name] = pool.capacity
		}
	}
}

// overloadedPools returns the capacity of those pools that were overloaded in a recent plan,
// in thousandths of a core.
func (d *dispatcher) overloadedPools(now time.Time) map[string]int {
	if now.Sub(d.plannedAt) > maxPlanAge {
		return nil
	}
	return d.overloaded
}

// refusalReason returns the reason of the refusal of a job that cannot end in time.
func (j *activeJob) refusalReason() string {
	if j.planned {
		return "displaced"
	}
	return "no-capacity"
}

// planPools returns the plans of the pools without any queued job.
func (d *dispatcher) planPools(now time.Time) map[string]*poolPlan {
	pools := make(map[string]*poolPlan)
	for _, w := range d.ledWorkers() {
		if w.Leaving || w.gone(now) || d.unreadZones[w.shard] || !d.drained.allow(w.Zone) {
			continue
		}
		p := pools[w.Pool]
		if p == nil {
			p = &poolPlan{inUse: make(map[string]int)}
			pools[w.Pool] = p
		}
		p.addWorker(now, w, d.typicalMillicores)
	}
	for _, p := range pools {
		heap.Init(&p.releases)
	}
	return pools
}

// addWorker adds the capacity of w to the plan. A worker that is not usable now may be
// usable again soon: a job is kept rather than refused without need.
func (p *poolPlan) addWorker(now time.Time, w *worker, typicalMillicores float64) {
	delay := time.Duration(0)
	if !w.usable(now) {
		delay = silentWorkerTime
	}
	p.capacity += w.Capacity.Millicores
	used := 0
	for _, r := range w.runs {
		used += r.needs.Millicores
		left := time.Duration(0)
		if r.task != nil {
			j := r.task.job
			p.inUse[j.Route] += r.needs.Millicores
			left = time.Duration(planOptimism*float64(w.runTime(j.runTimes[r.id.Step]))) - now.Sub(r.since)
		}
		p.releases = append(p.releases, capacityRelease{max(left, delay), r.needs.Millicores})
	}
	if free := w.Capacity.Millicores - used; float64(free) >= typicalMillicores || used == 0 {
		p.releases = append(p.releases, capacityRelease{delay, free})
	}
}

// plan adds the waiting tasks of j to the plan, if acceptable accepts the expected time
// until the last of them starts.
func (p *poolPlan) plan(j *activeJob, acceptable func(start time.Duration) bool) (forecast, bool) {
	f := forecast{ahead: p.ahead, capacity: p.capacity}
	var taken []capacityRelease
	var started releaseHeap
	for _, t := range j.waiting {
		needed := j.Steps[t.id.Step].Needs.Millicores
		for got := 0; got < needed && len(p.releases) > 0; {
			r := heap.Pop(&p.releases).(capacityRelease)
			taken = append(taken, r)
			f.start = max(f.start, r.after)
			got += r.millicores
			if got > needed {
				// The rest stays free for the next task.
				heap.Push(&p.releases, capacityRelease{r.after, got - needed})
				taken[len(taken)-1].millicores -= got - needed
			}
		}
		started = append(started, capacityRelease{f.start + time.Duration(planOptimism*float64(j.runTimes[t.id.Step])), needed})
	}
	if !acceptable(f.start) {
		for _, r := range taken {
			heap.Push(&p.releases, r)
		}
		return f, false
	}
	for _, r := range started {
		heap.Push(&p.releases, r)
	}
	work, _ := j.waitingWork()
	p.ahead += work
	return f, true
}
