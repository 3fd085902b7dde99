package entry

import (
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/operator"
)

// Constants of admission.
const (
	// queueTimeShare is the part of a job's timeout that it may be expected
	// to wait for.
	queueTimeShare = 0.5
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// caller is asked to come again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// completionWindow is the time over which a queue's rate is averaged.
	completionWindow = 2 * time.Second
	// completionKnown is the time of waiting tasks after which the rate is known.
	completionKnown = time.Second
)

// admit begins a new submission or refuses it. No task of it has left the
// instance, so that a refusal proves that it has not run.
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
	if wait > time.Duration(queueTimeShare*float64(timeout)) || i.full() {
		i.counts.Overloaded++
		i.refuse(now, in.Key, caller.Answer{
			Reason:     caller.ReasonOverload,
			Message:    "the answer would come after the job's timeout",
			RetryAfter: i.retryAfter(wait),
		})
		return
	}
	i.begin(now, in, route, timeout)
}

// routeOf returns the route of a job, or why the job can never run.
func (i *Instance) routeOf(in caller.Job) (operator.Route, caller.Reason, string) {
	if i.tables == nil {
		return operator.Route{}, caller.ReasonNoConfiguration, "the instance has no configuration yet"
	}
	route, ok := i.tables.Route(in.Route)
	if !ok {
		return route, caller.ReasonUnknownRoute, "no route is named " + in.Route
	}
	pool, ok := i.tables.Pool(route.Pool)
	if !ok || !fits(route, pool) {
		return route, caller.ReasonImpossible, "no backend server of pool " + route.Pool + " is large enough"
	}
	return route, "", ""
}

// fits reports whether some backend server of pool can ever run a task of route.
func fits(route operator.Route, pool operator.Pool) bool {
	for _, s := range pool.Servers {
		if s.Slots > 0 && route.Cores <= float64(s.Cores) && route.MemoryMiB <= s.MemoryMiB {
			return true
		}
	}
	return false
}

// refuse answers a submission that has not run and never will.
func (i *Instance) refuse(now time.Time, key caller.Key, a caller.Answer) {
	a.Key = key
	a.Status = caller.NotRun
	for _, w := range i.book.Finish(now, key, a) {
		i.answer(w, a)
	}
}

// expectedWait returns how long the last of n new tasks of route is expected to
// wait here. It is zero while nothing waits.
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
	return wait + i.pools[route.Pool].holding.QueueDelay(route.Name, n-1)
}

// guaranteedRate returns this instance's part of the rate, in tasks a second,
// that the route's share of the pool sustains, if all live instances get as much
// of its load. It is zero while the run time or the slots are not known.
func (i *Instance) guaranteedRate(route operator.Route) float64 {
	p := i.pools[route.Pool]
	typical := p.spread.TypicalTime(route.Name).Seconds()
	if typical == 0 {
		return 0
	}
	shares := 0
	for _, r := range i.tables.Routes {
		if r.Pool == route.Pool {
			shares += r.Share
		}
	}
	slots := float64(p.spread.Slots()) * float64(route.Share) / float64(shares)
	return slots / typical / float64(i.livePeers()+1)
}

// full reports whether the instance owns as much as it may.
func (i *Instance) full() bool {
	return len(i.jobs) >= i.cfg.MaxJobs || i.waitingTasks() > i.cfg.MaxWaiting
}

// waitingTasks returns the number of owned tasks that no holder has.
func (i *Instance) waitingTasks() int {
	total := 0
	for _, q := range i.queues {
		total += q.waiting
	}
	return total
}

// retryAfter draws the time after which a refused caller may come again, so
// that callers refused together do not come back together.
func (i *Instance) retryAfter(wait time.Duration) time.Duration {
	base := min(max(wait/2, minRetryAfter), maxRetryAfter/2)
	return base + time.Duration(i.cfg.Random.Int64N(int64(base)))
}

// Completions measure how fast a route's tasks end while others of it wait. Only
// tasks that ran count: a queue also shrinks because its tasks are given up.
type completions struct {
	last    time.Time
	backlog bool
	recent  int
	ended   float64
	elapsed float64
}

// ran counts a task that has run.
func (c *completions) ran() { c.recent++ }

// observe takes what has happened until now into the rate. Backlog says that
// tasks still wait.
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

// perSecond returns the rate in tasks a second, and whether it rests on enough
// to go by it alone.
func (c *completions) perSecond() (rate float64, known bool) {
	if c.elapsed == 0 {
		return 0, false
	}
	return c.ended / c.elapsed, c.elapsed >= completionKnown.Seconds()
}
