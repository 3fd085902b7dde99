package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// cooldown is the time for which the load continues after the measured window, so that
// the last jobs of the window run under the same load as the first ones.
const cooldown = 2 * time.Second

// runPhase runs phase p of scenario s and appends its result and its curve to r.
func (r *run) runPhase(ctx context.Context, s scenario, p phase) error {
	begin := time.Now().Add(2 * keyFetchLead)
	w := r.recorder.addWindow(begin.Add(p.warmup), begin.Add(p.warmup+p.windowLength))
	r.windows[p.name] = w
	var all sync.WaitGroup
	var before, after reading
	var beforeErr, afterErr error
	var eventErrors []string
	all.Go(func() { r.generator.run(ctx, p.streams(r.cluster.fleet), p.name, begin, w.end.Add(cooldown)) })
	all.Go(func() { eventErrors = r.runEvents(ctx, p, begin) })
	all.Go(func() {
		sleepUntil(ctx, w.begin)
		before, beforeErr = r.cluster.readCounters(ctx)
		sleepUntil(ctx, w.end)
		after, afterErr = r.cluster.readCounters(ctx)
	})
	all.Wait()
	r.generator.wait()
	for _, err := range []error{ctx.Err(), beforeErr, afterErr} {
		if err != nil {
			return err
		}
	}
	observed, err := r.cluster.platform.readStarts(ctx, true)
	if err != nil {
		return err
	}
	result := r.newResult(s, p, w)
	result.EventErrors = append(eventErrors, r.cluster.endedEntries()...)
	result.setCosts(after.since(before))
	result.setCheckCounts(r.recorder, observed)
	r.results = append(r.results, result)
	r.addCurve(s, p, w)
	return nil
}

// runEvents runs the phase's events at their offsets from begin and returns the
// messages of those that failed.
func (r *run) runEvents(ctx context.Context, p phase, begin time.Time) []string {
	var failed []string
	for _, e := range p.events {
		sleepUntil(ctx, begin.Add(e.offset))
		if err := e.do(ctx, r.cluster); err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", e.name, err))
		}
	}
	return failed
}

// newResult returns the part of a phase's result that the clients observed. It includes
// the comparison with the baseline phase, if the phase has one.
func (r *run) newResult(s scenario, p phase, w *window) result {
	result := result{
		Scenario: s.name,
		Phase:    p.name,
		Version:  r.cluster.version,
		Fleet:    r.cluster.fleet.name,
		Seed:     r.seed,
		Load:     p.load,
		Window:   p.windowLength.String(),
		All:      newRouteResult(w.sum(anyRoute), p.windowLength),
		Routes:   make(map[string]*routeResult),
	}
	for name, rr := range w.routes {
		one := newRouteResult(rr, p.windowLength)
		result.Routes[name] = &one
	}
	baseline := r.windows[p.baseline]
	if baseline == nil {
		return result
	}
	disturbed := p.disturbedRoute(r.cluster.fleet)
	otherRoutes := func(route string) bool { return route != disturbed }
	others := w.sum(otherRoutes)
	one := newRouteResult(others, p.windowLength)
	result.Others = &one
	result.setComparison(others, baseline.sum(otherRoutes))
	return result
}

// anyRoute includes every route in window.sum.
func anyRoute(string) bool { return true }
