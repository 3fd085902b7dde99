package backend

import (
	"net/netip"
	"time"
)

const (
	// meanRunTimeStep is the weight of a new run time in the moving mean of
	// all run times.
	meanRunTimeStep = 0.1
	// maintenanceInterval is the minimum time between two runs of the
	// maintenance, which ages the speed estimates and drops the servers that
	// were released long ago.
	maintenanceInterval = time.Second
	// releasedRetention is the time for which a released server, that is, one
	// that this instance no longer holds, is remembered.
	releasedRetention = 10 * time.Minute
)

// A dispatcher contains the queues, estimates and decisions of a Scheduler. It
// refers to tasks by handles, so that it does not depend on the type of the
// task IDs.
type dispatcher struct {
	ejector *Ejector
	tasks   taskTable
	// epoch is the instant from which task records and timers count.
	epoch time.Time
	// routes holds all routes by name, and sortedRoutes the same routes
	// sorted by name.
	routes       map[string]*route
	sortedRoutes []*route
	// totalShares is the sum of the shares of all routes.
	totalShares int
	// servers holds, by address, the servers that this instance holds and the
	// released ones that are remembered. held contains only the servers that
	// this instance holds, sorted by address.
	servers map[netip.AddrPort]*server
	held    []*server
	// drainedZones holds the availability zones on whose servers no task is
	// started.
	drainedZones []string
	// heaps contains one heap of servers for each distinct demand of a route.
	heaps []*serverHeap
	// usable, free and busy are the sums of the fields of the same names of
	// all servers. busy[level] includes only the servers at that speed level.
	usable, free int
	busy         [speedLevels]int
	// waiting and running are numbers of tasks, and expectedRunning is the
	// sum of the expected run times of the running tasks in seconds.
	waiting, running int
	expectedRunning  float64
	// fastestFactor is the smallest slowness factor of the servers that are
	// held, at most 1.
	fastestFactor float64
	// meanRunTime is the moving mean of all run times in seconds.
	meanRunTime float64
	deadlines   timers
	// overdue holds the tasks that were found overdue and not yet returned by
	// RemoveOverdue.
	overdue []handle
	// decision is the number of calls of next so far that tried to start a
	// task.
	decision uint64
	// nextMaintenance is when the next maintenance is due.
	nextMaintenance time.Time
}

func newDispatcher(ejector *Ejector) *dispatcher {
	return &dispatcher{
		ejector: ejector,
		routes:  map[string]*route{},
		servers: map[netip.AddrPort]*server{},
	}
}

// instant returns t as a duration since the epoch. The first call sets the
// epoch.
func (d *dispatcher) instant(t time.Time) time.Duration {
	if d.epoch.IsZero() {
		d.epoch = t
	}
	return t.Sub(d.epoch)
}

// guarantee returns the number of slots, not necessarily whole, that r gets
// when all routes have waiting tasks.
func (d *dispatcher) guarantee(r *route) float64 {
	if d.totalShares == 0 {
		return 0
	}
	return float64(r.row.Share) * float64(d.usable) / float64(d.totalShares)
}

// accrueDeficit updates the deficit of r to now.
func (d *dispatcher) accrueDeficit(now time.Time, r *route) {
	r.accrueDeficit(now, d.guarantee(r), d.meanRunTime)
}

// push adds a waiting task at the given index of its job and returns its
// handle.
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
	rec.latestStart = noDeadline
	r.queue.push(&d.tasks, d.instant(arrived)+r.queueDelay(index), h)
	d.waiting++
	if !deadline.IsZero() {
		rec.latestStart = d.instant(deadline) - seconds(r.runTime.shortest*d.fastestFactor)
		d.deadlines.push(&d.tasks, d.waiting, timer{at: rec.latestStart, task: h})
	}
	return h
}

// remove drops a task that has not started. It returns false if the task has
// started or is unknown.
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

// unqueue updates the counters for a task that no longer waits.
func (d *dispatcher) unqueue(rec *taskRecord) {
	rec.route.queue.length--
	d.waiting--
}

// advance ends the coolings and ejections that have expired at now and, if the
// maintenance is due, ages the speed estimates and drops the servers that were
// released long ago.
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

// resetTrialSpeeds resets the variance of the speed estimates of servers on
// trial, so that their next run times get a large weight.
func (d *dispatcher) resetTrialSpeeds() {
	for _, s := range d.held {
		if s.health.state == trial {
			s.slowness.variance = speedVariance
		}
	}
}

// ageSpeeds ages the speed estimates of all held servers to now and normalizes
// them, so that the slowness factor of a typical server stays 1. It also
// clears the excess counts that have expired.
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

// centre subtracts the mean from the logarithms of the servers' slowness and
// scales the routes' run times to match.
func (d *dispatcher) centre(mean float64) {
	for _, s := range d.held {
		s.slowness.log -= mean
	}
	for _, r := range d.sortedRoutes {
		r.runTime.scale(mean)
	}
}

// observe completes o with the route and the start of the task, and records it
// in the Ejector as an observation of the task's server.
func (d *dispatcher) observe(now time.Time, rec *taskRecord, o Observation) {
	o.Route = rec.route.row.Name
	o.Started = rec.started
	d.ejector.Record(now, rec.server.row.Address, o)
	d.refresh(rec.server)
}

// done ends a running task and updates the estimates with its outcome. It
// returns false if the handle does not refer to a running task.
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
		runTime := now.Sub(rec.started)
		learn(now, &r.runTime, &s.slowness, runTime)
		d.meanRunTime += meanRunTimeStep * (runTime.Seconds() - d.meanRunTime)
	}
	d.observe(now, rec, Observation{Kind: o.Kind, Slow: s.slowness.muchSlower(), Leaving: o.Leaving})
	d.tasks.drop(h.index)
	return true
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
