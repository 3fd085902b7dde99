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
	workers *platform.WorkerClient
	do      func(step)
	// lanes holds a token of each worker for its one order at a time. Only
	// the control goroutine changes the map.
	lanes map[string]chan struct{}
	// starts, stops and looks count the orders by their outcome.
	starts, stops, looks map[dispatch.Outcome]*metrics.Counter
	// decisions is the log of the control goroutine, and silent are the workers
	// whose last order was not answered. Only that goroutine uses them.
	decisions *decisionLog
	silent    map[string]bool
}

func newOrders(workers *platform.WorkerClient, set *metrics.Set, do func(step), decisions *decisionLog) *orders {
	counters := func(kind string) map[dispatch.Outcome]*metrics.Counter {
		byOutcome := make(map[dispatch.Outcome]*metrics.Counter)
		for o := dispatch.OutcomeUnknown; o <= dispatch.NotSent; o++ {
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

		decisions: decisions,
		silent:    make(map[string]bool),
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
func fresh(o dispatch.Command) bool { return bootTime().Sub(o.IssuedAt) < staleOrder }

// send sends one order and reports its outcome.
func (o *orders) send(order dispatch.Command, counters map[dispatch.Outcome]*metrics.Counter, call func(context.Context) (dispatch.Outcome, error), report func(time.Time, *dispatch.Instance, dispatch.Outcome)) {
	outcome, err := dispatch.NotSent, error(nil)
	if fresh(order) {
		outcome, err = call(context.Background())
	}
	counters[outcome].Inc()
	o.do(func(now time.Time, i *dispatch.Instance) {
		o.note(now, order, outcome, err)
		report(now, i, outcome)
	})
}

// note logs the first of a row of orders to a worker that failed.
func (o *orders) note(now time.Time, order dispatch.Command, outcome dispatch.Outcome, err error) {
	if err == nil {
		delete(o.silent, order.Worker)
		return
	}
	if o.silent[order.Worker] {
		return
	}
	o.silent[order.Worker] = true
	o.decisions.write(now, dispatch.Decision{Event: "order-failed", Subject: order.Worker, Fields: []any{
		"outcome", outcome, "term", order.Term, "age", now.Sub(order.IssuedAt), "error", err,
	}})
}

// inTurn calls send in the background, in the worker's turn.
func (o *orders) inTurn(worker string, send func()) {
	lane := o.lane(worker)
	go func() {
		defer enter(lane)()
		send()
	}()
}

func (o *orders) start(s dispatch.Start) {
	o.inTurn(s.Worker, func() {
		var clock time.Duration
		o.send(s.Command, o.starts, func(ctx context.Context) (outcome dispatch.Outcome, err error) {
			outcome, clock, err = o.workers.Start(ctx, s)
			return outcome, err
		}, func(now time.Time, i *dispatch.Instance, outcome dispatch.Outcome) {
			i.StartDone(now, s, outcome, clock)
		})
	})
}

func (o *orders) stop(s dispatch.Stop) {
	o.inTurn(s.Worker, func() {
		var clock time.Duration
		o.send(s.Command, o.stops, func(ctx context.Context) (outcome dispatch.Outcome, err error) {
			outcome, clock, err = o.workers.Stop(ctx, s)
			return outcome, err
		}, func(now time.Time, i *dispatch.Instance, outcome dispatch.Outcome) {
			i.StopDone(now, s, outcome, clock)
		})
	})
}

func (o *orders) look(l dispatch.Poll) {
	go func() {
		var answer dispatch.Report
		o.send(l.Command, o.looks, func(ctx context.Context) (outcome dispatch.Outcome, err error) {
			outcome, answer, err = o.workers.Poll(ctx, l)
			return outcome, err
		}, func(now time.Time, i *dispatch.Instance, outcome dispatch.Outcome) {
			i.PollDone(now, l, answer, outcome)
		})
	}()
}
