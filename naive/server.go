package naive

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

// Config configures a Server.
type Config struct {
	// Servers holds the addresses of the backend servers. It must not be
	// empty.
	Servers []netip.AddrPort
	// MaxRunning is the maximum number of tasks that the Server runs at once
	// on all backend servers together. It must be positive.
	MaxRunning int
	// MaxAttempts is the maximum number of attempts per task. It must be
	// positive.
	MaxAttempts int
	// Timeout is the timeout of a job whose request has no valid timeout.
	Timeout time.Duration
}

// A Server runs jobs that callers submit over HTTP. It is safe for concurrent
// use.
type Server struct {
	cfg      Config
	router   chi.Router
	queue    *queue
	client   *http.Client
	counters counters
	runners  sync.WaitGroup

	mu sync.Mutex
	// nextIndex is the index in cfg.Servers of the server for the next attempt.
	nextIndex int
	// cancels holds the cancel functions of the running jobs, by submission key.
	cancels map[string]context.CancelFunc
}

// New returns a Server whose goroutines run until Close. It returns an error if
// a field of cfg is out of range.
func New(cfg Config) (*Server, error) {
	if len(cfg.Servers) == 0 || cfg.MaxRunning < 1 || cfg.MaxAttempts < 1 {
		return nil, errors.Newf("naive: configuration out of range: %d servers, %d running tasks, %d attempts",
			len(cfg.Servers), cfg.MaxRunning, cfg.MaxAttempts)
	}
	s := &Server{
		cfg:      cfg,
		queue:    newQueue(),
		client:   newClient(cfg.MaxRunning),
		counters: newCounters(),
		cancels:  make(map[string]context.CancelFunc),
	}
	s.router = s.routes()
	for range cfg.MaxRunning {
		s.runners.Go(func() {
			for t, ok := s.queue.pop(); ok; t, ok = s.queue.pop() {
				s.runTask(t)
			}
		})
	}
	return s, nil
}

// Close waits until the queued tasks have ended and stops the goroutines of s.
func (s *Server) Close() {
	s.queue.close()
	s.runners.Wait()
	s.client.CloseIdleConnections()
}

// ServeHTTP serves the requests of callers and operators.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// nextServer returns the backend server for the next attempt. Successive calls return the
// servers in round-robin order.
func (s *Server) nextServer() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.cfg.Servers[s.nextIndex]
	s.nextIndex = (s.nextIndex + 1) % len(s.cfg.Servers)
	return addr
}
