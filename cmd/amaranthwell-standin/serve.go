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
	// headerTimeout is the time limit for reading a request's header.
	headerTimeout = 10 * time.Second
	// shutdownTimeout is the time that open requests have to end after
	// shutdown begins.
	shutdownTimeout = 5 * time.Second
)

// An endpoint is a handler and the address that it listens on.
type endpoint struct {
	address netip.AddrPort
	handler http.Handler
}

// serve serves all endpoints until ctx is done or one of them fails. Then it calls
// beforeShutdown, if not nil, and waits for the open requests.
func serve(ctx context.Context, endpoints []endpoint, beforeShutdown func()) error {
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
		if beforeShutdown != nil {
			beforeShutdown()
		}
		return shutdown(servers)
	})
	return group.Wait()
}

// listen listens and serves until the server is shut down, and then returns nil.
func listen(server *http.Server) error {
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown shuts down all servers. It waits up to shutdownTimeout for their open
// requests, and then closes the connections of those that are left.
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
