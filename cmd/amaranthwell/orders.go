package main

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/platform"
)

const (
	// staleOrder is the age at which an order is dropped instead of sent: the
	// process has stood still since it was made.
	staleOrder = 300 * time.Millisecond
	// laneWait is for how long an order to a worker waits for the one before
	// it, so that one connection serves both.
	laneWait = 4 * time.Millisecond
)

// orders sends orders to workers and hands their outcomes to the control
// goroutine.
type orders struct {
	workers *platform.Workers
	do      func(step)
	// lanes holds a token of each worker for its one order at a time. Only
	// the control goroutine changes the map.
	lanes map[string]chan struct{}
	// starts, stops and looks count the orders by their outcome.
	starts, stops, looks map[dispatch.Outcome]*metrics.Counter
}

func newOrders(workers *platform.Workers, set *metrics.Set, do func(step)) *orders {
	counters := func(kind string) map[dispatch.Outcome]*metrics.Counter {
		byOutcome := make(map[dispatch.Outcome]*metrics.Counter)
		for o := dispatch.Unclear; o <= dispatch.NotSent; o++ {
			name := fmt.Sprintf("amaranthwell_worker_orders_total{kind=%q,outcome=%q}", kind, o)
			byOutcome[o] = set.NewCounter(name)
		}
		return byOutcome
	}
	return &orders{
		workers: workers,
		do:      do,
		lanes:   make(map[string]chan struct{}),
		starts:  counters("start"),
		stops:   counters("stop"),
		looks:   counters("look"),
	}
}

// lane returns the token of a worker.
func (o *orders) lane(worker string) chan struct{} {
	lane := o.lanes[worker]
	if lane == nil {
		lane = make(chan struct{}, 1)
		lane <- struct{}{}
		o.lanes[worker] = lane
	}
	return lane
}

// enter waits for a worker's token, but not for long. It returns what gives
// the token back.
func enter(lane chan struct{}) func() {
	timer := time.NewTimer(laneWait)
	defer timer.Stop()
	select {
	case <-lane:
		return func() { lane <- struct{}{} }
	case <-timer.C:
		return func() {}
	}
}

// fresh reports whether an order may still be sent.
func fresh(o dispatch.Order) bool { return bootTime().Sub(o.Decided) < staleOrder }

func (o *orders) start(s dispatch.Start) {
	lane := o.lane(s.Worker)
	go func() {
		leave := enter(lane)
		outcome, clock := dispatch.NotSent, time.Duration(0)
		if fresh(s.Order) {
			outcome, clock, _ = o.workers.Start(context.Background(), s)
		}
		leave()
		o.starts[outcome].Inc()
		o.do(func(now time.Time, i *dispatch.Instance) { i.StartDone(now, s, outcome, clock) })
	}()
}

func (o *orders) stop(s dispatch.Stop) {
	lane := o.lane(s.Worker)
	go func() {
		leave := enter(lane)
		outcome, clock := dispatch.NotSent, time.Duration(0)
		if fresh(s.Order) {
			outcome, clock, _ = o.workers.Stop(context.Background(), s)
		}
		leave()
		o.stops[outcome].Inc()
		o.do(func(now time.Time, i *dispatch.Instance) { i.StopDone(now, s, outcome, clock) })
	}()
}

func (o *orders) look(l dispatch.Look) {
	go func() {
		outcome, report := dispatch.NotSent, dispatch.Report{}
		if fresh(l.Order) {
			outcome, report, _ = o.workers.Look(context.Background(), l)
		}
		o.looks[outcome].Inc()
		o.do(func(now time.Time, i *dispatch.Instance) { i.LookDone(now, l, report, outcome) })
	}()
}
