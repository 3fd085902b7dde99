package backend

import (
	"math"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/chart"
)

const (
	// trialEvidenceFactor is the fraction of EjectionConfig.Evidence that the
	// score must reach for a failure to end a trial in another ejection.
	trialEvidenceFactor = 1.0 / 3
	// outcomeRingSize is the number of outcomes kept per route.
	outcomeRingSize = 64
	// badServerRate is the assumed fraction of bad outcomes on a bad server.
	// pastOutcome.bad states which outcomes are bad.
	badServerRate = 0.9
	// priorRate is the assumed fraction of bad outcomes on a good server
	// before the outcomes of other servers are known.
	priorRate = 0.05
	// priorOutcomes is the weight of priorRate, as a number of outcomes.
	priorOutcomes = 4
)

// outcomeRing is a ring buffer of a route's latest outcomes on all servers.
type outcomeRing struct {
	outcomes [outcomeRingSize]pastOutcome
	next     int
}

// pastOutcome is one outcome of a route's task.
type pastOutcome struct {
	server *health
	at     time.Time
	// bad is true if the task failed or was lost, or if its server is much
	// slower than a typical one.
	bad bool
}

func (r *outcomeRing) add(s pastOutcome) {
	r.outcomes[r.next] = s
	r.next = (r.next + 1) % outcomeRingSize
}

// rate returns the fraction of bad outcomes since the given time on the
// servers other than h. It includes priorOutcomes outcomes at priorRate.
func (r *outcomeRing) rate(h *health, since time.Time) float64 {
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

// An Observation is what an Ejector uses of the outcome of one task on a
// server.
type Observation struct {
	// Route is the name of the task's route.
	Route string
	// Started is when the task started.
	Started time.Time
	// Kind states whether the task succeeded, failed, did not start, or was
	// lost.
	Kind OutcomeKind
	// Slow is true if the server is much slower than a typical one even when
	// the uncertainty of its speed is allowed for. The outcome then counts as
	// bad even if the task succeeded.
	Slow bool
	// Leaving is true if the server reports that it is about to shut down.
	Leaving bool
}

// Record updates the health of addr with an observation that was made at now.
// It does nothing if addr is unknown.
func (e *Ejector) Record(now time.Time, addr netip.AddrPort, o Observation) {
	h := e.servers[addr]
	if h == nil {
		return
	}
	if o.Leaving {
		h.reportedLeaving = now
		e.applyEvent(now, h, leave)
	}
	switch {
	case o.Kind == NotStarted:
		e.recordRefusal(now, h, o)
	case o.Kind != Done || o.Slow:
		e.recordFailure(now, h, o)
	default:
		e.recordSuccess(now, h, o)
	}
}

func (e *Ejector) recordRefusal(now time.Time, h *health, o Observation) {
	if o.Started.Before(h.since) {
		return
	}
	e.resetBackoff(now, h)
	h.lastTrouble = now
	h.refusals++
	e.applyEvent(now, h, refused)
}

func (e *Ejector) recordFailure(now time.Time, h *health, o Observation) {
	r := e.route(o.Route)
	p := r.rate(h, now.Add(-e.cfg.Window))
	h.score += max(0, math.Log(badServerRate/p))
	r.add(pastOutcome{server: h, at: now, bad: true})
	if h.state == trial && !o.Started.Before(h.since) && h.score >= trialEvidenceFactor*e.cfg.Evidence {
		e.applyEvent(now, h, ejectionDue)
		return
	}
	if h.score < e.cfg.Evidence {
		e.coolAfterFirstFailure(now, h, o)
		return
	}
	h.score = e.cfg.Evidence
	if !h.countsAsEjected() && float64(e.ejectedCount+1) <= e.cfg.MaxEjected*float64(e.poolSize) {
		e.applyEvent(now, h, ejectionDue)
	}
}

// coolAfterFirstFailure puts a server on probation into cooling after a
// failure if no task has succeeded there in this state. The server is ejected
// only by comparison with the outcomes of other servers, and these may arrive
// later than its quick failures.
func (e *Ejector) coolAfterFirstFailure(now time.Time, h *health, o Observation) {
	if h.successes > 0 || o.Started.Before(h.since) {
		return
	}
	if _, ok := healthChart.Next(h.state, firstFailed); ok {
		h.refusals++
		h.lastTrouble = now
		e.applyEvent(now, h, firstFailed)
	}
}

func (e *Ejector) recordSuccess(now time.Time, h *health, o Observation) {
	r := e.route(o.Route)
	if h.score > 0 {
		p := r.rate(h, now.Add(-e.cfg.Window))
		h.score += min(0, math.Log((1-badServerRate)/(1-p)))
		h.score = max(0, h.score)
	}
	r.add(pastOutcome{server: h, at: now})
	if o.Started.Before(h.since) {
		return
	}
	h.refusals = 0
	h.successes++
	if h.state == trial && h.successes >= e.cfg.Trials || h.state == probation && h.successes >= probationTasks {
		e.applyEvent(now, h, succeeded)
	}
}

func (e *Ejector) route(name string) *outcomeRing {
	r := e.routes[name]
	if r == nil {
		r = &outcomeRing{}
		e.routes[name] = r
	}
	return r
}

// resetBackoff resets the counts that lengthen ejections and coolings if the
// lastTrouble of h is at least backoffResetAfter ago.
func (e *Ejector) resetBackoff(now time.Time, h *health) {
	if now.Sub(h.lastTrouble) < backoffResetAfter {
		return
	}
	h.ejections = 0
	h.refusals = 0
}

// applyEvent applies an event of the health chart to h. An event without a
// transition from the current state has no effect.
func (e *Ejector) applyEvent(now time.Time, h *health, event chart.Event) {
	to, ok := healthChart.Next(h.state, event)
	if !ok {
		return
	}
	e.ejectedCount -= h.ejectedCount()
	h.state = to
	h.since = now
	h.successes = 0
	h.until = time.Time{}
	e.ejectedCount += h.ejectedCount()
	switch to {
	case cooling:
		h.until = now.Add(backoff(e.cfg.Cooling, e.cfg.MaxCooling, h.refusals))
		e.scheduleExpiry(h.until)
	case ejected:
		e.resetBackoff(now, h)
		h.ejections++
		h.score = 0
		h.until = now.Add(backoff(e.cfg.Ejection, e.cfg.MaxEjection, h.ejections))
		h.lastTrouble = h.until
		e.scheduleExpiry(h.until)
	}
}

// backoff returns the duration of the times-th ejection or cooling, counted
// from 1: first, multiplied by backoffFactor for each one before it, but at
// most limit.
func backoff(first, limit time.Duration, times int) time.Duration {
	d := first
	for ; times > 1 && d < limit; times-- {
		d *= backoffFactor
	}
	return min(d, limit)
}
