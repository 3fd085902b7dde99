//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxLease is the longest lease that a worker grants (hold_max_ms).
	maxLease = time.Second
	// stopTime is how long a worker takes to stop a run (at most stop_ms).
	stopTime = 20 * time.Millisecond
	// maxListedEnds is the largest number of ends in one answer.
	maxListedEnds = 500
)

// workerConfig describes a worker.
type workerConfig struct {
	id, service, zone, kind, rack string
	millicores                    int
	// speed divides the run times of tasks. Zero means 1.
	speed float64
}

// startEvent is a run that a worker has begun.
type startEvent struct {
	at     time.Time
	task   string
	worker workerConfig
	// ended is when the run ended, or zero.
	ended time.Time
}

// history holds the starts at all workers. It is safe for concurrent use.
type history struct {
	mu     sync.Mutex
	starts []*startEvent
}

func (h *history) add(e *startEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts = append(h.starts, e)
}

// end records the end of a run.
func (h *history) end(e *startEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.ended = time.Now()
}

// of returns the starts of the tasks of a job, in the order of time.
func (h *history) of(job string) []startEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []startEvent
	for _, e := range h.starts {
		if strings.HasPrefix(e.task, job+".") {
			found = append(found, *e)
		}
	}
	return found
}

// run is a run that goes on.
type run struct {
	number   int
	needs    int
	since    time.Time
	runTime  time.Duration
	stopping bool
	timer    *time.Timer
	event    *startEvent
}

// workload is what the tasks of a job need.
type workload struct {
	millicores int
	// runTime is the run time of a task on a worker of speed 1. The run times of the tasks
	// differ from it: its logarithm has the deviation uneven.
	runTime time.Duration
	uneven  float64
}

// of returns the run time of a task on a worker of speed 1. Each run of it takes as long.
func (l workload) of(task string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(task))
	rng := rand.New(rand.NewPCG(hash.Sum64(), 0))
	return time.Duration(float64(l.runTime) * math.Exp(l.uneven*rng.NormFloat64()))
}

// A worker is a stand-in for a worker of the platform, as PROTOCOL.md specifies it: leases,
// fencing tokens, run numbers, ends that are listed until they are acknowledged, and guarded
// capacity. The result of each run is done. It is safe for concurrent use.
type worker struct {
	cfg      workerConfig
	record   *record
	history  *history
	workload func(task string) workload
	born     time.Time
	server   *http.Server

	mu       sync.Mutex
	token    uint64
	leaseEnd time.Duration
	lapse    *time.Timer
	running  map[string]*run
	finished [][]any
	ends     int64
	// highest holds the highest run of each task that was stopped or has ended.
	highest map[string]int
	changed chan struct{}
	ended   bool
}

// startWorker starts a worker that listens on listener.
func startWorker(cfg workerConfig, listener net.Listener, record *record, history *history, load func(task string) workload) *worker {
	w := &worker{
		cfg: cfg, record: record, history: history, workload: load, born: time.Now(),
		running: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /run-start", w.command(w.startRun))
	mux.HandleFunc("POST /run-stop", w.command(w.stopRun))
	mux.HandleFunc("POST /hold", w.command(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

// close ends the worker, its runs and its connections at once.
func (w *worker) close() {
	w.mu.Lock()
	w.ended = true
	for _, r := range w.running {
		r.timer.Stop()
	}
	clear(w.running)
	w.mu.Unlock()
	_ = w.server.Close()
}

// entry returns the entry of the worker in the store.
func (w *worker) entry(address string, sequence int) []byte {
	text, err := json.Marshal(map[string]any{
		"service": w.cfg.service, "address": address, "zone": w.cfg.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "labels": []string{w.cfg.kind, w.cfg.rack},
		"capacity": map[string]int{"cpu": w.cfg.millicores, "mem_mb": 65536, "gpu": 0},
		"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "sequence": sequence,
	})
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return text
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// order is the body of any call to a worker.
type order struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	DeadlineMs float64 `json:"deadline_ms"`
	Token      uint64  `json:"fencing_token"`
	AckCursor  int64   `json:"ack_cursor"`
	WaitMs     int64   `json:"wait_ms"`
}

// command returns the handler of a call that answers with the status and the body that
// execute returns. execute is called with the lock held.
func (w *worker) command(execute func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Expect-Instance") != w.cfg.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ended {
			panic(http.ErrAbortHandler)
		}
		status, body := w.refusal("fence")
		if o.Token >= w.token {
			w.token = o.Token
			status, body = execute(r, o)
		}
		body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func (w *worker) refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend extends the lease of all runs to deadline, a time by the worker's clock.
func (w *worker) extend(deadline time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxLease))
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(w.leaseEnd-w.clock(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() < w.leaseEnd {
			return
		}
		for _, task := range slices.Sorted(maps.Keys(w.running)) {
			w.end(task, w.running[task], "lapsed")
		}
	})
}

// end ends r and lists its end.
func (w *worker) end(task string, r *run, how string) {
	if w.ended || w.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.history.end(r.event)
	w.ends++
	w.finished = append(w.finished, []any{w.ends, task, r.number, how, ""})
	w.record.note("run     %s run %d on %s, started at %.3f: %s", task, r.number, w.cfg.id, r.since.Sub(w.record.start).Seconds(), how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) startRun(_ *http.Request, o order) (int, map[string]any) {
	deadline := time.Duration(o.DeadlineMs * float64(time.Millisecond))
	load := w.workload(o.Task)
	used := 0
	for _, r := range w.running {
		used += r.needs
	}
	known := w.running[o.Task]
	switch {
	case known != nil && known.number == o.Run:
		return http.StatusOK, map[string]any{}
	case max(deadline, w.leaseEnd) <= w.clock():
		return w.refusal("late")
	case known != nil || o.Run <= w.highest[o.Task]:
		w.extend(deadline)
		return w.refusal("old")
	case used+load.millicores > w.cfg.millicores:
		w.extend(deadline)
		return w.refusal("room")
	}
	w.extend(deadline)
	runTime := load.of(o.Task)
	if w.cfg.speed > 0 {
		runTime = time.Duration(float64(runTime) / w.cfg.speed)
	}
	now := time.Now()
	r := &run{
		number: o.Run, needs: load.millicores, since: now, runTime: runTime,
		event: &startEvent{at: now, task: o.Task, worker: w.cfg},
	}
	w.running[o.Task] = r
	r.timer = time.AfterFunc(runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(o.Task, r, "done")
	})
	w.history.add(r.event)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stopRun(_ *http.Request, o order) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		r.timer.Stop()
		r.timer = time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(o.Task, r, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(r *http.Request, o order) (int, map[string]any) {
	if o.DeadlineMs > 0 {
		w.extend(time.Duration(o.DeadlineMs * float64(time.Millisecond)))
	}
	w.finished = slices.DeleteFunc(w.finished, func(f []any) bool { return f[0].(int64) <= o.AckCursor })
	if len(w.finished) == 0 && o.WaitMs > 0 {
		w.awaitEnd(r, time.Duration(o.WaitMs)*time.Millisecond)
	}
	running := make([][]any, 0, len(w.running))
	for task, r := range w.running {
		percent := min(100*time.Since(r.since)/r.runTime, 99)
		running = append(running, []any{task, r.number, "", int(percent), r.needs})
	}
	slices.SortFunc(running, func(a, b []any) int { return cmp.Compare(a[0].(string), b[0].(string)) })
	finished := slices.Clone(w.finished[:min(len(w.finished), maxListedEnds)])
	if finished == nil {
		finished = [][]any{}
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// awaitEnd releases the lock until a run ends, wait is over or the caller has left.
func (w *worker) awaitEnd(r *http.Request, wait time.Duration) {
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// String names the worker for the record.
func (c workerConfig) String() string {
	return fmt.Sprintf("%s (service %s, kind %s)", c.id, c.service, c.kind)
}
