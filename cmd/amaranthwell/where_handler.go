package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

const (
	// previewInterval is the shortest time between two previews of a process: a preview
	// copies the queue and looks at all workers in the control goroutine.
	previewInterval = 250 * time.Millisecond
	// maxPreviewTasks bounds the tasks of a previewed job, as those of a job of the platform.
	maxPreviewTasks = 10_000
	// maxPreviewAmount bounds the other numbers of a previewed job.
	maxPreviewAmount = 1 << 30
)

// A previewLimiter admits one preview at a time and one in each previewInterval.
type previewLimiter struct {
	mu     sync.Mutex
	active bool
	latest time.Time
}

// begin reports whether a preview may begin at now.
func (l *previewLimiter) begin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active || (!l.latest.IsZero() && now.Sub(l.latest) < previewInterval) {
		return false
	}
	l.active, l.latest = true, now
	return true
}

// end records that the preview has ended.
func (l *previewLimiter) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = false
}

// A previewHandler answers GET /where: where a job would go now.
type previewHandler struct {
	// preview returns the preview of a job for a receiver of the zone home, or false if the
	// process is about to exit.
	preview func(home string, job dispatch.Job) (dispatch.Preview, bool)
	tables  func() *dispatch.Tables
	now     func() time.Time
	limiter previewLimiter
}

// newPreviewHandler returns a previewHandler for the instance of s.
func newPreviewHandler(s *service) *previewHandler {
	return &previewHandler{
		preview: func(home string, job dispatch.Job) (p dispatch.Preview, ok bool) {
			answers := make(chan dispatch.Preview, 1)
			if !s.loop.call(func(now time.Time, i *dispatch.Instance) {
				timeout := job.CallerDeadline.Sub(job.Arrived)
				job.CallerDeadline = now.Add(timeout)
				answers <- i.Preview(now, home, job)
			}) {
				return p, false
			}
			return <-answers, true
		},
		tables: s.tables.Load,
		now:    bootTime,
	}
}

// ServeHTTP implements http.Handler.
func (h *previewHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	tables := h.tables()
	if tables == nil {
		http.Error(w, "no tables are known", http.StatusServiceUnavailable)
		return
	}
	route, known := tables.Named(query.Get("route"))
	if !known {
		http.Error(w, fmt.Sprintf("unknown route %q", query.Get("route")), http.StatusNotFound)
		return
	}
	job, err := previewedJob(h.now(), route, query)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !h.limiter.begin(h.now()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many requests for a preview", http.StatusTooManyRequests)
		return
	}
	defer h.limiter.end()
	preview, ok := h.preview(query.Get("home"), job)
	if !ok {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(preview)
}

// previewedJob returns the job that a query describes.
func previewedJob(now time.Time, route dispatch.Route, query url.Values) (dispatch.Job, error) {
	amounts := map[string]int{"tasks": 1, "millicores": 1000, "memory_mib": 0, "estimate_ms": 0}
	limits := map[string]int{"tasks": maxPreviewTasks}
	for name := range amounts {
		text := query.Get(name)
		if text == "" {
			continue
		}
		limit := limits[name]
		if limit == 0 {
			limit = maxPreviewAmount
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > limit || (name == "tasks" && n == 0) {
			return dispatch.Job{}, &previewQueryError{name: name, value: text}
		}
		amounts[name] = n
	}
	return dispatch.Job{
		Route: route.Name, Pool: route.Pool, Urgency: route.Urgency, MaxAttempts: route.MaxAttempts,
		Stretch: route.Stretch, Slack: route.Slack, Arrived: now, CallerDeadline: now.Add(route.Timeout),
		Steps: []dispatch.Step{{
			Tasks:    amounts["tasks"],
			Needs:    dispatch.Resources{Millicores: amounts["millicores"], Memory: amounts["memory_mib"]},
			Estimate: time.Duration(amounts["estimate_ms"]) * time.Millisecond,
			Rack:     query.Get("rack"),
		}},
	}, nil
}

// A previewQueryError reports a parameter of a preview that is not an acceptable number.
type previewQueryError struct{ name, value string }

// Error returns the name and the value of the parameter.
func (e *previewQueryError) Error() string { return fmt.Sprintf("parameter %s: %q", e.name, e.value) }
