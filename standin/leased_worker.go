package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// LeasedWorkerConfig configures a LeasedWorker.
type LeasedWorkerConfig struct {
	// ID names the worker.
	ID string
	// RunTime is how long each task takes, and RunTimeOf, unless it is nil, returns it
	// for a task by its name instead.
	RunTime   time.Duration
	RunTimeOf func(task string) time.Duration
	// LateBy, unless it is nil, is called for each start and each stop. If the result is
	// not zero, the command gets no answer and is carried out so much later.
	LateBy func() time.Duration
	// MaxTasks is the largest number of tasks that run at once.
	MaxTasks int
	// ClockRate is the speed of the worker's clock relative to real time. Zero
	// means 1.
	ClockRate float64
	// Started is called with the task's name when a run starts, and Ended when it
	// ends. Either may be nil. The worker's lock is held during the call, so they
	// must not call the worker.
	Started, Ended func(task string)
	// Lapsed is called before Ended with the task's name and the time at which the run
	// ended, if it ended with its lease: the worker may notice that late. It may be nil.
	Lapsed func(task string, at time.Time)
}

// A LeasedWorker is a stand-in for a worker of the platform. It runs tasks under a
// lease, refuses commands whose fencing token is lower than the highest received,
// and lists the runs that ended until they are acknowledged. It is safe for
// concurrent use.
type LeasedWorker struct {
	cfg   LeasedWorkerConfig
	start time.Time

	mu sync.Mutex
	// token is the highest fencing token received.
	token uint64
	// leaseEnd is the end of the lease by the worker's clock.
	leaseEnd time.Duration
	// running holds the current run of each task, by the task's name.
	running map[string]*workerRun
	// finished holds the runs that ended and are not acknowledged, in the order of
	// their sequence numbers. lastSequence is the last number given.
	finished     []finishedRun
	lastSequence int64
	// runEnded is closed and replaced when a run ends.
	runEnded chan struct{}
	// startCounts holds, by the task's name, how often the task was started.
	startCounts map[string]int
	// highestRun holds, by the task's name, the highest number of a run of the task
	// that has ended or was to be stopped on this worker.
	highestRun map[string]int
}

// workerRun is a current run of a task.
type workerRun struct {
	number    int
	startedAt time.Time
	duration  time.Duration
	timer     *time.Timer
}

// finishedRun is a run that ended, in the form in which the answer to a poll lists it.
type finishedRun struct {
	sequence int64
	task     string
	run      int
	outcome  string
}

// MarshalJSON encodes the run as an array of its sequence number, task, run number,
// outcome and an empty string.
func (f finishedRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{f.sequence, f.task, f.run, f.outcome, ""})
}

// workerCommand is the body of every command to a LeasedWorker.
type workerCommand struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
}

// maxLease is the longest time for which a LeasedWorker extends its lease.
const maxLease = time.Second

// NewLeasedWorker returns a LeasedWorker without tasks.
func NewLeasedWorker(cfg LeasedWorkerConfig) *LeasedWorker {
	if cfg.ClockRate == 0 {
		cfg.ClockRate = 1
	}
	return &LeasedWorker{
		cfg:         cfg,
		start:       time.Now(),
		running:     make(map[string]*workerRun),
		runEnded:    make(chan struct{}),
		startCounts: make(map[string]int),
		highestRun:  make(map[string]int),
	}
}

// ListRecord returns the worker's record in the platform's list of workers, for a
// service, an address and a zone. Its capacity is one CPU core per task.
func (w *LeasedWorker) ListRecord(service, address, zone string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"state":"ready","slots":8,
		"capacity":{"cpu":%d,"mem_mb":1000},"labels":["a","r1-1"],"born":%d,"sequence":1}`,
		service, address, zone, w.cfg.MaxTasks*1000, w.start.UnixMilli())
}

// Starts returns, by the task's name, how often each task was started.
func (w *LeasedWorker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	starts := make(map[string]int, len(w.startCounts))
	for task, n := range w.startCounts {
		starts[task] = n
	}
	return starts
}

// ServeHTTP executes one command: start a run, stop a run, or poll.
func (w *LeasedWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	router := chi.NewRouter()
	router.Post("/run-start", w.handleCommand(w.serveStart, w.cfg.LateBy))
	router.Post("/run-stop", w.handleCommand(w.serveStop, w.cfg.LateBy))
	router.Post("/hold", w.handleCommand(w.servePoll, nil))
	router.ServeHTTP(rw, r)
}

// handleCommand decodes a command, checks the expected worker ID and the fencing
// token, and calls serve with the lock held. lateBy is a LateBy or nil.
func (w *LeasedWorker) handleCommand(serve func(http.ResponseWriter, *http.Request, workerCommand), lateBy func() time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var cmd workerCommand
		if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Expect-Instance") != w.cfg.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		execute := func(rw http.ResponseWriter) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expireLease()
			if cmd.Token < w.token {
				w.refuse(rw, "fence")
				return
			}
			w.token = cmd.Token
			serve(rw, r, cmd)
		}
		if lateBy != nil {
			if late := lateBy(); late > 0 {
				time.AfterFunc(late, func() { execute(httptest.NewRecorder()) })
				<-r.Context().Done() // the sender gives up
				return
			}
		}
		execute(rw)
	}
}

// clockTime returns the time since the worker was created, by the worker's clock.
func (w *LeasedWorker) clockTime() time.Duration {
	return time.Duration(float64(time.Since(w.start)) * w.cfg.ClockRate)
}

// refuse answers 409 with the reason and the time by the worker's clock.
func (w *LeasedWorker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	writeJSON(rw, map[string]any{"clock_ms": w.clockTime().Milliseconds(), "reason": reason})
}

// extendLease moves the end of the lease forward to deadline, a time by the worker's
// clock, but at most to maxLease from now. When the lease expires, all runs end with
// the outcome "lapsed".
func (w *LeasedWorker) extendLease(deadline time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clockTime()+maxLease))
	remaining := time.Duration(float64(w.leaseEnd-w.clockTime()) / w.cfg.ClockRate)
	time.AfterFunc(remaining+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLease()
	})
}

// expireLease ends all runs if the lease has expired. It is called before each command, too, so
// that none prolongs a lease whose timer is late. The caller holds the lock.
func (w *LeasedWorker) expireLease() {
	late := time.Duration(float64(w.clockTime()-w.leaseEnd) / w.cfg.ClockRate)
	if late <= 0 {
		return
	}
	for task := range w.running {
		if w.cfg.Lapsed != nil {
			w.cfg.Lapsed(task, time.Now().Add(-late))
		}
		w.endRun(task, "lapsed")
	}
}

// endRun ends the run of a task, if there is one, and lists it as finished. The
// caller holds the lock.
func (w *LeasedWorker) endRun(task, outcome string) {
	r := w.running[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.highestRun[task] = max(w.highestRun[task], r.number)
	if w.cfg.Ended != nil {
		w.cfg.Ended(task)
	}
	w.lastSequence++
	w.finished = append(w.finished, finishedRun{w.lastSequence, task, r.number, outcome})
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

func (w *LeasedWorker) serveStart(rw http.ResponseWriter, _ *http.Request, cmd workerCommand) {
	deadline := time.Duration(cmd.DeadlineMs) * time.Millisecond
	switch {
	case deadline <= w.clockTime():
		w.refuse(rw, "late")
		return
	case len(w.running) >= w.cfg.MaxTasks:
		w.refuse(rw, "room")
		return
	}
	if r := w.running[cmd.Task]; r != nil && r.number == cmd.Run {
		writeJSON(rw, map[string]any{"clock_ms": w.clockTime().Milliseconds()})
		return
	}
	if cmd.Run <= w.highestRun[cmd.Task] || w.running[cmd.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	w.extendLease(deadline)
	w.startCounts[cmd.Task]++
	if w.cfg.Started != nil {
		w.cfg.Started(cmd.Task)
	}
	r := &workerRun{number: cmd.Run, startedAt: time.Now(), duration: w.cfg.RunTime}
	if w.cfg.RunTimeOf != nil {
		r.duration = w.cfg.RunTimeOf(cmd.Task)
	}
	r.timer = time.AfterFunc(r.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[cmd.Task] == r {
			w.endRun(cmd.Task, "done")
		}
	})
	w.running[cmd.Task] = r
	writeJSON(rw, map[string]any{"clock_ms": w.clockTime().Milliseconds()})
}

func (w *LeasedWorker) serveStop(rw http.ResponseWriter, _ *http.Request, cmd workerCommand) {
	if r := w.running[cmd.Task]; r != nil && r.number <= cmd.Run {
		w.endRun(cmd.Task, "stopped")
	}
	w.highestRun[cmd.Task] = max(w.highestRun[cmd.Task], cmd.Run)
	writeJSON(rw, map[string]any{"clock_ms": w.clockTime().Milliseconds()})
}

// servePoll extends the lease, drops the finished runs that the caller
// acknowledges, and answers with the running and the finished ones.
func (w *LeasedWorker) servePoll(rw http.ResponseWriter, r *http.Request, cmd workerCommand) {
	if cmd.DeadlineMs > 0 {
		w.extendLease(time.Duration(cmd.DeadlineMs) * time.Millisecond)
	}
	for len(w.finished) > 0 && w.finished[0].sequence <= cmd.AckCursor {
		w.finished = w.finished[1:]
	}
	if len(w.finished) == 0 && cmd.WaitMs > 0 {
		w.awaitEnd(r, time.Duration(cmd.WaitMs)*time.Millisecond)
		w.expireLease()
	}
	running := [][]any{}
	for task, run := range w.running {
		percent := 100 * time.Since(run.startedAt) / (run.duration + 1)
		running = append(running, []any{task, run.number, "", int(percent), 1000})
	}
	finished := w.finished
	if finished == nil {
		finished = []finishedRun{}
	}
	writeJSON(rw, map[string]any{
		"clock_ms": w.clockTime().Milliseconds(), "born": w.start.UnixMilli(), "running": running, "finished": finished,
	})
}

// awaitEnd waits until a run ends, the duration wait is over or the client
// disconnects. It releases the lock meanwhile and holds it again when it returns.
func (w *LeasedWorker) awaitEnd(r *http.Request, wait time.Duration) {
	runEnded := w.runEnded
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-runEnded:
	case <-timer.C:
	case <-r.Context().Done():
	}
}
