package naive

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// maxKeys is the maximum number of keys in one response.
const maxKeys = 10_000

func (s *Server) routes() chi.Router {
	r := chi.NewRouter()
	r.Post("/v1/keys", s.serveKeys)
	r.Post("/v1/jobs", s.serveJob)
	r.Delete("/v1/jobs/{key}", s.serveCancel)
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { s.counters.write(w) })
	return r
}

func (s *Server) serveKeys(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("count"))
	if err != nil || count < 1 || count > maxKeys {
		http.Error(w, "count is out of range", http.StatusBadRequest)
		return
	}
	keys := make([]string, count)
	for i := range keys {
		keys[i] = uuid.NewString()
	}
	writeJSON(w, struct {
		Keys []string `json:"keys"`
	}{keys})
}

func (s *Server) serveJob(w http.ResponseWriter, r *http.Request) {
	var job struct {
		Key     string   `json:"key"`
		Route   string   `json:"route"`
		Timeout string   `json:"timeout"`
		Tasks   [][]byte `json:"tasks"`
	}
	if err := json.NewDecoder(r.Body).Decode(&job); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if job.Key == "" {
		job.Key = uuid.NewString()
	}
	timeout, err := time.ParseDuration(job.Timeout)
	if err != nil {
		timeout = s.cfg.Timeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	s.setCancel(job.Key, cancel)
	defer s.setCancel(job.Key, nil)
	results, err := s.runJob(ctx, job.Key, job.Route, job.Tasks)
	writeAnswer(w, job.Key, results, err)
}

// runJob queues one task for each payload, waits until all tasks have ended, and returns
// their results in the order of the payloads. If tasks failed, it returns the error of
// the one with the lowest index. If ctx ends first, it returns ctx.Err() at once.
func (s *Server) runJob(ctx context.Context, key, route string, payloads [][]byte) ([][]byte, error) {
	var wait sync.WaitGroup
	wait.Add(len(payloads))
	tasks := make([]*task, len(payloads))
	for i, p := range payloads {
		tasks[i] = &task{ctx: ctx, key: key, route: route, index: i, payload: p, done: wait.Done}
	}
	s.queue.push(tasks)
	ended := make(chan struct{})
	go func() {
		wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	results := make([][]byte, len(tasks))
	for i, t := range tasks {
		if t.err != nil {
			return nil, t.err
		}
		results[i] = t.result
	}
	return results, nil
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cancel := s.cancels[chi.URLParam(r, "key")]
	s.mu.Unlock()
	if cancel == nil {
		http.Error(w, "no such job here", http.StatusNotFound)
		return
	}
	cancel()
	w.WriteHeader(http.StatusNoContent)
}

// setCancel stores the function that cancels the job with the given key, or
// removes it if cancel is nil.
func (s *Server) setCancel(key string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel == nil {
		delete(s.cancels, key)
		return
	}
	s.cancels[key] = cancel
}

func writeAnswer(w http.ResponseWriter, key string, results [][]byte, err error) {
	var answer struct {
		Key     string   `json:"key"`
		Status  string   `json:"status"`
		Reason  string   `json:"reason,omitempty"`
		Message string   `json:"message,omitempty"`
		Results [][]byte `json:"results,omitempty"`
	}
	answer.Key = key
	answer.Status = "complete"
	answer.Results = results
	if err != nil {
		answer.Status = "failed"
		answer.Reason = reason(err)
		answer.Message = err.Error()
	}
	writeJSON(w, answer)
}

// reason returns the reason that is reported to the caller of a job that failed with err.
func reason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	default:
		return "task-failed"
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
