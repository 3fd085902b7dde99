package backend

import (
	"math"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/chart"
)

const (
	// trialEvidence is the part of the evidence for a first ejection that
	// ends a trial.
	trialEvidence = 1.0 / 3
	// recentOutcomes is the number of outcomes kept of each route.
	recentOutcomes = 64
	// badServerRate is the share of tasks that a bad server is taken to fail.
	badServerRate = 0.9
	// priorRate is the share of tasks that a good server is taken to fail
	// before other servers' outcomes are known.
	priorRate = 0.05
	// priorOutcomes is the number of outcomes that the prior rate weighs.
	priorOutcomes = 4
)

// recent is a ring of a route's latest outcomes on all servers.
type recent struct {
	outcomes [recentOutcomes]seen
	next     int
}

// seen is one outcome of a route.
type seen struct {
	server *health
	at     time.Time
	bad    bool
}

func (r *recent) add(s seen) {
	r.outcomes[r.next] = s
	r.next = (r.next + 1) % recentOutcomes
}

// rate returns the share of bad outcomes since the given time on the servers
// other than h.
func (r *recent) rate(h *health, since time.Time) float64 {
	bad, all := priorRate*priorOutcomes, float64(priorOutcomes)
	for i := range r.outcomes {
		s := &r.outcomes[i]
		if s.server == nil || s.server == h || s.at.Before(since) {
			continue
		}
		all++
		if s.bad {
			bad++
		}
	}
	return bad / all
}

// An Observation is what a holder saw of one task on a server.
type Observation struct {
	// Route names the task's route.
	Route string
	// Started is when the task started.
	Started time.Time
	// Kind says what became of the task.
	Kind OutcomeKind
	// Slow says that the task took much longer than the route's tasks do.
	Slow bool
	// Leaving says that the server is about to end.
	Leaving bool
}

// Record counts one observation of addr, made at now. It does nothing if addr
// is unknown.
func (e *Ejector) Record(now time.Time, addr netip.AddrPort, o Observation) {
	h := e.servers[addr]
	if h == nil {
		return
	}
	if o.Leaving {
		h.saidLeaving = now
		e.move(now, h, leave)
	}
	switch {
	case o.Kind == NotStarted:
		e.recordRefusal(now, h, o)
	case o.Kind != Done || o.Slow:
		e.recordBad(now, h, o)
	default:
		e.recordGood(now, h, o)
	}
}

func (e *Ejector) recordRefusal(now time.Time, h *health, o Observation) {
	if o.Started.Before(h.since) {
		return
	}
	e.forgive(now, h)
	h.trouble = now
	h.refusals++
	e.move(now, h, refused)
}

func (e *Ejector) recordBad(now time.Time, h *health, o Observation) {
	r := e.route(o.Route)
	p := r.rate(h, now.Add(-e.cfg.Window))
	h.score += max(0, math.Log(badServerRate/p))
	r.add(seen{server: h, at: now, bad: true})
	if h.state == trial && !o.Started.Before(h.since) && h.score >= trialEvidence*e.cfg.Evidence {
		e.move(now, h, condemned)
		return
	}
	if h.score < e.cfg.Evidence {
		e.recordFirst(now, h, o)
		return
	}
	h.score = e.cfg.Evidence
	if !h.left() && float64(e.out+1) <= e.cfg.MaxEjected*float64(e.added) {
		e.move(now, h, condemned)
	}
}

// recordFirst cools a server of which no task has succeeded yet, since the
// other servers' outcomes may come later than its quick failures.
func (e *Ejector) recordFirst(now time.Time, h *health, o Observation) {
	if h.successes > 0 || o.Started.Before(h.since) {
		return
	}
	if _, ok := healthChart.Next(h.state, firstFailed); ok {
		h.refusals++
		h.trouble = now
		e.move(now, h, firstFailed)
	}
}

func (e *Ejector) recordGood(now time.Time, h *health, o Observation) {
	r := e.route(o.Route)
	if h.score > 0 {
		p := r.rate(h, now.Add(-e.cfg.Window))
		h.score += min(0, math.Log((1-badServerRate)/(1-p)))
		h.score = max(0, h.score)
	}
	r.add(seen{server: h, at: now})
	if o.Started.Before(h.since) {
		return
	}
	h.refusals = 0
	h.successes++
	if h.state == trial && h.successes >= e.cfg.Trials || h.state == probation && h.successes >= probationTasks {
		e.move(now, h, proved)
	}
}

func (e *Ejector) route(name string) *recent {
	r := e.routes[name]
	if r == nil {
		r = &recent{}
		e.routes[name] = r
	}
	return r
}

// forgive forgets old trouble of h.
func (e *Ejector) forgive(now time.Time, h *health) {
	if now.Sub(h.trouble) < forgiveAfter {
		return
	}
	h.ejections = 0
	h.refusals = 0
}

// move applies an event of the health chart to h.
func (e *Ejector) move(now time.Time, h *health, event chart.Event) {
	to, ok := healthChart.Next(h.state, event)
	if !ok {
		return
	}
	e.out -= h.out()
	h.state = to
	h.since = now
	h.successes = 0
	h.until = time.Time{}
	e.out += h.out()
	switch to {
	case cooling:
		h.until = now.Add(backoff(e.cfg.Cooling, e.cfg.MaxCooling, h.refusals))
		e.wakeAt(h.until)
	case ejected:
		e.forgive(now, h)
		h.ejections++
		h.score = 0
		h.until = now.Add(backoff(e.cfg.Ejection, e.cfg.MaxEjection, h.ejections))
		h.trouble = h.until
		e.wakeAt(h.until)
	}
}

// backoff returns first, multiplied by backoffFactor for each further time, and
// at most limit.
func backoff(first, limit time.Duration, times int) time.Duration {
	d := first
	for ; times > 1 && d < limit; times-- {
		d *= backoffFactor
	}
	return min(d, limit)
}
