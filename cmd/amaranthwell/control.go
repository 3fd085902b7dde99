package main

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// Times and sizes of the control loop.
const (
	tickEvery = 20 * time.Millisecond
	// staleStart is the age at which a decision to start a task is dropped.
	staleStart = time.Second
)

// An event changes the control state at a time.
type event = func(now time.Time, i *entry.Instance)

// A control runs an entry.Instance: one goroutine owns the instance, takes
// events in order and hands out what is to be done.
type control struct {
	instance *entry.Instance
	mailbox[*entry.Instance]
	backends  *backend.Client
	snapshots func([]byte)
	logger    log.Logger

	callers *waiters[entry.CallerID, caller.Answer]
	links   *links
	running sync.WaitGroup
}

// newControl returns a control whose goroutine runs until ctx ends. Snapshots
// takes the configurations that peers send, and logger a line a change of state.
func newControl(
	ctx context.Context, instance *entry.Instance, backends *backend.Client, snapshots func([]byte), logger log.Logger,
) *control {
	c := &control{
		instance:  instance,
		mailbox:   newMailbox[*entry.Instance](),
		backends:  backends,
		snapshots: snapshots,
		logger:    logger,
		callers:   newWaiters[entry.CallerID, caller.Answer](),
	}
	c.links = newLinks(c)
	go func() {
		defer close(c.stopped)
		ticker := time.NewTicker(tickEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				instance.Tick(time.Now())
			case e := <-c.events:
				now := time.Now()
				e(now, instance)
				c.takeMore(now, instance)
			}
			c.act(instance.Take(time.Now()))
		}
	}()
	return c
}

// act does what the instance wants done.
func (c *control) act(effects entry.Effects) {
	for _, a := range effects.Answers {
		c.callers.answer(a.Caller, a.Answer)
	}
	for _, s := range effects.Sends {
		c.links.to(s.To).Send(s.Envelope)
	}
	for _, s := range effects.Starts {
		c.running.Go(func() { c.run(s) })
	}
	for _, s := range effects.Snapshots {
		c.snapshots(s)
	}
	for _, change := range effects.Changes {
		_ = c.logger.Log("event", change.Kind, "subject", change.Subject, "from", change.From, "to", change.To)
	}
}

// run starts a task on its backend server and reports the outcome.
func (c *control) run(s entry.Start) {
	outcome := backend.Outcome{Kind: backend.NotStarted}
	if time.Since(s.Decided) < staleStart {
		outcome = c.backends.Run(context.Background(), backend.Request{
			Server:  s.Server,
			Key:     s.Key.String(),
			Index:   s.Index,
			Attempt: s.Attempt,
			Route:   s.Route,
			Timeout: s.Timeout,
			Payload: s.Payload,
		})
	}
	c.do(func(now time.Time, i *entry.Instance) { i.TaskDone(now, s.Task, outcome) })
}

// Deliver takes an envelope from a peer.
func (c *control) Deliver(env *peer.Envelope) {
	addr, err := netip.ParseAddrPort(env.From)
	if err != nil {
		return
	}
	c.do(func(now time.Time, i *entry.Instance) { i.Receive(now, addr, env) })
}

// LinkReset says that envelopes to the peer at addr may have been lost.
func (c *control) LinkReset(addr netip.AddrPort) {
	c.do(func(now time.Time, i *entry.Instance) { i.LinkReset(now, addr) })
}

// Submit gives a job to the instance and waits for its answer. If ctx ends
// first, the job goes on, and the error is that of ctx.
func (c *control) Submit(ctx context.Context, job caller.Job) (caller.Answer, error) {
	id, answers := c.callers.add()
	c.do(func(now time.Time, i *entry.Instance) { i.Submit(now, id, job) })
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		c.callers.forget(id)
		return caller.Answer{}, ctx.Err()
	case <-c.stopped:
		return caller.Answer{Key: job.Key, Status: caller.Unknown, Reason: caller.ReasonLeaving}, nil
	}
}

// IssueKeys returns n new submission keys.
func (c *control) IssueKeys(n int) ([]caller.Key, error) {
	keys := make([]caller.Key, 0, n)
	ok := c.ask(func(now time.Time, i *entry.Instance) {
		for range n {
			if key, issued := i.IssueKey(now); issued {
				keys = append(keys, key)
			}
		}
	})
	if !ok || len(keys) < n {
		return nil, &leavingError{}
	}
	return keys, nil
}

// Cancel ends the submission of a key.
func (c *control) Cancel(_ context.Context, key caller.Key) error {
	c.do(func(now time.Time, i *entry.Instance) { i.Cancel(now, key) })
	return nil
}

// A leavingError says that the instance is shutting down.
type leavingError struct{}

// Error returns the error's text.
func (*leavingError) Error() string { return "the instance is shutting down" }

// closeLinks ends the links once what waits in them is sent, or after timeout.
func (c *control) closeLinks(timeout time.Duration) {
	var all []*peer.Link
	c.ask(func(time.Time, *entry.Instance) { all = c.links.all() })
	closeAll(all, timeout)
}
