package standin

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// maxPayloadBytes is the largest size of a task's payload in bytes.
const maxPayloadBytes = 16 << 20

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address identifies the server.
	Address netip.AddrPort
	// Slots is the largest number of tasks that run at once. It must be at least 1.
	Slots int
	// Connections is the largest number of requests that are open at once, for
	// running and waiting tasks together. It must be at least Slots.
	Connections int
	// Speed divides the run time of tasks. It must be greater than zero.
	Speed float64
}

// ServerFaults are the faults of a Server. The zero value has none.
type ServerFaults struct {
	// FailAll makes each task fail with status 500 as soon as it has started.
	FailAll bool
	// SlowFactor multiplies the run time of tasks that start. Zero means 1.
	SlowFactor float64
	// Vanish makes the server drop every connection without an answer. Started
	// tasks run to their end, waiting tasks are dropped.
	Vanish bool
	// LateStart is the delay from the time a task gets a slot to its start.
	LateStart time.Duration
	// Leaving makes the server refuse new tasks. Accepted tasks run to their end.
	Leaving bool
}

// A Server is a stand-in for one backend server. It is an http.Handler and
// safe for concurrent use.
type Server struct {
	cfg     ServerConfig
	counter *StartCounter
	router  chi.Router

	mu     sync.Mutex
	slots  slots
	faults ServerFaults
	// vanished is closed while faults.Vanish is set.
	vanished chan struct{}
	// maxRunning and maxWaiting are the largest numbers of tasks that ran and that
	// waited at once.
	maxRunning int
	maxWaiting int
}

func newServer(cfg ServerConfig, counter *StartCounter) *Server {
	s := &Server{
		cfg:      cfg,
		counter:  counter,
		slots:    slots{size: cfg.Slots, connections: cfg.Connections},
		vanished: make(chan struct{}),
	}
	s.router = chi.NewRouter()
	s.router.Post("/v1/tasks", s.handleTask)
	return s
}

// Address returns the address that identifies s.
func (s *Server) Address() netip.AddrPort {
	return s.cfg.Address
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the faults of s.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Vanish && !s.faults.Vanish {
		close(s.vanished)
	}
	if !f.Vanish && s.faults.Vanish {
		s.vanished = make(chan struct{})
	}
	s.faults = f
}

// Faults returns the faults of s.
func (s *Server) Faults() ServerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Load returns the numbers of running and of waiting tasks.
func (s *Server) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked()
}

// loadLocked is Load for callers that hold s.mu.
func (s *Server) loadLocked() (running, waiting int) {
	return s.slots.running, s.slots.open() - s.slots.running
}

func (s *Server) handleTask(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	key := r.Header.Get("Submission-Key")
	index, err := strconv.Atoi(r.Header.Get("Task-Index"))
	if key == "" || err != nil || index < 0 || index > maxIndex {
		s.refuse(w, http.StatusBadRequest, "no submission key or task index")
		return
	}
	t, vanished := s.accept()
	if t == nil {
		s.refuse(w, http.StatusServiceUnavailable, "not accepted")
		return
	}
	lateStart, ok := s.wait(r, t, vanished)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if lateStart > 0 && !s.delay(r, t, vanished, lateStart) {
		panic(http.ErrAbortHandler)
	}
	s.run(w, key, index, payload, vanished)
}

// accept returns a ticket for a new task, or nil if s refuses the task, and the channel
// that is closed when s vanishes. If s has already vanished, accept drops the connection
// by a panic with http.ErrAbortHandler.
func (s *Server) accept() (*ticket, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Vanish {
		panic(http.ErrAbortHandler)
	}
	if s.faults.Leaving {
		return nil, s.vanished
	}
	t := s.slots.accept()
	s.maxWaiting = max(s.maxWaiting, len(s.slots.waiting))
	return t, s.vanished
}

// wait waits until t has a slot, and returns the delay before the task's start. It
// returns false if the task was dropped because the client disconnected or s
// vanished.
func (s *Server) wait(r *http.Request, t *ticket, vanished <-chan struct{}) (time.Duration, bool) {
	select {
	case <-t.granted:
		return s.Faults().LateStart, true
	case <-r.Context().Done():
	case <-vanished:
	}
	s.withdraw(t)
	return 0, false
}

// delay waits for d before a task with a slot starts. It returns false if the task was
// dropped during the wait because the client disconnected or s vanished.
func (s *Server) delay(r *http.Request, t *ticket, vanished <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
	case <-vanished:
	}
	s.withdraw(t)
	return false
}

// withdraw drops the accepted task of t, which has not started.
func (s *Server) withdraw(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.withdraw(t)
}

// run starts a task that has a slot and answers when the task ends. If s vanishes first,
// run drops the connection; the task still runs to its end.
func (s *Server) run(w http.ResponseWriter, key string, index int, payload []byte, vanished <-chan struct{}) {
	spec := parsePayload(payload)
	duration, failAll := s.start(key, index, spec.runTime)
	ended := make(chan struct{})
	time.AfterFunc(duration, func() {
		s.finish()
		close(ended)
	})
	select {
	case <-ended:
	case <-vanished:
		panic(http.ErrAbortHandler)
	}
	s.writeLoad(w)
	if spec.fail || failAll {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(append([]byte("done:"), payload...)) // Fails only if the client has disconnected.
}

// start counts the start of a task. It returns how long the task runs, and true if the
// fault FailAll makes it fail.
func (s *Server) start(key string, index int, runTime time.Duration) (time.Duration, bool) {
	s.counter.start(key, index)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.running++
	s.maxRunning = max(s.maxRunning, s.slots.running)
	if s.faults.FailAll {
		return 0, true
	}
	duration := float64(runTime) / s.cfg.Speed
	if s.faults.SlowFactor > 0 {
		duration *= s.faults.SlowFactor
	}
	return time.Duration(duration), false
}

func (s *Server) finish() {
	s.counter.finish()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.running--
	s.slots.release()
}

// refuse answers with status and message, and with the header that reports that the task
// was not run.
func (s *Server) refuse(w http.ResponseWriter, status int, message string) {
	s.writeLoad(w)
	w.Header().Set("Not-Run", "true")
	http.Error(w, message, status)
}

// writeLoad sets the headers that every answer has: the load, and whether s is
// leaving.
func (s *Server) writeLoad(w http.ResponseWriter) {
	s.mu.Lock()
	running, waiting := s.loadLocked()
	leaving := s.faults.Leaving
	s.mu.Unlock()
	w.Header().Set("Running", strconv.Itoa(running))
	w.Header().Set("Waiting", strconv.Itoa(waiting))
	if leaving {
		w.Header().Set("Leaving", "true")
	}
}
