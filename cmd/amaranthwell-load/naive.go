package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/amaranthwell/amaranthwell/naive"
)

// naiveMaxAttempts is the naive version's maximum number of attempts per task.
const naiveMaxAttempts = 3

// naiveShutdownTimeout is the maximum time for the graceful shutdown of a naive
// instance.
const naiveShutdownTimeout = 15 * time.Second

// naiveSettings holds the settings of one naive instance.
type naiveSettings struct {
	CallerAddress   netip.AddrPort   `toml:"caller-address"`
	OperatorAddress netip.AddrPort   `toml:"operator-address"`
	MaxRunning      int              `toml:"max-running"`
	Timeout         string           `toml:"timeout"`
	Servers         []netip.AddrPort `toml:"servers"`
}

// naiveCommand runs one naive instance until SIGTERM or an interrupt.
type naiveCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file (TOML)"`
}

// Execute runs the command.
func (c *naiveCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	var settings naiveSettings
	if err := toml.Unmarshal(text, &settings); err != nil {
		return errors.Wrapf(err, "reading %s", c.Settings)
	}
	timeout, err := time.ParseDuration(settings.Timeout)
	if err != nil {
		return err
	}
	server, err := naive.New(naive.Config{
		Servers:     settings.Servers,
		MaxRunning:  settings.MaxRunning,
		MaxAttempts: naiveMaxAttempts,
		Timeout:     timeout,
	})
	if err != nil {
		return err
	}
	return serveUntil(ctx, server, settings.CallerAddress, settings.OperatorAddress)
}

// serveUntil serves handler on all addresses until ctx ends, and then waits for the
// running requests for at most naiveShutdownTimeout.
func serveUntil(ctx context.Context, handler http.Handler, addrs ...netip.AddrPort) error {
	failed := make(chan error, len(addrs))
	var servers []*http.Server
	for _, a := range addrs {
		listener, err := net.Listen("tcp", a.String())
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler}
		servers = append(servers, server)
		go func() { failed <- server.Serve(listener) }()
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.Background(), naiveShutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(drain); err != nil {
			return err
		}
	}
	return nil
}
