package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// A fakeSubmitter answers a job with the result of submit and cancels it with
// cancel. It fails to issue keys if issuer is nil.
type fakeSubmitter struct {
	issuer *caller.KeyIssuer
	submit func(context.Context, caller.Job) (caller.Answer, error)
	cancel func(caller.Key) error
}

func (s fakeSubmitter) Submit(ctx context.Context, job caller.Job) (caller.Answer, error) {
	return s.submit(ctx, job)
}

func (s fakeSubmitter) IssueKeys(n int) ([]caller.Key, error) {
	if s.issuer == nil {
		return nil, errors.New("no keys")
	}
	keys := make([]caller.Key, n)
	for i := range keys {
		keys[i] = s.issuer.Issue(issuerStart)
	}
	return keys, nil
}

func (s fakeSubmitter) Cancel(_ context.Context, key caller.Key) error {
	return s.cancel(key)
}

func newHandler(s caller.Submitter) http.Handler {
	return caller.NewHandler(caller.HandlerConfig{
		Submitter:    s,
		UseWithin:    2 * time.Minute,
		WriteTimeout: time.Minute,
	})
}

func do(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func ExampleNewHandler() {
	echo := func(_ context.Context, job caller.Job) (caller.Answer, error) {
		return caller.Answer{Key: job.Key, Status: caller.Complete, Results: job.Tasks}, nil
	}
	h := newHandler(fakeSubmitter{submit: echo})
	w := do(h, http.MethodPost, "/v1/jobs", `{"route":"previews","timeout":"2s","tasks":["cmF3"]}`)
	fmt.Println(w.Code, w.Body)
	// Output:
	// 200 {"key":"","status":"complete","results":["cmF3"]}
}

func TestHandlerIssuesKeys(t *testing.T) {
	h := newHandler(fakeSubmitter{issuer: newKeyIssuer(t, "127.0.0.1:7000", 1)})
	for query, count := range map[string]int{"": 1, "?count=1": 1, "?count=1000": 1000} {
		is := is.New(t)
		w := do(h, http.MethodPost, "/v1/keys"+query, "")
		is.Equal(w.Code, http.StatusOK)
		var body struct {
			Keys      []caller.Key `json:"keys"`
			UseWithin string       `json:"use-within"`
		}
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
		is.Equal(len(body.Keys), count)
		is.Equal(body.UseWithin, "2m0s")
	}
}

func TestHandlerMapsAnswersToStatusCodes(t *testing.T) {
	tests := []struct {
		answer     caller.Answer
		code       int
		retryAfter string
	}{
		{caller.Answer{Status: caller.Complete, Results: [][]byte{{}}}, 200, ""},
		{caller.Answer{Status: caller.NotRun, Reason: caller.ReasonOverload, RetryAfter: 1500 * time.Millisecond}, 429, "2"},
		{caller.Answer{Status: caller.NotRun, Reason: caller.ReasonLeaving, RetryAfter: time.Millisecond}, 503, "1"},
		{caller.Answer{Status: caller.NotRun, Reason: caller.ReasonUnknownRoute}, 503, ""},
		{caller.Answer{Status: caller.Failed, Reason: caller.ReasonTaskFailed, Results: [][]byte{{}}}, 502, ""},
		{caller.Answer{Status: caller.Unknown, Reason: caller.ReasonOwnerUnreachable}, 504, ""},
	}
	for _, test := range tests {
		is := is.New(t)
		h := newHandler(fakeSubmitter{
			issuer: newKeyIssuer(t, "127.0.0.1:7000", 1),
			submit: func(context.Context, caller.Job) (caller.Answer, error) {
				return test.answer, nil
			},
		})
		w := do(h, http.MethodPost, "/v1/jobs", `{"route":"r","tasks":[""]}`)
		is.Equal(w.Code, test.code)
		is.Equal(w.Header().Get("Retry-After"), test.retryAfter)
		is.Equal(strings.Contains(w.Body.String(), "results"), test.answer.Status == caller.Complete)
		_, err := caller.ParseKey(w.Header().Get(caller.NextKeyHeader))
		is.NoErr(err)
	}
}

func TestHandlerRejectsBadRequests(t *testing.T) {
	empty := func(n int) string { return strings.TrimSuffix(strings.Repeat(`"",`, n), ",") }
	tests := []struct {
		method, path, body string
		code               int
		fault              caller.RequestFault
	}{
		{"POST", "/v1/jobs", ``, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `null`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `[]`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[""]} {}`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[""]`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[""],"urgent":true}`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `{"route":"r","tasks":["@@@@"]}`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[1]}`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `{"route":"r","tasks":{}}`, 400, caller.FaultMalformedJSON},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[]}`, 400, caller.FaultTaskCount},
		{"POST", "/v1/jobs", `{"route":"r"}`, 400, caller.FaultTaskCount},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[` + empty(caller.MaxTasks+1) + `]}`, 400, caller.FaultTaskCount},
		{"POST", "/v1/jobs", `{"tasks":[""]}`, 400, caller.FaultNoRoute},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[""],"key":"x"}`, 400, caller.FaultMalformedKey},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[""],"timeout":"soon"}`, 400, caller.FaultMalformedTimeout},
		{"POST", "/v1/jobs", `{"route":"r","tasks":[""],"timeout":"-1s"}`, 400, caller.FaultMalformedTimeout},
		{"POST", "/v1/jobs", strings.Repeat(" ", caller.MaxBodyBytes+1), 413, caller.FaultBodyTooLarge},
		{"POST", "/v1/keys?count=0", "", 400, caller.FaultKeyCount},
		{"POST", "/v1/keys?count=1001", "", 400, caller.FaultKeyCount},
		{"POST", "/v1/keys?count=x", "", 400, caller.FaultKeyCount},
		{"DELETE", "/v1/jobs/x", "", 400, caller.FaultMalformedKey},
	}
	h := newHandler(fakeSubmitter{
		submit: func(context.Context, caller.Job) (caller.Answer, error) {
			t.Error("a bad request was submitted")
			return caller.Answer{}, nil
		},
	})
	for _, test := range tests {
		is := is.New(t)
		w := do(h, test.method, test.path, test.body)
		var body struct {
			Error   caller.RequestFault `json:"error"`
			Message string              `json:"message"`
		}
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
		is.Equal(w.Code, test.code)
		is.Equal(body.Error, test.fault)
		is.True(body.Message != "")
	}
}

// TestHandlerLimitsBodyOfUnknownLength checks that MaxBodyBytes also limits the
// body of a request without a Content-Length.
func TestHandlerLimitsBodyOfUnknownLength(t *testing.T) {
	is := is.New(t)
	body := io.MultiReader(strings.NewReader(strings.Repeat(" ", caller.MaxBodyBytes+1)))
	w := httptest.NewRecorder()
	newHandler(fakeSubmitter{}).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", body))
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
}

func TestHandlerReportsSubmitterErrors(t *testing.T) {
	is := is.New(t)
	err := error(&caller.KeyError{Fault: caller.KeyForged})
	h := newHandler(fakeSubmitter{
		submit: func(context.Context, caller.Job) (caller.Answer, error) { return caller.Answer{}, err },
		cancel: func(caller.Key) error { return nil },
	})
	is.Equal(do(h, http.MethodPost, "/v1/jobs", `{"route":"r","tasks":[""]}`).Code, 400)
	err = errors.New("closed")
	is.Equal(do(h, http.MethodPost, "/v1/jobs", `{"route":"r","tasks":[""]}`).Code, 500)
	key := newKeyIssuer(t, "127.0.0.1:7000", 1).Issue(issuerStart)
	is.Equal(do(h, http.MethodDelete, "/v1/jobs/"+key.String(), "").Code, 204)
}

// startServer runs a server with short timeouts until the test ends.
func startServer(t *testing.T, h http.Handler) net.Addr {
	t.Helper()
	server, err := caller.NewServer(caller.ServerConfig{
		Handler:       h,
		HeaderTimeout: 50 * time.Millisecond,
		ReadTimeout:   50 * time.Millisecond,
		IdleTimeout:   50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return listener.Addr()
}

// TestServerClosesSlowConnections checks that the server closes a connection
// that does not send a complete request in time, and that the job of the
// incomplete request is not submitted.
func TestServerClosesSlowConnections(t *testing.T) {
	started := func(context.Context, caller.Job) (caller.Answer, error) {
		t.Error("an incomplete job was submitted")
		return caller.Answer{}, nil
	}
	address := startServer(t, newHandler(fakeSubmitter{submit: started}))
	const job = `{"route":"r","tasks":[""]}`
	const start = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
	header := "X: " + strings.Repeat("y", 1000) + "\r\n"
	tests := []struct{ name, sent, response string }{
		{"silent", "", ""},
		{"half a header", start + "X: ", ""},
		{"half a body", start + "Content-Length: 1000\r\n\r\n" + job, "HTTP/1.1 400 "},
		{"half a chunk", start + "Transfer-Encoding: chunked\r\n\r\n1b\r\n" + job + "\r\n", "HTTP/1.1 400 "},
		{"endless headers", start + strings.Repeat(header, 25), "HTTP/1.1 431 "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address.String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, test.sent)
			// The test hangs here if the server keeps the connection.
			response, _ := io.ReadAll(conn)
			is.True(strings.HasPrefix(string(response), test.response))
		})
	}
}

// TestJobContinuesAfterConnectionBreaks checks that the context of a submitted
// job is not cancelled when the caller's connection breaks. The job must
// continue, so that the caller can obtain the answer by submitting the job again
// under the same key.
func TestJobContinuesAfterConnectionBreaks(t *testing.T) {
	is := is.New(t)
	running := make(chan context.Context)
	finish := make(chan struct{})
	address := startServer(t, newHandler(fakeSubmitter{
		issuer: newKeyIssuer(t, "127.0.0.1:7000", 1),
		submit: func(ctx context.Context, _ caller.Job) (caller.Answer, error) {
			running <- ctx
			<-finish
			return caller.Answer{Status: caller.Complete}, ctx.Err()
		},
	}))
	ctx, cancel := context.WithCancel(context.Background())
	body := strings.NewReader(`{"route":"r","tasks":[""]}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/jobs", body)
	is.NoErr(err)
	broken := make(chan error)
	go func() {
		_, err := http.DefaultTransport.RoundTrip(request)
		broken <- err
	}()
	job := <-running
	cancel()
	is.True(<-broken != nil)
	is.True(job.Done() == nil) // nothing can end the job's context
	close(finish)
}
