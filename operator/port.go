package operator

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// A Configuration is the configuration in force at an instance.
type Configuration struct {
	// Offset is how far the instance has applied the log.
	Offset uint64
	// Revision is the current revision, or 0 if there is none.
	Revision uint64
	// Author published Revision.
	Author string
	// Gap says that the instance needs a snapshot to go on.
	Gap bool
	// Mismatches counts snapshots that differ from the instance's own state.
	Mismatches uint64
	// Tables is the current revision's tables, or nil.
	Tables *Tables
}

// Current returns the configuration that is in force.
func (r *Reader) Current() Configuration {
	return Configuration{
		Offset:     r.history.Offset(),
		Revision:   r.history.Revision(),
		Author:     r.history.Author(),
		Gap:        r.Gap(),
		Mismatches: r.history.Mismatches(),
		Tables:     r.history.Tables(),
	}
}

// An Instance is what the operators' port shows. Its methods are called from
// several goroutines.
type Instance interface {
	// Ready returns nil if the instance takes jobs, and otherwise why not.
	Ready() error
	// Current returns the configuration in force.
	Current() Configuration
}

// HandlerConfig configures the operators' HTTP port.
type HandlerConfig struct {
	// Instance is the entry instance that the port shows.
	Instance Instance
	// Metrics holds the instance's metrics. If it is nil, /metrics shows
	// those of the process only.
	Metrics *metrics.Set
}

// NewHandler returns the handler of the operators' HTTP port:
//
//   - GET /health answers 200 as long as the process serves HTTP.
//   - GET /ready answers 200 if the instance takes jobs, else 503.
//   - GET /metrics answers metrics in the text format of Prometheus.
//   - GET /configuration answers the configuration in force, in JSON.
func NewHandler(cfg HandlerConfig) http.Handler {
	router := chi.NewRouter()
	router.Get("/health", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	router.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := cfg.Instance.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		if cfg.Metrics != nil {
			cfg.Metrics.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	router.Get("/configuration", func(w http.ResponseWriter, _ *http.Request) {
		writeCurrent(w, cfg.Instance.Current())
	})
	return router
}

// writeText writes a short text; the client sees a failure to write by itself.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

func writeCurrent(w http.ResponseWriter, c Configuration) {
	body := struct {
		Offset     uint64    `json:"offset"`
		Revision   uint64    `json:"revision"`
		Author     string    `json:"author"`
		Gap        bool      `json:"gap"`
		Mismatches uint64    `json:"mismatches"`
		Tables     *document `json:"tables"`
	}{
		Offset:     c.Offset,
		Revision:   c.Revision,
		Author:     c.Author,
		Gap:        c.Gap,
		Mismatches: c.Mismatches,
	}
	if c.Tables != nil {
		d := newDocument(c.Tables)
		body.Tables = &d
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
