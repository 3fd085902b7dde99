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
	// tokenWait is how long a start or stop waits for the answer to the previous
	// start or stop on the same worker, so that both use the same connection.
	tokenWait = 4 * time.Millisecond
)

// workerCommands sends commands to workers and reports their outcomes to the
// control goroutine.
type workerCommands struct {
	workers *platform.WorkerClient
	post    func(dispatchEvent)
	// tokens holds, by worker ID, a channel that contains one token. A start or stop
	// takes the token out until it is answered. Only the control goroutine uses the
	// map.
	tokens map[string]chan struct{}
	// starts, stops and polls count the commands by outcome.
	starts, stops, polls map[dispatch.Outcome]*metrics.Counter
	// decisions is the decision log, and failing holds the IDs of the workers whose
	// last command returned an error. Only the control goroutine uses them.
	decisions *decisionLog
	failing   map[string]bool
}

func newWorkerCommands(workers *platform.WorkerClient, set *metrics.Set, post func(dispatchEvent), decisions *decisionLog) *workerCommands {
	counters := func(kind string) map[dispatch.Outcome]*metrics.Counter {
		byOutcome := make(map[dispatch.Outcome]*metrics.Counter)
		for o := dispatch.OutcomeUnknown; o <= dispatch.NotSent; o++ {
			name := fmt.Sprintf("amaranthwell_worker_orders_total{kind=%q,outcome=%q}", kind, o)
			byOutcome[o] = set.NewCounter(name)
		}
		return byOutcome
	}
	return &workerCommands{
		workers: workers,
		post:    post,
		tokens:  make(map[string]chan struct{}),
		starts:  counters("start"),
		stops:   counters("stop"),
		polls:   counters("look"),

		decisions: decisions,
		failing:   make(map[string]bool),
	}
}

// token returns the channel that holds the token of a worker.
func (c *workerCommands) token(worker string) chan struct{} {
	token := c.tokens[worker]
	if token == nil {
		token = make(chan struct{}, 1)
		token <- struct{}{}
		c.tokens[worker] = token
	}
	return token
}

// acquire waits up to tokenWait for a worker's token. It returns a function that puts
// the token back, and that does nothing if the token was not obtained.
func acquire(token chan struct{}) func() {
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	select {
	case <-token:
		return func() { token <- struct{}{} }
	case <-timer.C:
		return func() {}
	}
}

// fresh reports whether a command may still be sent.
func fresh(c dispatch.Command) bool { return bootTime().Before(c.SendBefore) }

// send sends a command by calling call, counts the outcome in counters, and calls
// report with the outcome on the control goroutine. It does not send a command that is
// too old: the outcome is then NotSent.
func (c *workerCommands) send(command dispatch.Command, counters map[dispatch.Outcome]*metrics.Counter, call func(context.Context) (dispatch.Outcome, error), report func(time.Time, *dispatch.Instance, dispatch.Outcome)) {
	outcome, err := dispatch.NotSent, error(nil)
	if fresh(command) {
		outcome, err = call(context.Background())
	}
	counters[outcome].Inc()
	c.post(func(now time.Time, i *dispatch.Instance) {
		c.logFailure(now, command, outcome, err)
		report(now, i, outcome)
	})
}

// logFailure logs the first of consecutive failed commands to a worker.
func (c *workerCommands) logFailure(now time.Time, command dispatch.Command, outcome dispatch.Outcome, err error) {
	if err == nil {
		delete(c.failing, command.Worker)
		return
	}
	if c.failing[command.Worker] {
		return
	}
	c.failing[command.Worker] = true
	c.decisions.write(now, dispatch.Decision{Event: "command-failed", Subject: command.Worker, Fields: []any{
		"outcome", outcome, "term", command.Term, "age", now.Sub(command.IssuedAt), "error", err,
	}})
}

// afterPrevious calls send in the background once the previous start or stop on the
// worker has finished, or tokenWait has passed.
func (c *workerCommands) afterPrevious(worker string, send func()) {
	token := c.token(worker)
	go func() {
		defer acquire(token)()
		send()
	}()
}

func (c *workerCommands) start(s dispatch.Start) {
	c.afterPrevious(s.Worker, func() {
		var clock time.Duration
		c.send(s.Command, c.starts, func(ctx context.Context) (outcome dispatch.Outcome, err error) {
			outcome, clock, err = c.workers.Start(ctx, s)
			return outcome, err
		}, func(now time.Time, i *dispatch.Instance, outcome dispatch.Outcome) {
			i.StartDone(now, s, outcome, clock)
		})
	})
}

func (c *workerCommands) stop(s dispatch.Stop) {
	c.afterPrevious(s.Worker, func() {
		var clock time.Duration
		c.send(s.Command, c.stops, func(ctx context.Context) (outcome dispatch.Outcome, err error) {
			outcome, clock, err = c.workers.Stop(ctx, s)
			return outcome, err
		}, func(now time.Time, i *dispatch.Instance, outcome dispatch.Outcome) {
			i.StopDone(now, s, outcome, clock)
		})
	})
}

func (c *workerCommands) poll(p dispatch.Poll) {
	go func() {
		var report dispatch.Report
		c.send(p.Command, c.polls, func(ctx context.Context) (outcome dispatch.Outcome, err error) {
			outcome, report, err = c.workers.Poll(ctx, p)
			return outcome, err
		}, func(now time.Time, i *dispatch.Instance, outcome dispatch.Outcome) {
			i.PollDone(now, p, report, outcome)
		})
	}()
}
