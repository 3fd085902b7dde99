package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of a worker, as the pages give them.
const (
	heartbeatEvery = 1500 * time.Millisecond
	holdMax        = time.Second
)

// kind is what a life of a worker can run.
type kind struct {
	millicores, memory int
	labels             []string
	// guards is set if the worker rejects what does not fit.
	guards bool
}

// worker is a stand-in for a worker of the platform, which has one life after the other under
// its ID and address.
type worker struct {
	rig     *rig
	id      string
	address string
	zone    string

	mu       sync.Mutex
	life     *life
	state    string
	sequence int
	// healed is closed when a cut of the worker from all others ends. It is nil without a cut.
	healed chan struct{}
}

// life is one incarnation of a worker.
type life struct {
	w       *worker
	kind    kind
	born    time.Time
	server  *http.Server
	ended   chan struct{}
	mu      sync.Mutex
	dead    bool
	token   uint64
	lease   time.Duration
	running map[string]*workerRun
	// highest holds the highest run of each task that was stopped or has ended.
	highest  map[string]int
	finished [][]any
	count    int
	wake     chan struct{}
	// listedAt is when the first list of runs of this life was answered, or zero.
	listedAt time.Time
}

type workerRun struct {
	number  int
	started time.Time
	lasts   time.Duration
	need    need
	timer   *time.Timer
}

// begin starts a life. Its entry is in the store before the worker answers any call.
func (w *worker) begin(k kind) error {
	l := &life{
		w: w, kind: k, born: time.Now(), ended: make(chan struct{}),
		running: make(map[string]*workerRun), highest: make(map[string]int), wake: make(chan struct{}),
	}
	w.mu.Lock()
	w.life, w.state, w.sequence = l, "ready", 0
	w.mu.Unlock()
	w.register()
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	go func() {
		for {
			select {
			case <-l.ended:
				return
			case <-time.After(heartbeatEvery):
				w.register()
			}
		}
	}()
	w.rig.note("worker %s begins a life as %s born=%d", w.id, k, l.born.UnixMilli())
	return nil
}

func (k kind) String() string {
	return fmt.Sprintf("labels=%v cpu=%d guards=%t", k.labels, k.millicores, k.guards)
}

// entry returns the worker's entry in the store.
func (w *worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	entry := map[string]any{
		"service": w.rig.service, "address": w.address, "zone": w.zone, "version": "1.4.2", "slots": 8,
		"state": w.state, "cold_remaining_ms": 0, "sequence": w.sequence,
		"capacity": map[string]int{"cpu": w.life.kind.millicores, "mem_mb": w.life.kind.memory},
		"labels":   w.life.kind.labels, "born": w.life.born.UnixMilli(),
	}
	if w.state == "draining" {
		entry["remaining_ms"] = 2000
	}
	body, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return body
}

func (w *worker) register() { w.rig.store.put("keyed.servers", w.id, w.entry()) }

// drain makes the worker report that it is draining, and returns when the store has accepted
// that.
func (w *worker) drain() time.Time {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.register()
	w.rig.note("worker %s is draining", w.id)
	return time.Now()
}

// crash ends the present life at once.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	for _, r := range l.running {
		r.timer.Stop()
	}
	lost := len(l.running)
	for task, run := range l.running {
		w.rig.ended(w, task, run.number, "lost")
	}
	l.running = nil
	l.mu.Unlock()
	close(l.ended)
	_ = l.server.Close()
	w.rig.note("worker %s crashes with %d runs", w.id, lost)
}

// cut cuts the worker off for a time: calls get no answer, and its runs go on.
func (w *worker) cut(lasts time.Duration) {
	healed := make(chan struct{})
	w.mu.Lock()
	w.healed = healed
	w.mu.Unlock()
	w.rig.note("worker %s is cut off for %v", w.id, lasts)
	time.AfterFunc(lasts, func() {
		w.mu.Lock()
		w.healed = nil
		w.mu.Unlock()
		close(healed)
		w.rig.note("worker %s is no longer cut off", w.id)
	})
}

// delivered waits until the worker is not cut off, and reports whether the caller still waits.
func (w *worker) delivered(ctx context.Context) bool {
	w.mu.Lock()
	healed := w.healed
	w.mu.Unlock()
	if healed == nil {
		return true
	}
	select {
	case <-healed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healed != nil
}

// leave ends the present life and removes the worker's entry.
func (w *worker) leave() {
	w.crash()
	w.rig.store.put("keyed.servers", w.id, nil)
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	AckCursor  int    `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

func (l *life) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(rw, status, body)
}

func (l *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c command
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !l.w.delivered(r.Context()) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Expect-Instance") != l.w.id {
		l.answer(rw, http.StatusMisdirectedRequest, "")
		return
	}
	l.carryOut(r.Context(), rw, r.URL.Path, c)
}

// carryOut carries out a call. The caller holds l.mu.
func (l *life) carryOut(ctx context.Context, rw http.ResponseWriter, path string, c command) {
	if c.Token < l.token {
		l.answer(rw, http.StatusConflict, "fence")
		return
	}
	l.token = c.Token
	switch path {
	case "/run-start":
		l.start(rw, c)
	case "/run-stop":
		if run := l.running[c.Task]; run != nil && run.number <= c.Run {
			l.end(c.Task, "stopped")
		}
		l.highest[c.Task] = max(l.highest[c.Task], c.Run)
		l.answer(rw, http.StatusOK, "")
	case "/hold":
		l.hold(ctx, rw, c)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// extend moves the lease to until, but no further than holdMax from now.
func (l *life) extend(until time.Duration) {
	l.lease = max(l.lease, min(until, l.clock()+holdMax))
	time.AfterFunc(l.lease-l.clock()+time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.clock() <= l.lease {
			return
		}
		for task := range l.running {
			l.end(task, "lapsed")
		}
	})
}

// end ends a run and lists its end. The caller holds l.mu.
func (l *life) end(task, how string) {
	run := l.running[task]
	if run == nil || l.dead {
		return
	}
	run.timer.Stop()
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], run.number)
	l.count++
	l.finished = append(l.finished, []any{l.count, task, run.number, how, ""})
	close(l.wake)
	l.wake = make(chan struct{})
	l.w.rig.ended(l.w, task, run.number, how)
}

func (l *life) start(rw http.ResponseWriter, c command) {
	deadline := time.Duration(c.DeadlineMs) * time.Millisecond
	run := l.running[c.Task]
	switch {
	case run != nil && run.number == c.Run:
		l.answer(rw, http.StatusOK, "")
		return
	case run != nil || c.Run <= l.highest[c.Task]:
		l.answer(rw, http.StatusConflict, "old")
		return
	}
	l.extend(deadline)
	if deadline <= l.clock() {
		l.answer(rw, http.StatusConflict, "late")
		return
	}
	need, lasts := l.w.rig.needOf(c.Task)
	millicores, memory := need.millicores, need.memory
	for _, r := range l.running {
		millicores += r.need.millicores
		memory += r.need.memory
	}
	over := millicores > l.kind.millicores || memory > l.kind.memory
	if over && l.kind.guards {
		l.answer(rw, http.StatusConflict, "room")
		return
	}
	run = &workerRun{number: c.Run, started: time.Now(), lasts: lasts, need: need}
	run.timer = time.AfterFunc(lasts, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.running[c.Task] == run {
			l.end(c.Task, "done")
		}
	})
	l.running[c.Task] = run
	l.w.rig.started(start{
		at: time.Now(), worker: l.w, life: l, task: c.Task, number: c.Run, spec: c.Spec, need: need,
		used: millicores, listedAt: l.listedAt,
	})
	l.answer(rw, http.StatusOK, "")
}

func (l *life) hold(ctx context.Context, rw http.ResponseWriter, c command) {
	if c.DeadlineMs > 0 {
		l.extend(time.Duration(c.DeadlineMs) * time.Millisecond)
	}
	for len(l.finished) > 0 && l.finished[0][0].(int) <= c.AckCursor {
		l.finished = l.finished[1:]
	}
	if wait := min(c.WaitMs, 2000); wait > 0 && len(l.finished) == 0 {
		wake := l.wake
		l.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-ctx.Done():
		case <-l.ended:
		}
		l.mu.Lock()
		if l.dead {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for task, run := range l.running {
		percent := min(100*time.Since(run.started)/run.lasts, 99)
		running = append(running, []any{task, run.number, "", int(percent), run.need.millicores})
	}
	finished := append([][]any{}, l.finished[:min(len(l.finished), 500)]...)
	if l.listedAt.IsZero() {
		l.listedAt = time.Now()
	}
	if l.w.isCut() {
		panic(http.ErrAbortHandler) // the answer is lost
	}
	writeJSON(rw, http.StatusOK, map[string]any{
		"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli(), "running": running, "finished": finished,
	})
}
