package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var serverAddress = netip.MustParseAddrPort("127.0.1.1:9000")

// newTestWorker returns a worker with one server of 2 slots, 3 connections and
// speed 2.
func newTestWorker(is *is.I) (*Worker, *Server) {
	w, err := NewWorker(WorkerConfig{Servers: []ServerConfig{
		{Address: serverAddress, Slots: 2, Connections: 3, Speed: 2},
	}})
	is.NoErr(err)
	return w, w.Server(serverAddress)
}

// call is one request to a server. answer is nil until the request has ended, and stays
// nil if the server drops the connection.
type call struct {
	cancel context.CancelFunc
	start  time.Time
	took   time.Duration
	ended  bool
	answer *httptest.ResponseRecorder
}

// submit sends a task in a goroutine of its own and waits until all goroutines of
// the test are blocked.
func submit(s *Server, index int, payload string) *call {
	ctx, cancel := context.WithCancel(context.Background())
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/tasks", strings.NewReader(payload))
	req.Header.Set("Submission-Key", "key")
	req.Header.Set("Task-Index", strconv.Itoa(index))
	c := &call{cancel: cancel, start: time.Now()}
	go func() {
		defer func() {
			c.ended, c.took = true, time.Since(c.start)
			if r := recover(); r != nil && r != http.ErrAbortHandler {
				panic(r)
			}
		}()
		rec := httptest.NewRecorder()
		s.ServeHTTP(rec, req)
		c.answer = rec
	}()
	synctest.Wait()
	return c
}

func TestServerRunsSlotsAndRefusesBeyondConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, s := newTestWorker(is)
		var calls []*call
		for i := range 3 {
			calls = append(calls, submit(s, i, "run-time=100ms"))
		}
		refused := submit(s, 3, "run-time=100ms")
		is.True(refused.ended)
		is.Equal(refused.answer.Code, http.StatusServiceUnavailable)
		is.Equal(refused.answer.Header().Get("Not-Run"), "true")
		is.Equal(refused.answer.Header().Get("Running"), "2")
		is.Equal(refused.answer.Header().Get("Waiting"), "1")
		time.Sleep(time.Second)
		synctest.Wait()
		// 100 ms at speed 2 take 50 ms; the third task waits for a slot first.
		for i, took := range []time.Duration{50, 50, 100} {
			is.Equal(calls[i].took, took*time.Millisecond)
			is.Equal(calls[i].answer.Body.String(), "done:run-time=100ms")
		}
		is.Equal(w.Counter.Started(), 3)
		is.Equal(w.Counter.Finished(), 3)
		is.Equal(w.Counter.Starts("key", 3), 0)
		running, waiting := w.MaxLoad()
		is.Equal(running, 2)
		is.Equal(waiting, 1)
	})
}

func TestServerDropsWaitingTaskOfDisconnectedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, s := newTestWorker(is)
		started := submit(s, 0, "")
		submit(s, 1, "")
		waiting := submit(s, 2, "")
		waiting.cancel()
		started.cancel()
		synctest.Wait()
		is.True(waiting.ended)
		is.True(!started.ended) // a started task runs to its end
		last := submit(s, 3, "")
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(last.answer.Code, http.StatusOK)
		is.Equal(w.Counter.Starts("key", 0), 1)
		is.Equal(w.Counter.Starts("key", 2), 0)
		is.Equal(w.Counter.Finished(), 3)
	})
}

func TestServerFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		faults  ServerFaults
		payload string
		code    int // 0 for a dropped connection
		took    time.Duration
		starts  int
	}{
		{"none", ServerFaults{}, "", 200, 25 * time.Millisecond, 1},
		{"failing task", ServerFaults{}, "run-time=20ms fail=1", 500, 10 * time.Millisecond, 1},
		{"fail all", ServerFaults{FailAll: true}, "", 500, 0, 1},
		{"slow", ServerFaults{SlowFactor: 4}, "", 200, 100 * time.Millisecond, 1},
		{"late start", ServerFaults{LateStart: time.Second}, "", 200, 1025 * time.Millisecond, 1},
		{"leaving", ServerFaults{Leaving: true}, "", 503, 0, 0},
		{"vanished", ServerFaults{Vanish: true}, "", 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w, s := newTestWorker(is)
				s.SetFaults(test.faults)
				c := submit(s, 0, test.payload)
				time.Sleep(time.Minute)
				synctest.Wait()
				is.True(c.ended)
				is.Equal(c.took, test.took)
				is.Equal(w.Counter.Starts("key", 0), test.starts)
				is.Equal(w.Counter.Finished(), test.starts)
				if test.code == 0 {
					is.True(c.answer == nil)
					return
				}
				is.Equal(c.answer.Code, test.code)
				is.Equal(c.answer.Header().Get("Not-Run") == "true", test.starts == 0)
				is.Equal(c.answer.Header().Get("Leaving") == "true", test.faults.Leaving)
			})
		})
	}
}

func TestVanishedServerRunsStartedTasksAndDropsWaitingOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, s := newTestWorker(is)
		var calls []*call
		for i := range 3 {
			calls = append(calls, submit(s, i, ""))
		}
		s.SetFaults(ServerFaults{Vanish: true})
		synctest.Wait()
		for _, c := range calls {
			is.True(c.ended)
			is.True(c.answer == nil)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(w.Counter.Started(), 2) // the third never starts
		is.Equal(w.Counter.Finished(), 2)
		s.SetFaults(ServerFaults{})
		c := submit(s, 3, "")
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(c.answer.Code, http.StatusOK)
	})
}

func TestServerDropsTaskOfClientDisconnectedBeforeLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, s := newTestWorker(is)
		s.SetFaults(ServerFaults{LateStart: time.Second})
		c := submit(s, 0, "")
		c.cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(w.Counter.Starts("key", 0), 0)
		running, waiting := s.Load()
		is.Equal(running+waiting, 0)
	})
}

func TestNewWorkerRefusesServerConfigOutOfRange(t *testing.T) {
	for field, cfg := range map[string]ServerConfig{
		"slots":       {Connections: 1, Speed: 1},
		"connections": {Slots: 2, Connections: 1, Speed: 1},
		"speed":       {Slots: 1, Connections: 1},
	} {
		_, err := NewWorker(WorkerConfig{Servers: []ServerConfig{cfg}})
		is.New(t).Equal(err, error(&ServerConfigError{Field: field}))
	}
}
