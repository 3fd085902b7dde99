package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// Times of the daemon.
const (
	// listEvery is the time between reads of the instance list.
	listEvery = time.Second
	// drainPoll is the time between checks whether the instance is drained.
	drainPoll = 20 * time.Millisecond
	// maxDrain limits a graceful shutdown.
	maxDrain = 5 * time.Minute
	// The timeouts of the callers' port.
	callerHeaderTimeout = 5 * time.Second
	callerReadTimeout   = 30 * time.Second
	callerWriteTimeout  = 30 * time.Second
	callerIdleTimeout   = 2 * time.Minute
	// closeTimeout limits the closing of links, and the reading of request headers
	// on the operators' port.
	closeTimeout = 2 * time.Second
)

// entryCommand runs an entry instance.
type entryCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file, in TOML"`
}

// Execute runs the entry instance until SIGTERM or SIGINT.
func (c *entryCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return &fileError{err: err}
	}
	settings, err := operator.ParseSettings(operator.File{Name: c.Settings, Body: text})
	if err != nil {
		return err
	}
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)),
		"time", log.DefaultTimestampUTC, "instance", settings.PeerAddress)
	d, err := newDaemon(settings, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.run(ctx)
}

// A daemon is an entry instance with its ports and links.
type daemon struct {
	settings *operator.Settings
	logger   log.Logger
	instance *entry.Instance
	control  *entryLoop
	follower *follower
	list     *logservice.ListClient
	backends *backend.Client
	// current is the configuration in force; it is empty before the first one.
	current atomic.Pointer[operator.Configuration]
	// ready is true if the instance accepted jobs when the instance list was last
	// read. leaving is true once the shutdown has begun.
	ready   atomic.Bool
	leaving atomic.Bool
	metrics *metrics.Set
}

func newDaemon(settings *operator.Settings, logger log.Logger) (*daemon, error) {
	d := &daemon{settings: settings, logger: logger, metrics: metrics.NewSet()}
	var err error
	if d.instance, err = newInstance(settings); err != nil {
		return nil, err
	}
	if d.list, err = logservice.NewListClient(logservice.ListConfig{URL: settings.Instances.String()}); err != nil {
		return nil, err
	}
	if d.backends, err = backend.NewClient(backend.ClientConfig{}); err != nil {
		return nil, err
	}
	scheduler, err := operator.NewSnapshotScheduler(operator.SnapshotSchedulerConfig{
		Retention: settings.LogRetention,
		Rand:      newRandom(),
	}, time.Now())
	if err != nil {
		return nil, err
	}
	d.current.Store(&operator.Configuration{})
	client, err := logservice.NewLogClient(logservice.LogConfig{URL: settings.Log.String(), Logger: logger})
	if err != nil {
		return nil, err
	}
	d.follower = &follower{
		log:        client,
		logger:     logger,
		retention:  settings.LogRetention,
		reader:     operator.NewReader(),
		scheduler:  scheduler,
		snapshots:  gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: 16}, routerLogger{logger}),
		apply:      func(e entryEvent) { d.control.post(e) },
		setCurrent: func(c operator.Configuration) { d.current.Store(&c) },
	}
	return d, nil
}

// newInstance returns an instance without jobs and tables, with a random incarnation
// and a random secret.
func newInstance(settings *operator.Settings) (*entry.Instance, error) {
	var secret [32]byte
	if _, err := crand.Read(secret[:]); err != nil {
		return nil, err
	}
	random := newRandom()
	return entry.New(entry.Config{
		Self:        settings.PeerAddress,
		Zone:        settings.Zone,
		Incarnation: random.Uint64() | 1,
		Start:       time.Now(),
		Secret:      secret,
		MaxJobs:     settings.MaxWaitingJobs,
		Random:      random,
	})
}

// newRandom returns a source of random numbers with a random seed.
func newRandom() *rand.Rand {
	var seed [16]byte
	if _, err := crand.Read(seed[:]); err != nil {
		panic(err)
	}
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// run serves until ctx ends, and then shuts down gracefully. It returns an error if a
// port cannot be opened or a server fails.
func (d *daemon) run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	peers, err := listen(d.settings.PeerAddress)
	if err != nil {
		return err
	}
	callers, err := listen(d.settings.CallerAddress)
	if err != nil {
		return err
	}
	operators, err := listen(d.settings.OperatorAddress)
	if err != nil {
		return err
	}
	d.control = newEntryLoop(serving, d.instance, d.backends, d.follower.queueSnapshot, d.logger)
	d.registerMetrics()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return ignoreClosed(peer.Listen(serving, peers, d.control)) })
	group.Go(func() error { return d.follower.run(serving) })
	group.Go(func() error { d.followList(serving); return nil })
	callerServer, err := newCallerServer(d.control)
	if err != nil {
		return err
	}
	serveHTTP(group, callerServer, callers)
	serveHTTP(group, &http.Server{Handler: d.operatorHandler(), ReadHeaderTimeout: closeTimeout}, operators)
	_ = d.logger.Log("event", "started", "zone", d.settings.Zone)
	select {
	case <-ctx.Done():
	case <-serving.Done():
		return group.Wait()
	}
	d.drain(callerServer)
	stop()
	return nil
}

// drain shuts down gracefully: the instance issues no more submission keys and is
// announced as leaving, and drain waits up to maxDrain until the instance reports that
// all its jobs and tasks are done.
func (d *daemon) drain(callers *http.Server) {
	_ = d.logger.Log("event", "leaving")
	d.ready.Store(false)
	d.leaving.Store(true)
	d.control.call(func(now time.Time, i *entry.Instance) { i.Leave(now) })
	ctx, cancel := context.WithTimeout(context.Background(), maxDrain)
	defer cancel()
	d.announce(ctx)
	for ctx.Err() == nil {
		drained := false
		d.control.call(func(now time.Time, i *entry.Instance) { drained = i.Drained(now) })
		if drained {
			break
		}
		time.Sleep(drainPoll)
	}
	_ = callers.Shutdown(ctx)
	d.control.closeLinks(closeTimeout)
	_ = d.logger.Log("event", "ended")
}

// followList periodically renews the instance's entry on the instance list and passes
// the list to the instance, until ctx ends.
func (d *daemon) followList(ctx context.Context) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	readable := true
	var announced time.Time
	for {
		if now := time.Now(); now.Sub(announced) >= logservice.AnnounceEvery {
			d.announce(ctx)
			announced = now
		}
		list, err := d.list.List(ctx, time.Now())
		if err == nil {
			d.control.post(func(now time.Time, i *entry.Instance) {
				i.SetList(now, list)
				d.ready.Store(i.Ready())
			})
		}
		if (err == nil) != readable {
			readable = err == nil
			_ = d.logger.Log("event", "list-read", "good", readable, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce adds the instance to the instance list, or renews its entry.
func (d *daemon) announce(ctx context.Context) {
	self := peer.Instance{Address: d.settings.PeerAddress, Kind: peer.EntryInstance, Zone: d.settings.Zone, Leaving: d.leaving.Load()}
	if err := d.list.Announce(ctx, self); err != nil && ctx.Err() == nil {
		_ = d.logger.Log("event", "announcement-failed", "leaving", self.Leaving, "err", err)
	}
}

func (d *daemon) operatorHandler() http.Handler {
	return operator.NewHandler(operator.HandlerConfig{Instance: d, Metrics: d.metrics})
}

// Ready returns nil if the instance accepts jobs from callers.
func (d *daemon) Ready() error {
	if !d.ready.Load() {
		return errors.New("the instance has no configuration or is leaving")
	}
	return nil
}

// Current returns the configuration in force.
func (d *daemon) Current() operator.Configuration { return *d.current.Load() }

// newCallerServer returns the server of the callers' port.
func newCallerServer(submitter caller.Submitter) (*http.Server, error) {
	return caller.NewServer(caller.ServerConfig{
		Handler: caller.NewHandler(caller.HandlerConfig{
			Submitter:    submitter,
			UseWithin:    entry.DefaultUseWithin,
			WriteTimeout: callerWriteTimeout,
		}),
		HeaderTimeout: callerHeaderTimeout,
		ReadTimeout:   callerReadTimeout,
		IdleTimeout:   callerIdleTimeout,
	})
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

func serveHTTP(group *errgroup.Group, server *http.Server, listener net.Listener) {
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
}

// ignoreClosed returns nil if err is an error that an orderly shutdown causes, and
// otherwise err.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
