package entry

import (
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/operator"
)

// Admission limits.
const (
	// maxWaitShare is the largest expected queueing time of an admitted job,
	// as a fraction of its timeout.
	maxWaitShare = 0.5
	// minRetryAfter and maxRetryAfter bound the retry time that is sent to a
	// refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// completionWindow is the time over which the completion rate of a queue
	// is averaged.
	completionWindow = 2 * time.Second
	// minCompletionTime is the time for which tasks must have waited before
	// the measured completion rate of their route is relied on. Until then the
	// guaranteed rate is used if it is higher.
	minCompletionTime = time.Second
)

// admit accepts a new submission or refuses it. No task of a refused submission
// has left the instance, so a refusal proves that the job has not run.
func (i *Instance) admit(now time.Time, in caller.Job) {
	route, reason, message := i.routeOf(in)
	if reason != "" {
		i.refuse(now, in.Key, caller.Answer{Reason: reason, Message: message})
		return
	}
	timeout := in.Timeout
	if timeout <= 0 || timeout > route.Timeout {
		timeout = route.Timeout
	}
	wait := i.expectedWait(route, len(in.Tasks))
	if wait > time.Duration(maxWaitShare*float64(timeout)) || i.atCapacity() {
		i.counts.Overloaded++
		i.refuse(now, in.Key, caller.Answer{
			Reason:     caller.ReasonOverload,
			Message:    "the answer would come after the job's timeout",
			RetryAfter: i.retryAfter(wait),
		})
		return
	}
	i.accept(now, in, route, timeout)
}

// routeOf returns the route of a job. If the job cannot run, it returns the reason
// and message of the refusal instead; otherwise both are empty.
func (i *Instance) routeOf(in caller.Job) (operator.Route, caller.Reason, string) {
	if i.tables == nil {
		return operator.Route{}, caller.ReasonNoConfiguration, "the instance has no configuration yet"
	}
	route, ok := i.tables.Route(in.Route)
	if !ok {
		return route, caller.ReasonUnknownRoute, "no route is named " + in.Route
	}
	pool, ok := i.tables.Pool(route.Pool)
	fits, drained := fit(route, pool)
	switch {
	case !ok || !fits:
		return route, caller.ReasonImpossible, "no backend server of pool " + route.Pool + " is large enough"
	case drained:
		return route, caller.ReasonDrained, "the backend servers of pool " + route.Pool + " are drained"
	default:
		return route, "", ""
	}
}

// fit reports whether some backend server of pool is large enough for a task of
// route, and whether the availability zones of all such servers are drained.
func fit(route operator.Route, pool operator.Pool) (fits, drained bool) {
	for _, s := range pool.Servers {
		if s.Slots <= 0 || route.Cores > float64(s.Cores) || route.MemoryMiB > s.MemoryMiB {
			continue
		}
		if !pool.Drained(s.Zone) {
			return true, false
		}
		fits = true
	}
	return fits, fits
}

// refuse answers a submission as not-run. None of the submission's tasks may start
// afterwards.
func (i *Instance) refuse(now time.Time, key caller.Key, a caller.Answer) {
	a.Key = key
	a.Status = caller.NotRun
	for _, w := range i.submissions.Finish(now, key, a) {
		i.answer(w, a)
	}
}

// expectedWait returns the expected queueing time of the last of n new tasks of
// route at this instance. It is zero while no task of the route waits.
func (i *Instance) expectedWait(route operator.Route, n int) time.Duration {
	q := i.queues[route.Name]
	if q == nil || q.waiting == 0 {
		return 0
	}
	rate, known := q.completions.perSecond()
	if !known {
		rate = max(rate, i.guaranteedRate(route))
	}
	if rate <= 0 {
		return 0
	}
	wait := time.Duration(float64(q.waiting+n) / rate * float64(time.Second))
	return wait + i.pools[route.Pool].scheduler.QueueDelay(route.Name, n-1)
}

// guaranteedRate returns the rate, in tasks per second, at which the route's share of
// the pool's slots runs the tasks that this instance owns. It assumes that all live
// instances own equally many. It is zero while the run time of the route's tasks or
// the slots of the pool are unknown.
func (i *Instance) guaranteedRate(route operator.Route) float64 {
	p := i.pools[route.Pool]
	typical := p.selector.TypicalTime(route.Name).Seconds()
	if typical == 0 {
		return 0
	}
	shares := 0
	for _, r := range i.tables.Routes {
		if r.Pool == route.Pool {
			shares += r.Share
		}
	}
	slots := float64(p.selector.Slots()) * float64(route.Share) / float64(shares)
	return slots / typical / float64(i.livePeers()+1)
}

// atCapacity reports whether the instance owns Config.MaxJobs jobs, or more than
// Config.MaxWaiting waiting tasks.
func (i *Instance) atCapacity() bool {
	return len(i.jobs) >= i.cfg.MaxJobs || i.waitingTasks() > i.cfg.MaxWaiting
}

// waitingTasks returns the number of owned tasks that are not assigned to a
// holder.
func (i *Instance) waitingTasks() int {
	total := 0
	for _, q := range i.queues {
		total += q.waiting
	}
	return total
}

// retryAfter returns the time after which a refused caller may retry, for a job
// whose expected queueing time is wait. The time is random, between half of wait and
// wait within the limits above, so that callers that were refused together do not
// retry together.
func (i *Instance) retryAfter(wait time.Duration) time.Duration {
	base := min(max(wait/2, minRetryAfter), maxRetryAfter/2)
	return base + time.Duration(i.cfg.Random.Int64N(int64(base)))
}

// completions measures the rate at which tasks of a route complete while other
// tasks of the route wait. It counts only tasks that ran, because a queue also
// shrinks when jobs are aborted.
type completions struct {
	// last is the time of the last call of observe, and backlog is set if
	// tasks waited then.
	last    time.Time
	backlog bool
	// recent counts the tasks that have run since last.
	recent int
	// ended counts the tasks that ran while others waited, and elapsed the
	// seconds during which tasks waited. Both decay over completionWindow.
	ended   float64
	elapsed float64
}

// add counts a task that has run.
func (c *completions) add() { c.recent++ }

// observe updates the rate with the tasks counted since the last call. The argument
// backlog must be true if tasks wait at now.
func (c *completions) observe(now time.Time, backlog bool) {
	if c.backlog {
		dt := now.Sub(c.last).Seconds()
		keep := max(0, 1-dt/completionWindow.Seconds())
		c.ended = c.ended*keep + float64(c.recent)
		c.elapsed = c.elapsed*keep + dt
	}
	c.recent = 0
	c.last, c.backlog = now, backlog
}

// perSecond returns the rate in tasks per second, and whether tasks have waited for
// at least minCompletionTime, so that the rate can be relied on.
func (c *completions) perSecond() (rate float64, known bool) {
	if c.elapsed == 0 {
		return 0, false
	}
	return c.ended / c.elapsed, c.elapsed >= minCompletionTime.Seconds()
}
