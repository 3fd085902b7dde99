package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// leaderIP is the address of the leader in the tests of where.
const leaderIP = "127.0.0.2"

// listenTwice listens at the same port of 127.0.0.1 and of leaderIP.
func listenTwice(t *testing.T) (receiver, leader net.Listener) {
	t.Helper()
	for range 20 {
		receiver, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_, port, _ := net.SplitHostPort(receiver.Addr().String())
		if leader, err := net.Listen("tcp", net.JoinHostPort(leaderIP, port)); err == nil {
			return receiver, leader
		}
		_ = receiver.Close()
	}
	t.Fatal("no port is free at both addresses")
	return nil, nil
}

// serveAt serves handler at l.
func serveAt(t *testing.T, l net.Listener, handler http.HandlerFunc) {
	t.Helper()
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
}

// answerPreview returns a handler that answers with p.
func answerPreview(p dispatch.Preview) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(p) }
}

// runWhere runs the command where, and returns its exit code and outputs.
func runWhere(instance string, more ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	args := append([]string{"where", "--instance", instance, "--route", "previews", "--tasks", "2", "--estimate", "60ms"}, more...)
	code = run(args, environment{stdout: &out, stderr: &errs, newLog: newLog})
	return code, out.String(), errs.String()
}

// receiverPreview returns the answer of an instance that does not lead.
func receiverPreview() dispatch.Preview {
	return dispatch.Preview{
		Instance: netip.MustParseAddrPort("127.0.0.1:7720"), Zone: "hr-north-a", Home: "hr-north-a",
		Leader: &dispatch.PreviewLeader{Address: netip.MustParseAddrPort(leaderIP + ":7720"), Term: 7, Age: dispatch.Millis(31 * time.Millisecond), Live: true},
	}
}

// leaderPreview returns the answer of a leader with a decision.
func leaderPreview(outcome dispatch.PreviewOutcome, reason string) dispatch.Preview {
	p := receiverPreview()
	start, end := dispatch.Millis(0), dispatch.Millis(60*time.Millisecond)
	p.Decision = &dispatch.PreviewDecision{
		Outcome: outcome, Reason: reason, Start: &start, End: &end, Objective: dispatch.Millis(146 * time.Millisecond),
		RetryAfter: dispatch.Millis(time.Second), RetryAfterLatest: dispatch.Millis(2 * time.Second),
		Ahead: []dispatch.PreviewQueue{{Urgency: 1, Jobs: 2, Tasks: 4, CoreSeconds: 1.5}},
		Workers: dispatch.PreviewWorkers{
			Pool: "editor", Total: 3, Fit: 1, Room: 2, Others: map[string]int{"silent": 1, "busy": 1},
			Chosen: []dispatch.PreviewWorker{{ID: "w-1", Rack: "r-1", Speed: 1.25, Run: end, InTime: true}},
		},
		Zones: []dispatch.PreviewZone{{Zone: "hr-north-b", Millicores: 9000, FreeMillicores: 4000, Age: dispatch.Millis(52 * time.Millisecond), Usable: true}},
	}
	return p
}

// TestWhereExitCodes guards against scripts that take a refusal, or the absence of a decision,
// for a job that would be served.
func TestWhereExitCodes(t *testing.T) {
	refusing, leaderless := receiverPreview(), receiverPreview()
	refusing.Refusal = "leaving"
	leaderless.Leader = nil
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such thing", code) }
	}
	unreachable := http.HandlerFunc(nil)
	for _, test := range []struct {
		name             string
		receiver, leader http.HandlerFunc
		code             int
		stdout, stderr   string
	}{
		{"starts", answerPreview(receiverPreview()), answerPreview(leaderPreview(dispatch.PreviewStarts, "")), exitDone, "starts start=0s end=60ms objective=146ms", ""},
		{"waits", answerPreview(receiverPreview()), answerPreview(leaderPreview(dispatch.PreviewWaits, "busy")), exitDone, "waits reason=busy", ""},
		{"redirected", answerPreview(receiverPreview()), answerPreview(leaderPreview(dispatch.PreviewRedirected, "data")), exitDone, "redirected reason=data", ""},
		{"refused", answerPreview(receiverPreview()), answerPreview(leaderPreview(dispatch.PreviewRefused, "no-capacity")), exitRefused, "refused reason=no-capacity retry-after=1s..2s", "no-capacity"},
		{"instance leads", answerPreview(leaderPreview(dispatch.PreviewStarts, "")), unreachable, exitDone, "worker w-1 rack=r-1 speed=1.25 run=60ms in-time=true", ""},
		{"instance refuses", answerPreview(refusing), unreachable, exitRefused, "refused here reason=leaving", "leaving"},
		{"no leader", answerPreview(leaderless), unreachable, exitUnknown, "instance 127.0.0.1:7720", "no leader"},
		{"leader unreachable", answerPreview(receiverPreview()), unreachable, exitUnknown, "leader 127.0.0.2:7720 term=7 heard=31ms", "the leader gave no answer"},
		{"leader busy", answerPreview(receiverPreview()), status(http.StatusTooManyRequests), exitUnknown, "leader 127.0.0.2:7720", "status 429"},
		{"leader changed", answerPreview(receiverPreview()), answerPreview(receiverPreview()), exitUnknown, "", "does not lead"},
		{"unknown route", status(http.StatusNotFound), unreachable, exitRefused, "", "no such thing"},
		{"instance busy", status(http.StatusTooManyRequests), unreachable, exitUnknown, "", "status 429"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			receiver, leader := listenTwice(t)
			serveAt(t, receiver, test.receiver)
			if test.leader == nil {
				is.NoErr(leader.Close())
			} else {
				serveAt(t, leader, test.leader)
			}
			code, stdout, stderr := runWhere(receiver.Addr().String())
			t.Logf("%s%s", stdout, stderr)
			is.Equal(code, test.code)
			is.True(strings.Contains(stdout, test.stdout))
			is.True(strings.Contains(stderr, test.stderr))
			is.Equal(stderr == "", code == exitDone)
		})
	}
	is := is.New(t)
	code, _, _ := runWhere("127.0.0.1:1", "--millicores", "-1")
	is.Equal(code, exitUsage)
}

// TestWhereGivesUpASilentLeader guards against a command that hangs on a leader that accepts
// connections and does not answer.
func TestWhereGivesUpASilentLeader(t *testing.T) {
	is := is.New(t)
	receiver, leader := listenTwice(t)
	defer leader.Close()
	serveAt(t, receiver, answerPreview(receiverPreview()))
	code, stdout, stderr := runWhere(receiver.Addr().String())
	is.Equal(code, exitUnknown)
	is.True(strings.Contains(stdout, "leader 127.0.0.2:7720"))
	is.True(strings.Contains(stderr, "the leader gave no answer"))
}

// TestWhereAsksTheLeaderForTheReceiver guards against a question to the leader that differs
// from the one to the instance, and against --json output that is not the instances' own.
func TestWhereAsksTheLeaderForTheReceiver(t *testing.T) {
	is := is.New(t)
	receiver, leader := listenTwice(t)
	var queries []string
	record := func(p dispatch.Preview) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			queries = append(queries, r.URL.Query().Encode())
			answerPreview(p)(w, r)
		}
	}
	serveAt(t, receiver, record(receiverPreview()))
	serveAt(t, leader, record(leaderPreview(dispatch.PreviewStarts, "")))
	code, stdout, _ := runWhere(receiver.Addr().String(), "--json", "--memory-mib", "64", "--rack", "r-1")
	is.Equal(code, exitDone)
	is.Equal(queries, []string{
		"estimate_ms=60&memory_mib=64&millicores=1000&rack=r-1&route=previews&tasks=2",
		"estimate_ms=60&home=hr-north-a&memory_mib=64&millicores=1000&rack=r-1&route=previews&tasks=2",
	})
	var expected strings.Builder
	for _, p := range []dispatch.Preview{receiverPreview(), leaderPreview(dispatch.PreviewStarts, "")} {
		is.NoErr(json.NewEncoder(&expected).Encode(p))
	}
	is.Equal(stdout, expected.String())
}

// TestPreviewsAreLimited guards against requests that take the processor time of a leader.
func TestPreviewsAreLimited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l previewLimiter
	is.True(l.begin(now))
	is.True(!l.begin(now.Add(previewInterval))) // one at a time
	l.end()
	is.True(!l.begin(now.Add(previewInterval - 1)))
	is.True(l.begin(now.Add(previewInterval)))
}

// TestServeAnswersWhere asks running instances, one of which leads. The answers must describe
// the job and must not start it, invalid questions must be rejected, and many at once limited.
func TestServeAnswersWhere(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	decisions := 0
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
		awaitStatus(t, node, http.StatusOK)
		ask := func(query string) (int, string) {
			resp, err := http.Get(fmt.Sprintf("http://%v/where?%s", node.MetricsAddress, query))
			is.NoErr(err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			return resp.StatusCode, string(body)
		}
		status, _ := ask("route=nothing")
		is.Equal(status, http.StatusNotFound)
		for _, query := range []string{"tasks=0", "tasks=x", "millicores=-1", "tasks=10001"} {
			status, body := ask("route=previews&" + query)
			is.Equal(status, http.StatusBadRequest)
			is.True(strings.Contains(body, "parameter"))
		}
		started := p.startCount()
		status, body := ask("route=previews&tasks=2&millicores=1000&memory_mib=1&estimate_ms=30")
		is.Equal(status, http.StatusOK)
		var preview dispatch.Preview
		is.NoErr(json.Unmarshal([]byte(body), &preview))
		is.Equal(preview.Instance, node.PeerAddress)
		is.True(preview.Leader != nil && preview.Leader.Live)
		if d := preview.Decision; d != nil {
			decisions++
			is.Equal(d.Outcome, dispatch.PreviewStarts)
			is.Equal(len(d.Workers.Chosen), 2)
		}
		is.Equal(p.startCount(), started)
	}
	is.Equal(decisions, 1)
}

// TestPreviewHandlerRejectsTooManyRequests guards against a limit that is not applied to
// requests that arrive while another one is answered.
func TestPreviewHandlerRejectsTooManyRequests(t *testing.T) {
	is := is.New(t)
	tables := dispatch.NewTables(1, []dispatch.Route{{Name: "previews", Pool: "editor", Timeout: time.Second}}, 0)
	now := time.Unix(1000, 0)
	h := &previewHandler{tables: func() *dispatch.Tables { return tables }, now: func() time.Time { return now }}
	ask := func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/where?route=previews", nil))
		return w
	}
	var during *httptest.ResponseRecorder
	h.preview = func(string, dispatch.Job) (dispatch.Preview, bool) {
		now = now.Add(time.Minute)
		if during == nil {
			during = ask()
		}
		return dispatch.Preview{}, true
	}
	is.Equal(ask().Code, http.StatusOK)
	is.Equal(during.Code, http.StatusTooManyRequests)
	is.Equal(during.Header().Get("Retry-After"), "1")
	now = now.Add(previewInterval)
	is.Equal(ask().Code, http.StatusOK)
}
