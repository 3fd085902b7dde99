package backend

import (
	"net/netip"
	"time"
)

const (
	// meanRunTimeStep is the weight of a run time in the mean of all.
	meanRunTimeStep = 0.1
	// maintenanceInterval is the time between two looks at what ages.
	maintenanceInterval = time.Second
	// releasedRetention is the time for which a server that is no longer held is
	// remembered.
	releasedRetention = 10 * time.Minute
)

// A dispatcher is a Scheduler without the tasks' IDs.
type dispatcher struct {
	ejector *Ejector
	tasks   taskTable
	// epoch is the instant from which records and timers count.
	epoch time.Time
	// routes holds all routes, and order the same sorted by name.
	routes map[string]*route
	sortedRoutes  []*route
	// totalShares is the sum of the totalShares of all routes.
	totalShares int
	// servers holds all servers, and held those held, sorted by address.
	servers map[netip.AddrPort]*server
	held    []*server
	heaps []*serverHeap
	// usable, free, and busy are the sums over the servers held.
	usable, free int
	busy         [speedLevels]int
	// waiting and running are the numbers of tasks, and runningWork the sum
	// of the expected run times of those running, in seconds.
	waiting, running int
	expectedRunning      float64
	// fastestFactor is the least factor of a server held, at most 1.
	fastestFactor float64
	// meanRunTime is the moving mean of all run times in seconds.
	meanRunTime   float64
	deadlines timers
	// overdue holds tasks that were found overdue when a server was chosen.
	overdue []handle
	// decision counts the calls of next.
	decision uint64
	// nextMaintenance is when the next look at what ages is due.
	nextMaintenance time.Time
}

func newDispatcher(ejector *Ejector) *dispatcher {
	return &dispatcher{
		ejector: ejector,
		routes:  map[string]*route{},
		servers: map[netip.AddrPort]*server{},
	}
}

// instant returns t as a duration since the epoch.
func (d *dispatcher) instant(t time.Time) time.Duration {
	if d.epoch.IsZero() {
		d.epoch = t
	}
	return t.Sub(d.epoch)
}

// guarantee returns the number of slots that r has under contention.
func (d *dispatcher) guarantee(r *route) float64 {
	if d.totalShares == 0 {
		return 0
	}
	return float64(r.row.Share) * float64(d.usable) / float64(d.totalShares)
}

// accrueDeficit brings up to now what r is owed.
func (d *dispatcher) accrueDeficit(now time.Time, r *route) {
	r.accrueDeficit(now, d.guarantee(r), d.meanRunTime)
}

// push adds a waiting task of a job and returns its handle.
func (d *dispatcher) push(now time.Time, name string, index int, arrived, deadline time.Time) handle {
	r := d.route(name)
	d.accrueDeficit(now, r)
	if arrived.IsZero() {
		arrived = now
	}
	h := d.tasks.add()
	rec := &d.tasks.records[h.index]
	rec.state = waiting
	rec.route = r
	rec.deadline = noDeadline
	r.queue.push(&d.tasks, d.instant(arrived)+r.queueDelay(index), h)
	d.waiting++
	if !deadline.IsZero() {
		rec.deadline = d.instant(deadline) - seconds(r.runTime.shortest*d.fastestFactor)
		d.deadlines.push(&d.tasks, d.waiting, timer{at: rec.deadline, task: h})
	}
	return h
}

// remove drops the task if it has not started, and reports whether it did.
func (d *dispatcher) remove(h handle) bool {
	if rec := d.tasks.get(h, waiting); rec != nil {
		d.unqueue(rec)
		d.tasks.drop(h.index)
		return true
	}
	if d.tasks.get(h, expired) != nil {
		d.tasks.drop(h.index)
		return true
	}
	return false
}

// unqueue counts a task as no longer waiting.
func (d *dispatcher) unqueue(rec *taskRecord) {
	rec.route.queue.length--
	d.waiting--
}

// advance brings all that depends on time up to now.
func (d *dispatcher) advance(now time.Time) {
	if d.ejector.Advance(now) {
		d.resetTrialSpeeds()
		d.refreshAll()
	}
	if now.Before(d.nextMaintenance) {
		return
	}
	d.nextMaintenance = now.Add(maintenanceInterval)
	d.ageSpeeds(now)
	d.forgetReleased(now)
}

// resetTrialSpeeds drops the confidence in the speed of the servers on trial.
func (d *dispatcher) resetTrialSpeeds() {
	for _, s := range d.held {
		if s.health.state == trial {
			s.slowness.variance = speedVariance
		}
	}
}

// ageSpeeds takes confidence from old estimates and centres the servers'
// speeds, so that a typical server's factor stays 1.
func (d *dispatcher) ageSpeeds(now time.Time) {
	sum, weight := 0.0, 0.0
	d.fastestFactor = 1
	for _, s := range d.held {
		if s.excess > 0 && !now.Before(s.excessUntil) {
			s.excess = 0
		}
		s.slowness.age(now)
		d.fastestFactor = min(d.fastestFactor, s.slowness.factor())
		sum += s.slowness.log / s.slowness.variance
		weight += 1 / s.slowness.variance
	}
	if weight > 0 {
		d.centre(sum / weight)
	}
	d.refreshAll()
}

// centre moves the mean from the servers' estimates to the routes'.
func (d *dispatcher) centre(mean float64) {
	for _, s := range d.held {
		s.slowness.log -= mean
	}
	for _, r := range d.sortedRoutes {
		r.runTime.scale(mean)
	}
}

// observe tells the Ejector of a task on the record's server.
func (d *dispatcher) observe(now time.Time, rec *taskRecord, o Observation) {
	o.Route = rec.route.row.Name
	o.Started = rec.started
	d.ejector.Record(now, rec.server.row.Address, o)
	d.refresh(rec.server)
}

// done ends a running task and learns from its outcome. It reports false if
// the handle is of no running task.
func (d *dispatcher) done(now time.Time, h handle, o Outcome) bool {
	rec := d.tasks.get(h, running)
	if rec == nil {
		return false
	}
	r, s := rec.route, rec.server
	d.accrueDeficit(now, r)
	r.running--
	s.running--
	s.used.milliCores -= rec.demand.milliCores
	s.used.memoryMiB -= rec.demand.memoryMiB
	d.running--
	d.expectedRunning -= rec.expectedRunTime
	if d.running == 0 {
		d.expectedRunning = 0
	}
	s.applyReport(now, o)
	if o.Kind == Done {
		run := now.Sub(rec.started)
		learn(now, &r.runTime, &s.slowness, run)
		d.meanRunTime += meanRunTimeStep * (run.Seconds() - d.meanRunTime)
	}
	d.observe(now, rec, Observation{Kind: o.Kind, Slow: s.slowness.muchSlower(), Leaving: o.Leaving})
	d.tasks.drop(h.index)
	return true
}

// seconds returns the duration of so many seconds.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
