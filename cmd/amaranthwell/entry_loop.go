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

// Times of the control loop.
const (
	// tickEvery is the time between calls of entry.Instance.Tick.
	tickEvery = 20 * time.Millisecond
	// staleStart is the age at which a decision to start a task is too old to be
	// carried out: the task is then reported as not started.
	staleStart = time.Second
)

// An entryEvent is called by the control goroutine with the current time and the
// instance, which it may read and change.
type entryEvent = func(now time.Time, i *entry.Instance)

// An entryLoop runs an entry.Instance. One goroutine, the control goroutine, owns the
// instance, handles events in order and carries out the effects.
type entryLoop struct {
	instance *entry.Instance
	mailbox[*entry.Instance]
	backends *backend.Client
	// snapshots is called with each encoded configuration that a peer sends.
	snapshots func([]byte)
	logger    log.Logger

	callers *waiters[entry.CallerID, caller.Answer]
	links   *links
	// running counts the tasks that run on backend servers.
	running sync.WaitGroup
}

// newEntryLoop returns an entryLoop whose control goroutine runs until ctx ends. It
// calls snapshots with each encoded configuration that a peer sends, and writes one
// line to logger for each change of state.
func newEntryLoop(
	ctx context.Context, instance *entry.Instance, backends *backend.Client, snapshots func([]byte), logger log.Logger,
) *entryLoop {
	c := &entryLoop{
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
			case event := <-c.events:
				now := time.Now()
				event(now, instance)
				c.handleWaiting(now, instance)
			}
			c.carryOut(instance.Take(time.Now()))
		}
	}()
	return c
}

// carryOut carries out what the instance has decided: it answers callers, sends
// envelopes, starts tasks, passes on configurations and logs changes of state.
func (c *entryLoop) carryOut(effects entry.Effects) {
	for _, a := range effects.Answers {
		c.callers.answer(a.Caller, a.Answer)
	}
	for _, s := range effects.Sends {
		c.links.get(s.To).Send(s.Envelope)
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

// run runs a task on its backend server and reports the outcome to the instance. If
// the start was decided staleStart ago or earlier, it reports the task as not started.
func (c *entryLoop) run(s entry.Start) {
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
	c.post(func(now time.Time, i *entry.Instance) { i.TaskDone(now, s.Task, outcome) })
}

// Deliver passes an envelope of a peer to the instance. It drops an envelope whose
// sender address is invalid.
func (c *entryLoop) Deliver(env *peer.Envelope) {
	addr, err := netip.ParseAddrPort(env.From)
	if err != nil {
		return
	}
	c.post(func(now time.Time, i *entry.Instance) { i.Receive(now, addr, env) })
}

// LinkReset reports to the instance that envelopes to the peer at addr may have been
// lost.
func (c *entryLoop) LinkReset(addr netip.AddrPort) {
	c.post(func(now time.Time, i *entry.Instance) { i.LinkReset(now, addr) })
}

// Submit submits a job to the instance and waits for its answer. If ctx ends first,
// the job continues and the error of ctx is returned. If the control goroutine has
// stopped, the answer has the status Unknown.
func (c *entryLoop) Submit(ctx context.Context, job caller.Job) (caller.Answer, error) {
	id, answers := c.callers.add()
	c.post(func(now time.Time, i *entry.Instance) { i.Submit(now, id, job) })
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		c.callers.remove(id)
		return caller.Answer{}, ctx.Err()
	case <-c.stopped:
		return caller.Answer{Key: job.Key, Status: caller.Unknown, Reason: caller.ReasonLeaving}, nil
	}
}

// IssueKeys returns n new submission keys. It returns a *leavingError if the instance
// issues fewer, because it is shutting down.
func (c *entryLoop) IssueKeys(n int) ([]caller.Key, error) {
	keys := make([]caller.Key, 0, n)
	ok := c.call(func(now time.Time, i *entry.Instance) {
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

// Cancel asks the instance to cancel the submission with the given key. It does not
// wait until that is done, and its error is always nil.
func (c *entryLoop) Cancel(_ context.Context, key caller.Key) error {
	c.post(func(now time.Time, i *entry.Instance) { i.Cancel(now, key) })
	return nil
}

// A leavingError reports that the instance is shutting down.
type leavingError struct{}

// Error returns the message.
func (*leavingError) Error() string { return "the instance is shutting down" }

// closeLinks closes the links after their queued envelopes are sent, or after
// timeout.
func (c *entryLoop) closeLinks(timeout time.Duration) {
	var all []*peer.Link
	c.call(func(time.Time, *entry.Instance) { all = c.links.all() })
	closeAll(all, timeout)
}
