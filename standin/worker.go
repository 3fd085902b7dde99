package standin

import (
	"fmt"
	"net/http"
	"net/netip"

	"github.com/go-chi/chi/v5"
)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	// Servers holds the configurations of the worker's backend servers.
	Servers []ServerConfig
}

// A ServerConfigError reports a field of a ServerConfig that is out of range.
type ServerConfigError struct {
	Address netip.AddrPort
	Field   string
}

// Error returns a message with the server's address and the field.
func (e *ServerConfigError) Error() string {
	return fmt.Sprintf("backend server %v: %s out of range", e.Address, e.Field)
}

// A Worker is a stand-in for a worker that has backend servers. It counts the starts of
// their tasks. It is safe for concurrent use.
type Worker struct {
	// Counter counts the starts on all backend servers of the worker.
	Counter *StartCounter

	servers []*Server
	control chi.Router
}

// NewWorker returns a Worker with idle backend servers. It returns a
// *ServerConfigError if a server's configuration is out of range.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	w := &Worker{Counter: NewStartCounter()}
	for _, c := range cfg.Servers {
		if err := c.validate(); err != nil {
			return nil, err
		}
		w.servers = append(w.servers, newServer(c, w.Counter))
	}
	w.control = chi.NewRouter()
	w.control.Get("/v1/starts", w.handleStarts)
	w.control.Delete("/v1/starts", w.handleReset)
	w.control.Put("/v1/faults", w.handleFaults)
	return w, nil
}

func (c ServerConfig) validate() error {
	switch {
	case c.Slots < 1:
		return &ServerConfigError{Address: c.Address, Field: "slots"}
	case c.Connections < c.Slots:
		return &ServerConfigError{Address: c.Address, Field: "connections"}
	case !(c.Speed > 0):
		return &ServerConfigError{Address: c.Address, Field: "speed"}
	}
	return nil
}

// Servers returns the backend servers in the order of the configuration.
func (w *Worker) Servers() []*Server {
	return w.servers
}

// Server returns the backend server at address, or nil if there is none.
func (w *Worker) Server(address netip.AddrPort) *Server {
	for _, s := range w.servers {
		if s.cfg.Address == address {
			return s
		}
	}
	return nil
}

// Control returns the handler that reports and resets the start counts and sets the
// faults of the backend servers.
func (w *Worker) Control() http.Handler {
	return w.control
}

// MaxLoad returns the largest number of tasks that ran at once on one backend server,
// and the largest number that waited at once on one, since the last Reset.
func (w *Worker) MaxLoad() (running, waiting int) {
	for _, s := range w.servers {
		s.mu.Lock()
		running = max(running, s.maxRunning)
		waiting = max(waiting, s.maxWaiting)
		s.mu.Unlock()
	}
	return running, waiting
}

// Reset clears the start counts and the numbers that MaxLoad returns.
func (w *Worker) Reset() {
	w.Counter.Reset()
	for _, s := range w.servers {
		s.mu.Lock()
		s.maxRunning, s.maxWaiting = 0, 0
		s.mu.Unlock()
	}
}

func (w *Worker) handleStarts(rw http.ResponseWriter, r *http.Request) {
	startedTwice, twice := w.Counter.StartedTwice()
	maxRunning, maxWaiting := w.MaxLoad()
	var byKey map[string][]int
	if r.URL.Query().Get("keys") == "1" {
		byKey = w.Counter.ByKey()
	}
	writeJSON(rw, struct {
		Started      int              `json:"started"`
		Finished     int              `json:"finished"`
		StartedTwice int              `json:"started-twice"`
		Twice        []TaskStarts     `json:"twice"`
		MaxRunning   int              `json:"max-running"`
		MaxWaiting   int              `json:"max-waiting"`
		Keys         int              `json:"keys"`
		ByKey        map[string][]int `json:"by-key,omitempty"`
	}{
		w.Counter.Started(), w.Counter.Finished(), startedTwice, twice,
		maxRunning, maxWaiting, w.Counter.Keys(), byKey,
	})
}

func (w *Worker) handleReset(rw http.ResponseWriter, _ *http.Request) {
	w.Reset()
	rw.WriteHeader(http.StatusNoContent)
}

// handleFaults replaces the faults of the backend server whose address is the query
// parameter "server". Without this parameter it replaces those of all backend servers.
func (w *Worker) handleFaults(rw http.ResponseWriter, r *http.Request) {
	servers := w.servers
	if name := r.URL.Query().Get("server"); name != "" {
		address, err := netip.ParseAddrPort(name)
		if err != nil || w.Server(address) == nil {
			http.Error(rw, "no such server", http.StatusNotFound)
			return
		}
		servers = []*Server{w.Server(address)}
	}
	var body struct {
		FailAll    bool    `json:"fail-all"`
		SlowFactor float64 `json:"slow-factor"`
		Vanish     bool    `json:"vanish"`
		LateStart  string  `json:"late-start"`
		Leaving    bool    `json:"leaving"`
	}
	if !readJSON(rw, r, &body) {
		return
	}
	lateStart, err := parseDuration(body.LateStart)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	for _, s := range servers {
		s.SetFaults(ServerFaults{body.FailAll, body.SlowFactor, body.Vanish, lateStart, body.Leaving})
	}
	rw.WriteHeader(http.StatusNoContent)
}
