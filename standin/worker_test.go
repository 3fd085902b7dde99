package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// request sends one request to a handler.
func request(h http.Handler, method, target, body string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequest(method, target, strings.NewReader(body)))
	return rec
}

func TestJudgeSeesTaskStartedTwice(t *testing.T) {
	is := is.New(t)
	w, _ := newTestWorker(is)
	w.Judge.start("a", 0)
	w.Judge.start("a", 2)
	w.Judge.start("b", 2)
	w.Judge.start("a", 2)
	w.Judge.start("a", 2)
	rec := request(w.Control(), http.MethodGet, "/v1/starts?keys=1", "")
	is.Equal(rec.Body.String(), `{"started":5,"finished":0,"started-twice":1,`+
		`"twice":[{"key":"a","index":2,"count":3}],"max-running":0,"max-waiting":0,`+
		`"keys":2,"by-key":{"a":[1,0,3],"b":[0,0,1]}}`)
	request(w.Control(), http.MethodDelete, "/v1/starts", "")
	rec = request(w.Control(), http.MethodGet, "/v1/starts", "")
	is.Equal(rec.Body.String(), `{"started":0,"finished":0,"started-twice":0,`+
		`"twice":[],"max-running":0,"max-waiting":0,"keys":0}`)
}

func TestControlSetsFaults(t *testing.T) {
	is := is.New(t)
	w, s := newTestWorker(is)
	body := `{"fail-all":true,"slow-factor":2,"late-start":"3s","leaving":true}`
	is.Equal(request(w.Control(), http.MethodPut, "/v1/faults?server=127.0.1.1:9000", body).Code, http.StatusNoContent)
	is.Equal(s.Faults(), ServerFaults{FailAll: true, SlowFactor: 2, LateStart: 3 * time.Second, Leaving: true})
	is.Equal(request(w.Control(), http.MethodPut, "/v1/faults", "{}").Code, http.StatusNoContent)
	is.Equal(s.Faults(), ServerFaults{})
	is.Equal(request(w.Control(), http.MethodPut, "/v1/faults?server=127.0.1.2:9000", "{}").Code, http.StatusNotFound)
	is.Equal(request(w.Control(), http.MethodPut, "/v1/faults", `{"typo":1}`).Code, http.StatusBadRequest)
}

func TestLogRefusesAppendsOverLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := NewLog(LogConfig{AppendDelay: -1, AppendsPerSecond: 2, Now: func() time.Time { return now }})
	write := func() int {
		return request(l, http.MethodPost, "/v1/streams/s/records", "x").Code
	}
	is.Equal([]int{write(), write(), write()}, []int{200, 200, 429})
	now = now.Add(time.Second)
	is.Equal(write(), 200)
}

func TestLogForgetsRecordsAfterRetention(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := NewLog(LogConfig{AppendDelay: -1, Retention: time.Minute, Now: func() time.Time { return now }})
	read := func(from string) string {
		return request(l, http.MethodGet, "/v1/streams/s/records?from="+from, "").Body.String()
	}
	request(l, http.MethodPost, "/v1/streams/s/records", "a")
	now = now.Add(time.Second)
	request(l, http.MethodPost, "/v1/streams/s/records", "b")
	is.Equal(read("2"), `{"first":1,"next":3,"records":[{"offset":2,"body":"Yg=="}]}`)
	now = now.Add(time.Minute)
	is.Equal(read("1"), `{"first":2,"next":3,"records":[{"offset":2,"body":"Yg=="}]}`)
	now = now.Add(time.Second)
	is.Equal(read("1"), `{"first":3,"next":3,"records":[]}`)
}

func TestLogFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	l := NewLog(LogConfig{})
	body := `{"down":true,"delay":"2s","lose-answers":3,"drop-requests":4}`
	is.Equal(request(l, http.MethodPut, "/v1/faults", body).Code, http.StatusNoContent)
	is.Equal(l.Faults(), LogFaults{Down: true, Delay: 2 * time.Second, LoseAnswers: 3, DropRequests: 4})
}

func TestInstancesOverHTTP(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	in := NewInstances(InstancesConfig{Lag: time.Second, Now: func() time.Time { return now }})
	list := func() (n int) {
		var body struct{ Instances []Instance }
		is.NoErr(json.Unmarshal(request(in, http.MethodGet, "/v1/instances", "").Body.Bytes(), &body))
		return len(body.Instances)
	}
	rec := request(in, http.MethodPut, "/v1/instances/127.0.2.1:7000", `{"kind":"entry","zone":"hr-north-a"}`)
	is.Equal(rec.Code, http.StatusNoContent)
	is.Equal(list(), 0)
	now = now.Add(time.Second)
	is.Equal(list(), 1)
	is.Equal(request(in, http.MethodDelete, "/v1/instances/127.0.2.1:7000", "").Code, http.StatusNoContent)
	is.Equal(list(), 1)
	now = now.Add(time.Second)
	is.Equal(list(), 0)
}
