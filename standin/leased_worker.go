package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// LeasedWorkerConfig configures a LeasedWorker.
type LeasedWorkerConfig struct {
	// ID names the worker.
	ID string
	// RunTime is how long each task takes.
	RunTime time.Duration
	// MaxTasks is the number of tasks that fit.
	MaxTasks int
	// ClockRate is how fast the worker's clock runs. Zero means 1.
	ClockRate float64
	// Started and Ended, unless nil, are told of each run's begin and end.
	Started, Ended func(task string)
}

// A LeasedWorker is a stand-in for a worker of the platform: it runs tasks under
// a lease, obeys the highest fencing token, and lists what ends. It is safe for
// concurrent use.
type LeasedWorker struct {
	cfg   LeasedWorkerConfig
	start time.Time

	mu       sync.Mutex
	token    uint64
	lease    time.Duration
	running  map[string]*leasedRun
	finished []finishedRow
	next     int64
	ended    chan struct{}
	starts   map[string]int
	// highest is the highest number of each task's runs stopped or ended here.
	highest map[string]int
}

type leasedRun struct {
	number int
	began  time.Time
	timer  *time.Timer
}

// finishedRow is the end of a run, as it is listed.
type finishedRow struct {
	sequence int64
	task     string
	run      int
	how      string
}

// MarshalJSON encodes the row as an array.
func (f finishedRow) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{f.sequence, f.task, f.run, f.how, ""})
}

// workerOrder is the body of any order to a LeasedWorker.
type workerOrder struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
}

// maxLease is the longest lease that a LeasedWorker grants.
const maxLease = time.Second

// NewLeasedWorker returns a worker without tasks.
func NewLeasedWorker(cfg LeasedWorkerConfig) *LeasedWorker {
	if cfg.ClockRate == 0 {
		cfg.ClockRate = 1
	}
	return &LeasedWorker{
		cfg:     cfg,
		start:   time.Now(),
		running: make(map[string]*leasedRun),
		ended:   make(chan struct{}),
		starts:  make(map[string]int),
		highest: make(map[string]int),
	}
}

// ListRecord returns the worker's entry in the store, for an address and a zone.
func (w *LeasedWorker) ListRecord(service, address, zone string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"state":"ready","slots":8,
		"capacity":{"cpu":%d,"mem_mb":1000},"labels":["a","r1-1"],"born":%d,"sequence":1}`,
		service, address, zone, w.cfg.MaxTasks*1000, w.start.UnixMilli())
}

// Starts returns how often each task was started.
func (w *LeasedWorker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := make(map[string]int, len(w.starts))
	for task, n := range w.starts {
		starts[task] = n
	}
	return starts
}

// ServeHTTP serves the orders to the worker.
func (w *LeasedWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	router := chi.NewRouter()
	router.Post("/run-start", w.order(w.serveStart))
	router.Post("/run-stop", w.order(w.serveStop))
	router.Post("/hold", w.order(w.serveHold))
	router.ServeHTTP(rw, r)
}

// order decodes an order, checks whom it is for and its token, and calls serve
// with the lock held.
func (w *LeasedWorker) order(serve func(http.ResponseWriter, *http.Request, workerOrder)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o workerOrder
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Expect-Instance") != w.cfg.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if o.Token < w.token {
			w.refuse(rw, "fence")
			return
		}
		w.token = o.Token
		serve(rw, r, o)
	}
}

func (w *LeasedWorker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.start)) * w.cfg.ClockRate)
}

func (w *LeasedWorker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	writeJSON(rw, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

// extend moves the end of the lease, which ends all that runs.
func (w *LeasedWorker) extend(deadline time.Duration) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxLease))
	left := time.Duration(float64(w.lease-w.clock()) / w.cfg.ClockRate)
	time.AfterFunc(left+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clock() <= w.lease {
			return
		}
		for task := range w.running {
			w.finish(task, "lapsed")
		}
	})
}

// finish ends a run. The lock is held.
func (w *LeasedWorker) finish(task, how string) {
	r := w.running[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.number)
	if w.cfg.Ended != nil {
		w.cfg.Ended(task)
	}
	w.next++
	w.finished = append(w.finished, finishedRow{w.next, task, r.number, how})
	close(w.ended)
	w.ended = make(chan struct{})
}

func (w *LeasedWorker) serveStart(rw http.ResponseWriter, _ *http.Request, o workerOrder) {
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	switch {
	case deadline <= w.clock():
		w.refuse(rw, "late")
		return
	case len(w.running) >= w.cfg.MaxTasks:
		w.refuse(rw, "room")
		return
	}
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		writeJSON(rw, map[string]any{"clock_ms": w.clock().Milliseconds()})
		return
	}
	if o.Run <= w.highest[o.Task] || w.running[o.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	w.extend(deadline)
	w.starts[o.Task]++
	if w.cfg.Started != nil {
		w.cfg.Started(o.Task)
	}
	r := &leasedRun{number: o.Run, began: time.Now()}
	r.timer = time.AfterFunc(w.cfg.RunTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == r {
			w.finish(o.Task, "done")
		}
	})
	w.running[o.Task] = r
	writeJSON(rw, map[string]any{"clock_ms": w.clock().Milliseconds()})
}

func (w *LeasedWorker) serveStop(rw http.ResponseWriter, _ *http.Request, o workerOrder) {
	if r := w.running[o.Task]; r != nil && r.number <= o.Run {
		w.finish(o.Task, "stopped")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	writeJSON(rw, map[string]any{"clock_ms": w.clock().Milliseconds()})
}

func (w *LeasedWorker) serveHold(rw http.ResponseWriter, r *http.Request, o workerOrder) {
	if o.DeadlineMs > 0 {
		w.extend(time.Duration(o.DeadlineMs) * time.Millisecond)
	}
	for len(w.finished) > 0 && w.finished[0].sequence <= o.AckCursor {
		w.finished = w.finished[1:]
	}
	if len(w.finished) == 0 && o.WaitMs > 0 {
		w.await(r, time.Duration(o.WaitMs)*time.Millisecond)
	}
	running := [][]any{}
	for task, run := range w.running {
		percent := 100 * time.Since(run.began) / (w.cfg.RunTime + 1)
		running = append(running, []any{task, run.number, "", int(percent), 1000})
	}
	finished := w.finished
	if finished == nil {
		finished = []finishedRow{}
	}
	writeJSON(rw, map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.start.UnixMilli(), "running": running, "finished": finished,
	})
}

// await waits for an end, with the lock given up meanwhile.
func (w *LeasedWorker) await(r *http.Request, wait time.Duration) {
	ended := w.ended
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-r.Context().Done():
	}
}
