package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/backend"
)

func newClient(t testing.TB) *backend.Client {
	return newClientWith(t, backend.ClientConfig{})
}

func newClientWith(t testing.TB, cfg backend.ClientConfig) *backend.Client {
	c, err := backend.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// serve starts an HTTP server on a loopback address until the test ends.
func serve(t testing.TB, handler http.HandlerFunc) netip.AddrPort {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func ExampleClient() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		payload, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "retouched %s", payload)
	}))
	defer server.Close()
	c, err := backend.NewClient(backend.ClientConfig{})
	if err != nil {
		panic(err)
	}
	defer c.Close()
	o := c.Run(context.Background(), backend.Request{
		Server:  netip.MustParseAddrPort(server.Listener.Addr().String()),
		Key:     "key",
		Route:   "retouch",
		Timeout: time.Minute,
		Payload: []byte("cat"),
	})
	fmt.Println(o.Kind, string(o.Body))
	// Output: done retouched cat
}

func TestRunSendsTask(t *testing.T) {
	is := is.New(t)
	var got http.Header
	var body []byte
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		got = r.Header
		is.Equal(r.Method+" "+r.URL.Path, "POST /v1/tasks")
		body, _ = io.ReadAll(r.Body)
	})
	o := newClient(t).Run(context.Background(), backend.Request{
		Server: addr, Key: "k", Index: 3, Attempt: 2, Route: "preview",
		Timeout: 1500 * time.Microsecond * 1000, Payload: []byte("raw"),
	})
	is.Equal(o.Kind, backend.Done)
	is.Equal(string(body), "raw")
	for field, want := range map[string]string{
		"Submission-Key": "k", "Task-Index": "3", "Task-Attempt": "2", "Route": "preview", "Task-Timeout": "1500",
	} {
		is.Equal(got.Get(field), want)
	}
}

func TestRunMapsResponsesToOutcomes(t *testing.T) {
	for _, test := range []struct {
		status int
		fields map[string]string
		kind   backend.OutcomeKind
	}{
		{200, nil, backend.Done},
		{200, map[string]string{"Leaving": "true"}, backend.Done},
		{503, map[string]string{"Not-Run": "true", "Leaving": "true"}, backend.NotStarted},
		{503, nil, backend.Failed},
		{500, nil, backend.Failed},
		{404, map[string]string{"Not-Run": "true"}, backend.Failed},
		{302, map[string]string{"Location": "/v1/tasks"}, backend.Lost},
		{204, nil, backend.Lost},
	} {
		t.Run(fmt.Sprint(test.status, test.fields), func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.Header().Set("Running", "4")
				w.Header().Set("Waiting", "1")
				for field, value := range test.fields {
					w.Header().Set(field, value)
				}
				w.WriteHeader(test.status)
			})
			o := newClient(t).Run(context.Background(), backend.Request{Server: addr, Payload: []byte("x")})
			is.Equal(o.Kind, test.kind)
			is.Equal(o.Leaving, test.fields["Leaving"] == "true")
			is.Equal([]any{o.Reported, o.Running, o.Waiting}, []any{true, 4, 1})
			is.Equal(requests.Load(), int32(1))
			var statusErr *backend.StatusError
			is.Equal(errors.As(o.Err, &statusErr), test.kind != backend.Done)
		})
	}
}

func TestRunReportsRefusedConnectionAsNotStarted(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	o := newClient(t).Run(context.Background(), backend.Request{Server: addr, Payload: []byte("x")})
	is.Equal(o.Kind, backend.NotStarted)
}

// TestRunLimitsResultSize has a server send one byte more than MaxResultSize,
// with and without a Content-Length.
func TestRunLimitsResultSize(t *testing.T) {
	for _, flush := range []bool{false, true} {
		is := is.New(t)
		addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("1"))
			if flush {
				w.(http.Flusher).Flush()
			}
			_, _ = w.Write([]byte("2345"))
		})
		c, err := backend.NewClient(backend.ClientConfig{MaxResultSize: 4})
		is.NoErr(err)
		defer c.Close()
		o := c.Run(context.Background(), backend.Request{Server: addr})
		is.Equal(o.Kind, backend.Failed)
		var sizeErr *backend.ResultSizeError
		is.True(errors.As(o.Err, &sizeErr))
	}
}

// A breakPoint is the point of the second request on a connection at which a
// server breaks the connection.
type breakPoint struct {
	name string
	// read is how much of the second request is read: 0 for nothing, 1 for
	// one byte, 2 for all.
	read int
	// response is what is sent in response to the second request.
	response string
	// reset is set if the connection is reset rather than closed in order.
	reset bool
}

var breakPoints = []breakPoint{
	{name: "close at once"},
	{name: "reset at once", reset: true},
	{name: "close after a byte", read: 1},
	{name: "reset after a byte", read: 1, reset: true},
	{name: "close after the request", read: 2},
	{name: "reset after the request", read: 2, reset: true},
	{name: "close in the status line", read: 2, response: "HTTP/1.1 2"},
	{name: "close in the result", read: 2, response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
}

// serve responds to the first request on a connection and breaks the
// connection at point p of the second request. It adds to requests the number
// of requests that were received completely.
func (p breakPoint) serve(conn net.Conn, requests *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	readRequest(r, requests)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	switch p.read {
	case 1:
		_, _ = r.ReadByte()
	case 2:
		readRequest(r, requests)
	}
	fmt.Fprint(conn, p.response)
	if p.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func readRequest(r *bufio.Reader, requests *atomic.Int32) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if _, err := io.ReadAll(request.Body); err == nil {
		requests.Add(1)
	}
}

// listen handles connections to a loopback address until the test ends.
func listen(t testing.TB, handle func(net.Conn)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestRunNeverSendsTwice breaks reused connections at each breakPoint. A
// request may be received at most once, and not at all if its outcome is
// NotStarted.
func TestRunNeverSendsTwice(t *testing.T) {
	for _, p := range breakPoints {
		for _, payload := range []string{"", "payload"} {
			t.Run(fmt.Sprintf("%s, %d bytes", p.name, len(payload)), func(t *testing.T) {
				is := is.New(t)
				var requests atomic.Int32
				addr := listen(t, func(conn net.Conn) { p.serve(conn, &requests) })
				c := newClient(t)
				for range 20 {
					before := requests.Load()
					o := c.Run(context.Background(), backend.Request{Server: addr, Payload: []byte(payload)})
					received := requests.Load() - before
					switch o.Kind {
					case backend.Done:
						is.Equal(received, int32(1))
					case backend.NotStarted:
						is.Equal(received, int32(0))
					default:
						is.Equal(o.Kind, backend.Lost)
						is.True(received <= 1)
					}
				}
			})
		}
	}
}

// TestRunWaitsBeyondTimeout checks that the outcome of a task that ends after
// its timeout is still received.
func TestRunWaitsBeyondTimeout(t *testing.T) {
	is := is.New(t)
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		timeout, err := strconv.Atoi(r.Header.Get("Task-Timeout"))
		is.NoErr(err)
		time.Sleep(2 * time.Duration(timeout) * time.Millisecond)
	})
	o := newClient(t).Run(context.Background(), backend.Request{Server: addr, Timeout: 10 * time.Millisecond, Payload: []byte("x")})
	is.Equal(o.Kind, backend.Done)
}

// TestRunReportsLostAfterResponseGrace checks that the outcome of a task is
// Lost if the server has not responded when its timeout and then the
// ResponseGrace have passed.
func TestRunReportsLostAfterResponseGrace(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	addr := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	c := newClientWith(t, backend.ClientConfig{ResponseGrace: time.Millisecond})
	o := c.Run(context.Background(), backend.Request{Server: addr, Timeout: 20 * time.Millisecond, Payload: []byte("x")})
	is.Equal(o.Kind, backend.Lost)
	is.True(errors.Is(o.Err, context.DeadlineExceeded))
}

// TestRunCancelledBeforeConnectionIsNotStarted checks that the outcome is
// NotStarted if Run is cancelled before it has a connection: the only
// connection is in use by another task.
func TestRunCancelledBeforeConnectionIsNotStarted(t *testing.T) {
	is := is.New(t)
	taken, release := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(http.ResponseWriter, *http.Request) {
		close(taken)
		<-release
	})
	c, err := backend.NewClient(backend.ClientConfig{Connections: 1})
	is.NoErr(err)
	defer c.Close()
	first := make(chan backend.Outcome)
	go func() { first <- c.Run(context.Background(), backend.Request{Server: addr}) }()
	<-taken
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(c.Run(ctx, backend.Request{Server: addr}).Kind, backend.NotStarted)
	close(release)
	is.Equal((<-first).Kind, backend.Done)
}

// BenchmarkClient measures a task on a minimal server, so that nearly all of
// the cost is that of the client.
func BenchmarkClient(b *testing.B) {
	addr := listen(b, respondToAll)
	c := newClient(b)
	request := backend.Request{
		Server: addr, Key: "0123456789abcdef", Route: "preview", Timeout: time.Minute,
		Payload: bytes.Repeat([]byte("x"), 200),
	}
	b.ReportAllocs()
	before := processorTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if o := c.Run(context.Background(), request); o.Kind != backend.Done {
				b.Error(o.Err)
			}
		}
	})
	used := processorTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "processor-µs/op")
}

// processorTime returns the processor time used by the process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// respondToAll responds to each request. It assumes that a request arrives in
// one read.
func respondToAll(conn net.Conn) {
	defer conn.Close()
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nRunning: 3\r\nWaiting: 0\r\nContent-Length: 4\r\n\r\ndone")
	}
}
