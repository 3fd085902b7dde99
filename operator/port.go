package operator

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
)

// A Configuration is the current configuration of an instance and its position
// in the log.
type Configuration struct {
	// Offset is the offset of the last log record that the instance applied.
	Offset uint64
	// Revision is the current revision, or 0 if there is none.
	Revision uint64
	// Author is who published Revision.
	Author string
	// Gap is set while the log lacks the next record, so that the instance needs
	// a snapshot to continue.
	Gap bool
	// Mismatches counts the snapshots in the log that differed from the
	// instance's own state at the same offset.
	Mismatches uint64
	// Tables is the current revision's tables, or nil.
	Tables *Tables
}

// Current returns the current configuration.
func (r *Reader) Current() Configuration {
	return Configuration{
		Offset:     r.state.Offset(),
		Revision:   r.state.Revision(),
		Author:     r.state.Author(),
		Gap:        r.Gap(),
		Mismatches: r.state.Mismatches(),
		Tables:     r.state.Tables(),
	}
}

// An Instance is the entry instance on which the operators' port reports. Its
// methods must be safe for concurrent use.
type Instance interface {
	// Ready returns nil if the instance accepts jobs, and otherwise the reason.
	Ready() error
	// Current returns the current configuration.
	Current() Configuration
}

// HandlerConfig configures the operators' HTTP port.
type HandlerConfig struct {
	// Instance is the entry instance that the port reports on.
	Instance Instance
	// Metrics holds the instance's metrics. If it is nil, /metrics answers
	// only those of the process.
	Metrics *metrics.Set
}

// NewHandler returns the handler of the operators' HTTP port:
//
//   - GET /health answers 200 as long as the process serves HTTP.
//   - GET /ready answers 200 if the instance accepts jobs, else 503.
//   - GET /metrics answers metrics in the text format of Prometheus.
//   - GET /configuration answers the current configuration, in JSON.
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
		writeConfiguration(w, cfg.Instance.Current())
	})
	return router
}

// writeText writes a short text. It ignores a write error, which the client
// detects by itself.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// writeConfiguration writes c in JSON. It ignores a write error, as writeText does.
func writeConfiguration(w http.ResponseWriter, c Configuration) {
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
