package standin

import (
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

func TestStartCounterCountsTaskStartedTwice(t *testing.T) {
	is := is.New(t)
	w, _ := newTestWorker(is)
	w.Counter.start("a", 0)
	w.Counter.start("a", 2)
	w.Counter.start("b", 2)
	w.Counter.start("a", 2)
	w.Counter.start("a", 2)
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
