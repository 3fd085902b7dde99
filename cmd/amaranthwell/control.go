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
	// maxEvents is the number of events that are taken before what they
	// call for is done.
	maxEvents = 512
	// eventCapacity is the number of events that may wait.
	eventCapacity = 4096
	// staleStart is the age at which a decision to start a task is dropped.
	staleStart = time.Second
)

// An event changes the control state at a time.
type event func(now time.Time, i *entry.Instance)

// A control runs an entry.Instance: one goroutine owns the instance, takes
// events in order and hands out what is to be done.
type control struct {
	instance  *entry.Instance
	events    chan event
	backends  *backend.Client
	snapshots func([]byte)
	logger    log.Logger

	mu      sync.Mutex
	callers map[entry.CallerID]chan caller.Answer
	nextID  entry.CallerID
	links   map[netip.AddrPort]*peer.Link
	running sync.WaitGroup
	stopped chan struct{}
}

// newControl returns a control whose goroutine runs until ctx ends. Snapshots
// takes the configurations that peers send, and logger a line a change of state.
func newControl(
	ctx context.Context, instance *entry.Instance, backends *backend.Client, snapshots func([]byte), logger log.Logger,
) *control {
	c := &control{
		instance:  instance,
		events:    make(chan event, eventCapacity),
		backends:  backends,
		snapshots: snapshots,
		logger:    logger,
		callers:   make(map[entry.CallerID]chan caller.Answer),
		links:     make(map[netip.AddrPort]*peer.Link),
		stopped:   make(chan struct{}),
	}
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
				c.takeMore(now)
			}
			c.act(instance.Take(time.Now()))
		}
	}()
	return c
}

// takeMore takes the events that already wait, so that what they call for is
// done together.
func (c *control) takeMore(now time.Time) {
	for range maxEvents {
		select {
		case e := <-c.events:
			e(now, c.instance)
		default:
			return
		}
	}
}

// do hands an event to the control goroutine.
func (c *control) do(e event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// ask hands an event to the control goroutine and waits until it was taken. It
// reports whether it was.
func (c *control) ask(e event) bool {
	done := make(chan struct{})
	c.do(func(now time.Time, i *entry.Instance) {
		e(now, i)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-c.stopped:
		return false
	}
}

// act does what the instance wants done.
func (c *control) act(effects entry.Effects) {
	for _, a := range effects.Answers {
		c.answer(a)
	}
	for _, s := range effects.Sends {
		c.link(s.To).Send(s.Envelope)
	}
	for _, s := range effects.Starts {
		c.running.Go(func() { c.run(s) })
	}
	for _, s := range effects.Snapshots {
		c.snapshots(s)
	}
	for _, change := range effects.Changes {
		_ = c.logger.Log("event", change.What, "subject", change.Subject, "from", change.From, "to", change.To)
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

// link returns the link to the peer at addr. Only the control goroutine calls
// it.
func (c *control) link(addr netip.AddrPort) *peer.Link {
	l := c.links[addr]
	if l == nil {
		l = peer.NewLink(addr, c)
		c.links[addr] = l
	}
	return l
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
	answers := make(chan caller.Answer, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.callers[id] = answers
	c.mu.Unlock()
	c.do(func(now time.Time, i *entry.Instance) { i.Submit(now, id, job) })
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		c.forget(id)
		return caller.Answer{}, ctx.Err()
	case <-c.stopped:
		return caller.Answer{Key: job.Key, Status: caller.Unknown, Reason: caller.ReasonLeaving}, nil
	}
}

// answer passes an answer to the caller that waits for it.
func (c *control) answer(a entry.CallerAnswer) {
	if answers := c.forget(a.Caller); answers != nil {
		answers <- a.Answer
	}
}

// forget removes a caller and returns its channel, or nil if it has gone.
func (c *control) forget(id entry.CallerID) chan caller.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := c.callers[id]
	delete(c.callers, id)
	return answers
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
	var links []*peer.Link
	c.ask(func(time.Time, *entry.Instance) {
		for _, l := range c.links {
			links = append(links, l)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, l := range links {
		l.Close(ctx)
	}
}
