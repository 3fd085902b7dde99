package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// tailTime is how long the load goes on after the window, so that its last
// jobs meet the same load as its first.
const tailTime = 2 * time.Second

// runPhase runs one phase and adds its result.
func (r *run) runPhase(ctx context.Context, s scenario, p phase) error {
	begin := time.Now().Add(2 * keyLead)
	w := r.recorder.addWindow(begin.Add(p.settle), begin.Add(p.settle+p.length))
	r.windows[p.name] = w
	var all sync.WaitGroup
	var before, after reading
	var beforeErr, afterErr error
	var eventErrors []string
	all.Go(func() { r.generator.run(ctx, p.streams(r.bench.fleet), p.name, begin, w.end.Add(tailTime)) })
	all.Go(func() { eventErrors = r.runEvents(ctx, p, begin) })
	all.Go(func() {
		sleepUntil(ctx, w.begin)
		before, beforeErr = r.bench.read(ctx)
		sleepUntil(ctx, w.end)
		after, afterErr = r.bench.read(ctx)
	})
	all.Wait()
	r.generator.wait()
	for _, err := range []error{ctx.Err(), beforeErr, afterErr} {
		if err != nil {
			return err
		}
	}
	seen, err := r.bench.platform.readStarts(ctx, true)
	if err != nil {
		return err
	}
	result := r.newResult(s, p, w)
	result.EventErrors = append(eventErrors, r.bench.endedEntries()...)
	result.meter(after.since(before))
	result.judge(r.recorder, seen)
	r.results = append(r.results, result)
	r.addCurve(s, p, w)
	return nil
}

// runEvents lets the phase's events happen and returns their errors.
func (r *run) runEvents(ctx context.Context, p phase, begin time.Time) []string {
	var failed []string
	for _, e := range p.events {
		sleepUntil(ctx, begin.Add(e.at))
		if err := e.do(ctx, r.bench); err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", e.name, err))
		}
	}
	return failed
}

// newResult returns what the clients saw in a phase.
func (r *run) newResult(s scenario, p phase, w *window) result {
	result := result{
		Scenario: s.name,
		Phase:    p.name,
		Version:  r.bench.version,
		Fleet:    r.bench.fleet.name,
		Seed:     r.seed,
		Load:     p.load,
		Window:   p.length.String(),
		All:      newRouteResult(w.sum(everyRoute), p.length),
		Routes:   make(map[string]*routeResult),
	}
	for name, rr := range w.routes {
		one := newRouteResult(rr, p.length)
		result.Routes[name] = &one
	}
	without := r.windows[p.baseline]
	if without == nil {
		return result
	}
	disturbed := p.disturbed(r.bench.fleet)
	otherRoutes := func(route string) bool { return route != disturbed }
	others := w.sum(otherRoutes)
	one := newRouteResult(others, p.length)
	result.Others = &one
	result.compare(others, without.sum(otherRoutes))
	return result
}

func everyRoute(string) bool { return true }
