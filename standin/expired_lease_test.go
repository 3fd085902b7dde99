package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExpiredLeaseIsNotProlonged guards against a run that outlives its lease because the timer of
// the lease is late, and a command that prolongs the lease comes first.
func TestExpiredLeaseIsNotProlonged(t *testing.T) {
	is := is.New(t)
	var lapsedAt time.Time
	w := NewLeasedWorker(LeasedWorkerConfig{ID: "w-0", MaxTasks: 1, Lapsed: func(_ string, at time.Time) { lapsedAt = at }})
	w.running["x.0.0.0"] = &workerRun{number: 1, startedAt: time.Now(), duration: time.Hour, timer: time.NewTimer(time.Hour)}
	w.leaseEnd = w.clockTime() - time.Second
	r := httptest.NewRequest(http.MethodPost, "/hold", strings.NewReader(`{"fencing_token":1,"deadline_ms":5000}`))
	r.Header.Set("X-Expect-Instance", "w-0")
	answer := httptest.NewRecorder()
	w.ServeHTTP(answer, r)
	is.Equal(answer.Code, http.StatusOK)
	is.True(strings.Contains(answer.Body.String(), `"lapsed"`))
	is.Equal(len(w.running), 0)
	is.True(time.Since(lapsedAt) >= time.Second)
}
