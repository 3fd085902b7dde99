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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/backend"
)

func newClient(t testing.TB) *backend.Client {
	c, err := backend.NewClient(backend.ClientConfig{})
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

func TestRunReadsAnswer(t *testing.T) {
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
			var answer *backend.AnswerError
			is.Equal(errors.As(o.Err, &answer), test.kind != backend.Done)
		})
	}
}

func TestRunRefusedConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	o := newClient(t).Run(context.Background(), backend.Request{Server: addr, Payload: []byte("x")})
	is.Equal(o.Kind, backend.NotStarted)
}

// TestRunLimitsResult has a server answer one byte more than allowed, with and
// without saying so in advance.
func TestRunLimitsResult(t *testing.T) {
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
		var size *backend.SizeError
		is.True(errors.As(o.Err, &size))
	}
}

// A breaking is a server that answers a first request on each connection and
// breaks the connection at some point of the second.
type breaking struct {
	listener net.Listener
	// breakAt handles the second request.
	breakAt func(conn net.Conn, r *bufio.Reader)
	// bodies counts the requests whose body arrived whole.
	bodies atomic.Int32
}

func (b *breaking) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.handle(conn)
	}
}

func (b *breaking) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	if b.readRequest(r) != nil {
		return
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	b.breakAt(conn, r)
}

func (b *breaking) readRequest(r *bufio.Reader) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return err
	}
	b.bodies.Add(1)
	return nil
}

// reset makes Close send a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// TestRunNeverSendsTwice breaks kept connections at each point of a request. A
// body may arrive at most once, and never if the outcome is NotStarted.
func TestRunNeverSendsTwice(t *testing.T) {
	points := map[string]func(b *breaking) func(net.Conn, *bufio.Reader){
		"close at once": func(*breaking) func(net.Conn, *bufio.Reader) {
			return func(net.Conn, *bufio.Reader) {}
		},
		"reset at once": func(*breaking) func(net.Conn, *bufio.Reader) {
			return func(conn net.Conn, _ *bufio.Reader) { reset(conn) }
		},
		"close after a byte": func(*breaking) func(net.Conn, *bufio.Reader) {
			return func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() }
		},
		"reset after a byte": func(*breaking) func(net.Conn, *bufio.Reader) {
			return func(conn net.Conn, r *bufio.Reader) {
				_, _ = r.ReadByte()
				reset(conn)
			}
		},
		"close after the request": func(b *breaking) func(net.Conn, *bufio.Reader) {
			return func(_ net.Conn, r *bufio.Reader) { _ = b.readRequest(r) }
		},
		"reset after the request": func(b *breaking) func(net.Conn, *bufio.Reader) {
			return func(conn net.Conn, r *bufio.Reader) {
				_ = b.readRequest(r)
				reset(conn)
			}
		},
		"close in the status line": func(b *breaking) func(net.Conn, *bufio.Reader) {
			return func(conn net.Conn, r *bufio.Reader) {
				_ = b.readRequest(r)
				fmt.Fprint(conn, "HTTP/1.1 2")
			}
		},
		"close in the body": func(b *breaking) func(net.Conn, *bufio.Reader) {
			return func(conn net.Conn, r *bufio.Reader) {
				_ = b.readRequest(r)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			}
		},
	}
	for name, point := range points {
		for _, payload := range []string{"", "payload"} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(payload)), func(t *testing.T) {
				breakSecond(t, point, payload)
			})
		}
	}
}

func breakSecond(t *testing.T, point func(*breaking) func(net.Conn, *bufio.Reader), payload string) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	b := &breaking{listener: listener}
	b.breakAt = point(b)
	go b.serve()
	c := newClient(t)
	request := backend.Request{
		Server:  netip.MustParseAddrPort(listener.Addr().String()),
		Timeout: 10 * time.Second,
		Payload: []byte(payload),
	}
	is.Equal(c.Run(context.Background(), request).Kind, backend.Done)
	before := b.bodies.Load()
	o := c.Run(context.Background(), request)
	arrived := b.bodies.Load() - before
	is.True(arrived <= 1)
	// A connection that was found closed in time leads to a new one, on
	// which the request is the first.
	is.True(o.Kind == backend.Lost || o.Kind == backend.Done || o.Kind == backend.NotStarted && arrived == 0)
}

// TestRunTimeout has a task take longer than its timeout.
func TestRunTimeout(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	addr := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	o := newClient(t).Run(context.Background(), backend.Request{Server: addr, Timeout: 20 * time.Millisecond, Payload: []byte("x")})
	is.Equal(o.Kind, backend.Lost)
	is.True(errors.Is(o.Err, context.DeadlineExceeded))
}

// TestRunCancelledBeforeConnection cancels a task while it waits for a
// connection.
func TestRunCancelledBeforeConnection(t *testing.T) {
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

// BenchmarkClient measures a task with a server that does as little as
// possible, so that nearly all of the cost is the client's.
func BenchmarkClient(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go acceptAll(listener)
	c := newClient(b)
	request := backend.Request{
		Server:  netip.MustParseAddrPort(listener.Addr().String()),
		Key:     "0123456789abcdef",
		Route:   "preview",
		Timeout: time.Minute,
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

// processorTime returns what the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go answerAll(conn)
	}
}

// answerAll answers each request, which ends with the payload's last byte and
// comes in one read.
func answerAll(conn net.Conn) {
	defer conn.Close()
	buffer := make([]byte, 4096)
	answer := []byte("HTTP/1.1 200 OK\r\nRunning: 3\r\nWaiting: 0\r\nContent-Length: 4\r\n\r\ndone")
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}
