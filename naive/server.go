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
	// Servers holds the backend servers. It must not be empty.
	Servers []netip.AddrPort
	// MaxRunning is the largest number of tasks that the Server has on all
	// backend servers at once. It must be above 0.
	MaxRunning int
	// MaxAttempts is the largest number of attempts at a task. It must be
	// above 0.
	MaxAttempts int
	// Timeout bounds a job that states no timeout of its own.
	Timeout time.Duration
}

// A Server answers jobs over the callers' HTTP protocol. It is safe for
// concurrent use.
type Server struct {
	cfg    Config
	router chi.Router
	queue  *queue
	client *http.Client
	counts counts
	done   sync.WaitGroup

	mu sync.Mutex
	// next is the index of the backend server whose turn it is.
	next int
	// cancels holds what ends a job that runs, by its key.
	cancels map[string]context.CancelFunc
}

// New returns a Server whose goroutines run until Close. It returns an error
// if cfg is out of range.
func New(cfg Config) (*Server, error) {
	if len(cfg.Servers) == 0 || cfg.MaxRunning < 1 || cfg.MaxAttempts < 1 {
		return nil, errors.Newf("naive: configuration out of range: %d servers, %d running, %d tries",
			len(cfg.Servers), cfg.MaxRunning, cfg.MaxAttempts)
	}
	s := &Server{
		cfg:     cfg,
		queue:   newQueue(),
		client:  newClient(cfg.MaxRunning),
		counts:  newCounts(),
		cancels: make(map[string]context.CancelFunc),
	}
	s.router = s.routes()
	for range cfg.MaxRunning {
		s.done.Go(func() {
			for t, ok := s.queue.pop(); ok; t, ok = s.queue.pop() {
				s.run(t)
			}
		})
	}
	return s, nil
}

// Close ends the goroutines of s once the tasks that are queued have ended.
func (s *Server) Close() {
	s.queue.close()
	s.done.Wait()
	s.client.CloseIdleConnections()
}

// ServeHTTP answers one request of a caller or an operator.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// turn returns the backend server whose turn it is.
func (s *Server) turn() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.cfg.Servers[s.next]
	s.next = (s.next + 1) % len(s.cfg.Servers)
	return addr
}
