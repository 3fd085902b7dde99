package main

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
	"github.com/amaranthwell/amaranthwell/platform"
)

// loopTick is the time between looks at what depends on the time.
const loopTick = 20 * time.Millisecond

// bootTime returns a time that goes on while the process or the machine stands
// still, and that no step of the time of day moves.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux that Go supports.
		panic(err)
	}
	return time.Unix(ts.Unix())
}

// loopConfig configures a loop.
type loopConfig struct {
	Node    platform.Node
	Logger  log.Logger
	Workers *platform.WorkerClient
	// Tables takes the configurations that peers send.
	Tables  func([]byte)
	Metrics *metrics.Set
}

// A step changes the control state at a time.
type step = func(now time.Time, i *dispatch.Instance)

// A loop runs a dispatch.Instance: one goroutine owns the instance, takes
// events in order and hands out what is to be done.
type loop struct {
	cfg loopConfig
	mailbox[*dispatch.Instance]
	orders *orders
	// led and leading say whether a leader of the zone is known, and whether
	// it is this instance.
	led, leading atomic.Bool
	lead         chan struct{}

	callers *waiters[dispatch.CallerID, dispatch.End]
	open    sync.Map
	links   *links
	ends    map[dispatch.State]*metrics.Histogram
	// decisions is the log of the control goroutine.
	decisions *decisionLog
}

// newLoop returns a loop whose goroutine runs until ctx ends.
func newLoop(ctx context.Context, cfg loopConfig) *loop {
	l := &loop{
		cfg:     cfg,
		mailbox: newMailbox[*dispatch.Instance](),
		lead:    make(chan struct{}, 1),
		callers: newWaiters[dispatch.CallerID, dispatch.End](),
		ends:    make(map[dispatch.State]*metrics.Histogram),

		decisions: newDecisionLog(cfg.Logger),
	}
	l.links = newLinks(l)
	l.orders = newOrders(cfg.Workers, cfg.Metrics, l.do, l.decisions)
	for _, state := range []dispatch.State{dispatch.Completed, dispatch.Failed, dispatch.NotRun, dispatch.Overdue} {
		l.ends[state] = cfg.Metrics.NewHistogram(`amaranthwell_job_seconds{state="` + state.String() + `"}`)
	}
	cfg.Metrics.NewGauge("amaranthwell_zone_led", func() float64 { return truth(l.led.Load()) })
	cfg.Metrics.NewGauge("amaranthwell_zone_leading", func() float64 { return truth(l.leading.Load()) })
	cfg.Metrics.NewGauge("amaranthwell_events_waiting", func() float64 { return float64(len(l.events)) })
	instance := dispatch.NewInstance(bootTime(), dispatch.Config{
		Self:        cfg.Node.PeerAddress,
		Incarnation: newRandom().Uint64(),
		Weight:      cfg.Node.Millicores,
		Zone:        cfg.Node.Zone,
		Zones:       cfg.Node.Zones,
		Wall:        time.Now(),
	})
	go func() {
		defer close(l.stopped)
		ticker := time.NewTicker(loopTick)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				instance.Tick(bootTime())
			case s := <-l.events:
				now := bootTime()
				s(now, instance)
				l.takeMore(now, instance)
			}
			now := bootTime()
			l.act(now, instance.Take(now))
			l.publish(now, instance)
		}
	}()
	return l
}

// truth returns 1 for true and 0 for false.
func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// publish makes what other goroutines read of the instance known.
func (l *loop) publish(now time.Time, i *dispatch.Instance) {
	l.led.Store(i.HasLeader(now))
	if i.Leading() == l.leading.Load() {
		return
	}
	l.leading.Store(i.Leading())
	select {
	case l.lead <- struct{}{}:
	default:
	}
}

// act does what the instance wants done.
func (l *loop) act(now time.Time, effects dispatch.Effects) {
	for _, start := range effects.Starts {
		l.orders.start(start)
	}
	for _, look := range effects.Polls {
		l.orders.look(look)
	}
	for _, stop := range effects.Stops {
		l.orders.stop(stop)
	}
	for _, e := range effects.Answers {
		l.callers.answer(e.Caller, e.End)
	}
	for _, send := range effects.Sends {
		l.links.to(send.To).Send(send.Envelope)
	}
	for _, tables := range effects.Tables {
		go l.cfg.Tables(tables)
	}
	for _, d := range effects.Decisions {
		l.decisions.write(now, d)
	}
}

// Run gives a job to the instance and waits for its end.
func (l *loop) Run(ctx context.Context, job dispatch.Job) (dispatch.End, error) {
	id, ends := l.callers.add()
	l.open.Store(job.ID, struct{}{})
	defer l.open.Delete(job.ID)
	l.do(func(now time.Time, i *dispatch.Instance) { i.Submit(now, id, job) })
	select {
	case end := <-ends:
		l.ends[end.State].Update(bootTime().Sub(job.Arrived).Seconds())
		return end, nil
	case <-ctx.Done():
		l.callers.forget(id)
		l.do(func(now time.Time, i *dispatch.Instance) { i.Abandon(now, id) })
		return dispatch.End{}, ctx.Err()
	case <-l.stopped:
		return dispatch.End{ID: job.ID, State: dispatch.Overdue, Reason: "leaving"}, nil
	}
}

// refused logs a request that did not become a job.
func (l *loop) refused(path, request string, status int, reason string) {
	l.do(func(now time.Time, _ *dispatch.Instance) {
		l.decisions.write(now, dispatch.Decision{Event: "request-refused", Subject: path, Fields: []any{
			"request", request, "status", status, "reason", reason,
		}})
	})
}

// Cancel ends a job. It reports whether the job was known.
func (l *loop) Cancel(id string) bool {
	known := false
	l.ask(func(now time.Time, i *dispatch.Instance) { known = i.Cancel(now, id) })
	return known
}

// HasOpenJob reports whether a job is being worked on.
func (l *loop) HasOpenJob(id string) bool {
	_, open := l.open.Load(id)
	return open
}

// Deliver takes an envelope from a peer.
func (l *loop) Deliver(env *peer.Envelope) {
	addr, err := netip.ParseAddrPort(env.From)
	if err != nil {
		return
	}
	l.do(func(now time.Time, i *dispatch.Instance) { i.Receive(now, addr, env) })
}

// LinkReset says that envelopes to the peer at addr may have been lost.
func (l *loop) LinkReset(addr netip.AddrPort) {
	l.do(func(now time.Time, i *dispatch.Instance) { i.LinkReset(now, addr) })
}

// closeLinks ends the links once what waits in them is sent, or after timeout.
func (l *loop) closeLinks(timeout time.Duration) {
	var all []*peer.Link
	l.ask(func(time.Time, *dispatch.Instance) { all = l.links.all() })
	closeAll(all, timeout)
}
