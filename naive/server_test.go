package naive_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/naive"
)

// newBackend starts a backend server that counts task starts. The number of tasks given
// by failures fail first; the server echoes the payloads of the later ones. newBackend
// returns the server's address and the counter.
func newBackend(t *testing.T, failures int64) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	starts := new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if starts.Add(1) <= failures {
			http.Error(w, "the task failed", http.StatusInternalServerError)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), starts
}

// submit submits a job with one task for each payload in tasks, and returns the status and
// the results of the answer.
func submit(t *testing.T, s http.Handler, tasks ...string) (status string, results [][]byte) {
	t.Helper()
	var job struct {
		Key   string   `json:"key"`
		Route string   `json:"route"`
		Tasks [][]byte `json:"tasks"`
	}
	job.Key, job.Route = "k", "previews"
	for _, text := range tasks {
		job.Tasks = append(job.Tasks, []byte(text))
	}
	body, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body)))
	var answer struct {
		Status  string   `json:"status"`
		Results [][]byte `json:"results"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
		t.Fatal(err)
	}
	return answer.Status, answer.Results
}

func TestServerRetriesTasksUpToMaxAttempts(t *testing.T) {
	tests := []struct {
		name     string
		failures int64
		status   string
		starts   int64
	}{
		{"returns all results", 0, "complete", 2},
		{"retries after any error", 2, "complete", 4},
		{"fails after the last attempt", 100, "failed", 6}, // 2 tasks with 3 attempts each.
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr, starts := newBackend(t, tt.failures)
			s, err := naive.New(naive.Config{
				Servers: []netip.AddrPort{addr}, MaxRunning: 1, MaxAttempts: 3, Timeout: time.Minute,
			})
			is.NoErr(err)
			defer s.Close()
			status, results := submit(t, s, "first", "second")
			is.Equal(status, tt.status)
			is.Equal(starts.Load(), tt.starts)
			if status == "complete" {
				is.Equal(results, [][]byte{[]byte("first"), []byte("second")})
			}
		})
	}
}

func TestNewRejectsConfigurationOutOfRange(t *testing.T) {
	is := is.New(t)
	_, err := naive.New(naive.Config{})
	is.True(err != nil)
}
