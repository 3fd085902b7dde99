package main

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout is the time within which a request's header must come.
	headerTimeout = 10 * time.Second
	// shutdownTimeout is the time that open requests have to end.
	shutdownTimeout = 5 * time.Second
)

// endpoint is a handler and the address that it listens on.
type endpoint struct {
	address netip.AddrPort
	handler http.Handler
}

// serve listens on all endpoints until ctx ends. It calls leave, if not nil,
// before it lets the open requests end.
func serve(ctx context.Context, endpoints []endpoint, leave func()) error {
	group, ctx := errgroup.WithContext(ctx)
	servers := make([]*http.Server, len(endpoints))
	for i, e := range endpoints {
		server := &http.Server{
			Addr:              e.address.String(),
			Handler:           e.handler,
			ReadHeaderTimeout: headerTimeout,
		}
		servers[i] = server
		group.Go(func() error { return listen(server) })
	}
	group.Go(func() error {
		<-ctx.Done()
		if leave != nil {
			leave()
		}
		return shutdown(servers)
	})
	return group.Wait()
}

// listen serves until the server is shut down.
func listen(server *http.Server) error {
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown lets the open requests of all servers end, and drops those that
// take longer than shutdownTimeout.
func shutdown(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		})
	}
	return group.Wait()
}
