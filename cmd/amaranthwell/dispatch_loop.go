package main

import (
	"context"
	"fmt"
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

// loopTick is the time between calls of dispatch.Instance.Tick.
const loopTick = 20 * time.Millisecond

// bootTime returns the time since boot as a time.Time in which the Unix epoch stands
// for the boot. The result is not a date: only differences between two such times have a
// meaning. The time advances while the process is paused or the machine is suspended,
// and is not affected by changes of the wall clock.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux that Go supports.
		panic(err)
	}
	return time.Unix(ts.Unix())
}

// dispatchLoopConfig configures a dispatchLoop.
type dispatchLoopConfig struct {
	Node    platform.Node
	Logger  log.Logger
	Workers *platform.WorkerClient
	// Tables is called with each encoded configuration that a peer sends.
	Tables  func([]byte)
	Metrics *metrics.Set
}

// A dispatchEvent is called by the control goroutine with the current bootTime and the
// instance, which it may read and change.
type dispatchEvent = func(now time.Time, i *dispatch.Instance)

// A dispatchLoop runs a dispatch.Instance. One goroutine, the control goroutine,
// owns the instance, handles events in order and carries out the effects.
type dispatchLoop struct {
	cfg dispatchLoopConfig
	mailbox[*dispatch.Instance]
	commands *workerCommands
	// hasLeader is true if the zone of this instance has a leader, and leading
	// is true if this instance leads a zone.
	hasLeader, leading atomic.Bool
	// shards is the division of the zones that the instance knows.
	shards atomic.Pointer[dispatch.Shards]
	// tablesReadAt and workersReadAt are those of the instance.
	tablesReadAt, workersReadAt atomic.Pointer[time.Time]
	drained                     *drainedState
	// leadingChanged receives a value when leading changes, unless an earlier
	// value is still unread.
	leadingChanged chan struct{}

	callers *waiters[dispatch.CallerID, dispatch.End]
	// connected holds, by the CallerID of each waiting caller, a func() bool that reports
	// whether its connection is open.
	connected sync.Map
	// openJobs holds the IDs of the jobs for which callers wait.
	openJobs sync.Map
	links    *links
	// jobSeconds holds, by final state, the time from a job's arrival to its end in
	// seconds.
	jobSeconds map[dispatch.State]*metrics.Histogram
	// decisions is the decision log. Only the control goroutine uses it.
	decisions *decisionLog
	doubt     *doubtMetrics
}

// newDispatchLoop returns a dispatchLoop whose control goroutine runs until ctx ends.
func newDispatchLoop(ctx context.Context, cfg dispatchLoopConfig) *dispatchLoop {
	l := &dispatchLoop{
		cfg:            cfg,
		mailbox:        newMailbox[*dispatch.Instance](),
		leadingChanged: make(chan struct{}, 1),
		callers:        newWaiters[dispatch.CallerID, dispatch.End](),
		jobSeconds:     make(map[dispatch.State]*metrics.Histogram),

		decisions: newDecisionLog(cfg.Logger, cfg.Metrics),
		drained:   newDrainedState(cfg.Metrics, cfg.Node.Zones),
		doubt:     newDoubtMetrics(cfg.Metrics),
	}
	l.links = newLinks(l)
	l.commands = newWorkerCommands(cfg.Workers, cfg.Metrics, l.post, l.decisions)
	for _, state := range []dispatch.State{dispatch.Completed, dispatch.Failed, dispatch.NotRun, dispatch.Overdue} {
		l.jobSeconds[state] = cfg.Metrics.NewHistogram(`amaranthwell_job_seconds{state="` + state.String() + `"}`)
	}
	cfg.Metrics.NewGauge("amaranthwell_zone_led", func() float64 { return gaugeValue(l.hasLeader.Load()) })
	cfg.Metrics.NewGauge("amaranthwell_zone_leading", func() float64 { return gaugeValue(l.leading.Load()) })
	cfg.Metrics.NewGauge("amaranthwell_shards", func() float64 { return float64(l.knownShards().Count) })
	cfg.Metrics.NewGauge("amaranthwell_shard", func() float64 { return float64(l.knownShards().Index) })
	cfg.Metrics.NewGauge("amaranthwell_shards_led", func() float64 { return float64(len(l.knownShards().Led)) })
	cfg.Metrics.NewGauge("amaranthwell_tables_age_seconds", func() float64 { return ageSeconds(&l.tablesReadAt) })
	cfg.Metrics.NewGauge("amaranthwell_workers_age_seconds", func() float64 { return ageSeconds(&l.workersReadAt) })
	cfg.Metrics.NewGauge("amaranthwell_events_waiting", func() float64 { return float64(len(l.events)) })
	instance := dispatch.NewInstance(bootTime(), dispatch.Config{
		Self:        cfg.Node.PeerAddress,
		Incarnation: newRandom().Uint64(),
		Weight:      dispatch.Weight(cfg.Node.Millicores, cfg.Node.LinkBits),
		Zone:        cfg.Node.Zone,
		Zones:       cfg.Node.Zones,
		Unfenced:    cfg.Node.Unfenced,
		Wall:        time.Now(),

		ResubmitDelay:    cfg.Node.ResubmitDelay,
		RemoteRackFactor: cfg.Node.RemoteRackFactor,
		Callers:          l,
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
				l.publishShards(instance)
			case event := <-l.events:
				now := bootTime()
				event(now, instance)
				l.handleWaiting(now, instance)
			}
			now := bootTime()
			l.carryOut(now, instance.Take(now))
			l.publishState(now, instance)
		}
	}()
	return l
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ageSeconds returns the time since at in seconds, or -1 if at is not set.
func ageSeconds(at *atomic.Pointer[time.Time]) float64 {
	t := at.Load()
	if t == nil || t.IsZero() {
		return -1
	}
	return bootTime().Sub(*t).Seconds()
}

// storeTime sets at to t, unless it has this value.
func storeTime(at *atomic.Pointer[time.Time], t time.Time) {
	if known := at.Load(); known == nil || !known.Equal(t) {
		at.Store(&t)
	}
}

// knownShards returns the division of the zones that the instance knows.
func (l *dispatchLoop) knownShards() dispatch.Shards {
	if shards := l.shards.Load(); shards != nil {
		return *shards
	}
	return dispatch.Shards{Count: 1}
}

// publishShards updates the division of the zones that other goroutines read.
func (l *dispatchLoop) publishShards(i *dispatch.Instance) {
	if shards := i.Shards(); !shards.Equal(l.knownShards()) {
		l.shards.Store(&shards)
	}
}

// publishState updates what other goroutines read of the instance, and signals a change
// of leading.
func (l *dispatchLoop) publishState(now time.Time, i *dispatch.Instance) {
	storeTime(&l.tablesReadAt, i.TablesReadAt())
	storeTime(&l.workersReadAt, i.WorkersReadAt())
	l.drained.copy(now, i)
	l.hasLeader.Store(i.HasLeader(now))
	l.doubt.refresh(now, i)
	if i.Leading() == l.leading.Load() {
		return
	}
	l.leading.Store(i.Leading())
	select {
	case l.leadingChanged <- struct{}{}:
	default:
	}
}

// carryOut carries out what the instance has decided: it sends commands to workers,
// answers callers, sends envelopes, passes on tables and logs decisions.
func (l *dispatchLoop) carryOut(now time.Time, effects dispatch.Effects) {
	for _, start := range effects.Starts {
		l.commands.start(start)
	}
	for _, poll := range effects.Polls {
		l.commands.poll(poll)
	}
	for _, stop := range effects.Stops {
		l.commands.stop(stop)
	}
	for _, a := range effects.Answers {
		l.callers.answer(a.Caller, a.End)
	}
	for _, send := range effects.Sends {
		l.links.get(send.To).Send(send.Envelope)
	}
	for _, tables := range effects.Tables {
		go l.cfg.Tables(tables)
	}
	for _, r := range effects.Redirects {
		l.countRedirect(r)
	}
	for _, d := range effects.Decisions {
		l.decisions.write(now, d)
	}
}

// countRedirect counts a redirected job. There is one series for each other zone and, of the
// jobs that left, for each reason.
func (l *dispatchLoop) countRedirect(r dispatch.Redirect) {
	name := fmt.Sprintf("amaranthwell_redirected_jobs_total{direction=\"out\",zone=%q,reason=%q}", r.Zone, r.Reason)
	if r.In {
		name = fmt.Sprintf("amaranthwell_redirected_jobs_total{direction=\"in\",zone=%q}", r.Zone)
	}
	l.cfg.Metrics.GetOrCreateCounter(name).Inc()
}

// Run submits a job to the instance, waits for its end and returns its final state. If
// ctx ends first, the job is abandoned and the error of ctx is returned. If the control
// goroutine has stopped, the state is Overdue. connected reports whether the caller's connection
// is open.
func (l *dispatchLoop) Run(ctx context.Context, job dispatch.Job, connected func() bool) (dispatch.End, error) {
	id, ends := l.callers.add()
	l.connected.Store(id, connected)
	defer l.connected.Delete(id)
	l.openJobs.Store(job.ID, struct{}{})
	defer l.openJobs.Delete(job.ID)
	l.post(func(now time.Time, i *dispatch.Instance) { i.Submit(now, id, job) })
	select {
	case end := <-ends:
		l.recordEnd(end, bootTime().Sub(job.Arrived))
		return end, nil
	case <-ctx.Done():
		l.callers.remove(id)
		l.post(func(now time.Time, i *dispatch.Instance) { i.Abandon(now, id) })
		return dispatch.End{}, ctx.Err()
	case <-l.stopped:
		return dispatch.End{ID: job.ID, State: dispatch.Overdue, Reason: "leaving"}, nil
	}
}

// Connected implements dispatch.Callers. A caller that Run does not wait for any more is not
// connected.
func (l *dispatchLoop) Connected(id dispatch.CallerID) bool {
	connected, waits := l.connected.Load(id)
	return waits && connected.(func() bool)()
}

// recordEnd updates the metrics with the end of a job and the time since its arrival.
func (l *dispatchLoop) recordEnd(end dispatch.End, age time.Duration) {
	l.jobSeconds[end.State].Update(age.Seconds())
	if end.State != dispatch.NotRun {
		return
	}
	l.cfg.Metrics.GetOrCreateCounter(`amaranthwell_jobs_refused_total{reason="` + end.Reason + `"}`).Inc()
	l.cfg.Metrics.GetOrCreateHistogram("amaranthwell_refusal_seconds").Update(age.Seconds())
}

// logRefusal logs a request that was refused before it became a job.
func (l *dispatchLoop) logRefusal(path, request string, status int, reason string) {
	l.post(func(now time.Time, i *dispatch.Instance) {
		l.decisions.write(now, dispatch.Decision{Event: "request-refused", Subject: path, Fields: []any{
			"request", request, "status", status, "reason", reason,
			"tables", i.TablesVersion(), "tables-read", dispatch.SinceOrNever(now, i.TablesReadAt()),
		}})
	})
}

// Cancel cancels the job with the given ID. It returns false if the instance does not
// know the job.
func (l *dispatchLoop) Cancel(id string) bool {
	known := false
	l.call(func(now time.Time, i *dispatch.Instance) { known = i.Cancel(now, id) })
	return known
}

// HasOpenJob reports whether a caller of this instance waits for the job with the given
// ID.
func (l *dispatchLoop) HasOpenJob(id string) bool {
	_, open := l.openJobs.Load(id)
	return open
}

// Deliver passes an envelope of a peer to the instance. It drops an envelope whose
// sender address is invalid.
func (l *dispatchLoop) Deliver(env *peer.Envelope) {
	addr, err := netip.ParseAddrPort(env.From)
	if err != nil {
		return
	}
	l.post(func(now time.Time, i *dispatch.Instance) { i.Receive(now, addr, env) })
}

// LinkReset reports to the instance that envelopes to the peer at addr may have been
// lost.
func (l *dispatchLoop) LinkReset(addr netip.AddrPort) {
	l.post(func(now time.Time, i *dispatch.Instance) { i.LinkReset(now, addr) })
}

// closeLinks closes the links after their queued envelopes are sent, or after
// timeout.
func (l *dispatchLoop) closeLinks(timeout time.Duration) {
	var all []*peer.Link
	l.call(func(time.Time, *dispatch.Instance) { all = l.links.all() })
	closeAll(all, timeout)
}
