package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
	"github.com/amaranthwell/amaranthwell/platform"
)

const (
	// balancerDelay is the time after which the load balancer has noticed that
	// an instance is not ready.
	balancerDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace period that remains for closing the
	// ports and links after the last jobs.
	graceMargin = 700 * time.Millisecond
	// linkCloseTimeout limits the sending of queued envelopes at shutdown.
	linkCloseTimeout = 100 * time.Millisecond
	// memoryLimitShare is the soft memory limit of the garbage collector, as a
	// share of the memory size beyond which the process is killed.
	memoryLimitShare = 0.6
)

// serveCommand runs an entry instance on the platform.
type serveCommand struct {
	PeerListen string `long:"peer-listen" value-name:"ADDRESS" description:"address on which to listen for peers, if they connect through a forwarder at the address in the node file"`
	NodeFile   string `long:"node-file" value-name:"FILE" description:"file with the platform's settings for this process; the default is the value of AMARANTHWELL_NODE_FILE"`
}

// Execute runs the entry instance until SIGTERM or SIGINT.
func (c *serveCommand) Execute([]string) error {
	path := c.NodeFile
	if path == "" {
		path = os.Getenv(platform.NodeFileVariable)
	}
	if path == "" {
		return &fileError{err: errors.Newf("neither --node-file nor %s is given", platform.NodeFileVariable)}
	}
	node, err := platform.LoadNode(path)
	if err != nil {
		return &fileError{err: err}
	}
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(node.MemoryBytes) * memoryLimitShare))
	}
	lines := newLineWriter(os.Stdout)
	logger := log.With(log.NewLogfmtLogger(lines), "time", log.DefaultTimestampUTC, "instance", node.Name)
	s := newService(node, logger)
	if c.PeerListen != "" {
		if s.peerListen, err = netip.ParseAddrPort(c.PeerListen); err != nil {
			return &fileError{err: errors.Wrap(err, "--peer-listen")}
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	return s.run(ctx, hup)
}

// A service is an entry instance on the platform, with its ports and links.
type service struct {
	node platform.Node
	// peerListen is the address on which the instance listens for peers.
	peerListen netip.AddrPort
	logger     log.Logger
	store      *platform.Store
	loop       *dispatchLoop
	// tables is the operators' tables in force, or nil before the first are read.
	tables atomic.Pointer[dispatch.Tables]
	// closing is true once the shutdown has begun.
	closing atomic.Bool
	// expectedWorkers is the number of workers that was last read from the store
	// or written to it.
	expectedWorkers atomic.Int64
	// workerCounts holds the latest number of workers that is to be written to the
	// store, until writeWorkerCounts takes it.
	workerCounts chan int
	// failedReads has a key for each kind of call ("tables", "workers", "members" or
	// "worker-count") that has failed and has not succeeded since.
	failedReads sync.Map
	metrics     *metrics.Set
}

func newService(node platform.Node, logger log.Logger) *service {
	return &service{
		node:       node,
		peerListen: node.PeerAddress,
		logger:     logger,
		store:      platform.NewStore(node.StoreAddress.String()),
		metrics:    metrics.NewSet(),

		workerCounts: make(chan int, 1),
	}
}

// run serves until ctx ends, and then shuts down gracefully. It logs each signal on
// hup and does nothing else about it.
func (s *service) run(ctx context.Context, hup <-chan os.Signal) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	s.loop = newDispatchLoop(serving, dispatchLoopConfig{
		Node:    s.node,
		Logger:  s.logger,
		Workers: platform.NewWorkerClient(),
		Tables:  s.applyTables,
		Metrics: s.metrics,
	})
	group, serving := errgroup.WithContext(serving)
	callers, err := s.listen(serving, group)
	if err != nil {
		return err
	}
	s.metrics.NewGauge("amaranthwell_tables_version", func() float64 {
		if tables := s.tables.Load(); tables != nil {
			return float64(tables.Version)
		}
		return 0
	})
	s.follow(serving, group)
	_ = s.logger.Log("event", "started", "zone", s.node.Zone, "peers", s.node.PeerAddress, "callers", s.node.CallerAddress)
	for {
		select {
		case <-hup:
			_ = s.logger.Log("event", "reloaded", "changed", "nothing: addresses are read only at startup")
		case <-ctx.Done():
			s.drain(callers)
			stop()
			return nil
		case <-serving.Done():
			return group.Wait()
		}
	}
}

// listen opens and serves the ports. It returns the server of the callers' port.
func (s *service) listen(ctx context.Context, group *errgroup.Group) (*http.Server, error) {
	peers, err := net.Listen("tcp", s.peerListen.String())
	if err != nil {
		return nil, err
	}
	group.Go(func() error { return ignoreClosed(peer.Listen(ctx, peers, s.loop)) })
	callers := &http.Server{
		Handler: platform.NewCallerHandler(platform.CallerHandlerConfig{
			Jobs:             s.loop,
			Tables:           s.tables.Load,
			Now:              bootTime,
			CloseConnections: s.closing.Load,
			OnRefused:        s.loop.logRefusal,
		}),
		ReadHeaderTimeout: callerHeaderTimeout,
		ReadTimeout:       callerReadTimeout,
		IdleTimeout:       callerIdleTimeout,
		ConnContext:       platform.CallerContext,
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", s.handleReady)
	scrape := http.NewServeMux()
	scrape.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	scrape.Handle("GET /where", newPreviewHandler(s))
	for _, port := range []struct {
		address string
		server  *http.Server
	}{
		{s.node.CallerAddress.String(), callers},
		{s.node.ReadyAddress.String(), &http.Server{Handler: ready, ReadHeaderTimeout: callerHeaderTimeout}},
		{s.node.MetricsAddress.String(), &http.Server{Handler: scrape, ReadHeaderTimeout: callerHeaderTimeout}},
	} {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return nil, err
		}
		serveHTTP(group, port.server, listener)
	}
	return callers, nil
}

// handleReady answers the health check of the load balancer: with status 503 while the
// instance has no tables, its zone has no leader or the shutdown has begun, and
// otherwise with status 200.
func (s *service) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.closing.Load() || s.tables.Load() == nil || !s.loop.hasLeader.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// applyTables decodes the operators' tables and puts them in force if their version
// is higher than the current one. It may be called from several goroutines.
func (s *service) applyTables(text []byte) {
	tables, err := platform.DecodeTables(text)
	if err != nil {
		_ = s.logger.Log("event", "configuration-unreadable", "error", err)
		return
	}
	for {
		current := s.tables.Load()
		if current != nil && current.Version >= tables.Version {
			return
		}
		if s.tables.CompareAndSwap(current, tables) {
			break
		}
	}
	s.loop.post(func(now time.Time, i *dispatch.Instance) { i.SetTables(now, tables.Version, text) })
}

// drain shuts down within the grace period: it gives up leadership, waits until the load
// balancer has noticed that the instance is not ready, and then for open jobs. From then on
// it refuses new jobs whose callers wait for longer than the grace period. It aborts the jobs
// that are still open graceMargin before the end, so that their callers get an answer.
func (s *service) drain(callers *http.Server) {
	_ = s.logger.Log("event", "leaving")
	s.closing.Store(true)
	start := time.Now()
	s.loop.call(func(now time.Time, i *dispatch.Instance) { i.Leave(now) })
	ctx, cancel := context.WithTimeout(context.Background(), s.node.GracePeriod-graceMargin)
	defer cancel()
	sleep(ctx, balancerDelay)
	s.loop.call(func(now time.Time, i *dispatch.Instance) {
		i.Close(now, now.Add(s.node.GracePeriod-graceMargin-time.Since(start)))
	})
	for busy := true; busy && ctx.Err() == nil; {
		s.loop.call(func(_ time.Time, i *dispatch.Instance) { busy = i.OpenJobs() > 0 || i.Leading() })
		sleep(ctx, drainPoll)
	}
	s.loop.call(func(now time.Time, i *dispatch.Instance) { i.Abort(now) })
	ctx, cancel = context.WithTimeout(context.Background(), graceMargin/2)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = s.logger.Log("event", "callers-cut-off", "error", err)
	}
	s.loop.closeLinks(linkCloseTimeout)
	_ = s.logger.Log("event", "ended", "after", time.Since(start))
}
