package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The default values of the fields of ClientConfig.
const (
	defaultConnections   = 64
	defaultDialTimeout   = time.Second
	defaultIdleTimeout   = 30 * time.Second
	defaultMaxResultSize = 16 << 20
	defaultResponseGrace = 30 * time.Second
)

// ClientConfig configures a Client. A field that is zero takes its default.
type ClientConfig struct {
	// Connections is the maximum number of connections to one server. Further
	// tasks wait for a free connection. The default is 64.
	Connections int
	// DialTimeout limits the time for establishing a connection. The default
	// is 1 s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. It
	// should be shorter than the idle timeout of the servers. The default is
	// 30 s.
	IdleTimeout time.Duration
	// MaxResultSize is the maximum size of a task result in bytes. The
	// default is 16 MiB.
	MaxResultSize int64
	// ResponseGrace is the time for which Run still waits for the response
	// after the Timeout of a Request has passed. The task occupies its slot
	// for that time. The default is 30 s.
	ResponseGrace time.Duration
}

// A Request is one attempt to run a task on a backend server.
type Request struct {
	// Server is the backend server that runs the task.
	Server netip.AddrPort
	// Key is the submission key of the task's job.
	Key string
	// Index is the task's position in its job.
	Index int
	// Attempt is the number of times that the task has been assigned to a
	// holder.
	Attempt int
	// Route is the name of the task's route.
	Route string
	// Timeout is the time after which no caller waits for the result. Zero
	// means that there is no timeout.
	Timeout time.Duration
	// Payload is the input of the task.
	Payload []byte
}

// A StatusError reports a response whose HTTP status is not 200, the status of
// a result.
type StatusError struct {
	// Server is the backend server that sent the response.
	Server netip.AddrPort
	// Status is the HTTP status code.
	Status int
}

// Error returns a message with the server and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %v responded with status %d", e.Server, e.Status)
}

// A ResultSizeError reports a result that exceeds ClientConfig.MaxResultSize.
type ResultSizeError struct {
	// Server is the backend server that sent the result.
	Server netip.AddrPort
	// Limit is ClientConfig.MaxResultSize, in bytes.
	Limit int64
}

// Error returns a message with the server and the limit.
func (e *ResultSizeError) Error() string {
	return fmt.Sprintf("result from backend server %v exceeds %d bytes", e.Server, e.Limit)
}

// A Client runs tasks on backend servers over HTTP/1.1 and reuses its
// connections. It is safe for concurrent use.
type Client struct {
	cfg       ClientConfig
	transport *http.Transport
	// mu guards urls, which caches the URL for the tasks of each server.
	mu   sync.RWMutex
	urls map[netip.AddrPort]*url.URL
}

// NewClient returns a Client that has no connections yet. It returns a
// *ConfigError if a field of cfg is out of range.
func NewClient(cfg ClientConfig) (*Client, error) {
	setDefault(&cfg.Connections, defaultConnections)
	setDefault(&cfg.DialTimeout, defaultDialTimeout)
	setDefault(&cfg.IdleTimeout, defaultIdleTimeout)
	setDefault(&cfg.MaxResultSize, defaultMaxResultSize)
	setDefault(&cfg.ResponseGrace, defaultResponseGrace)
	if cfg.Connections < 0 {
		return nil, &ConfigError{Field: "Connections", Value: cfg.Connections, Want: "positive"}
	}
	if cfg.DialTimeout < 0 || cfg.IdleTimeout < 0 || cfg.ResponseGrace < 0 {
		return nil, &ConfigError{Field: "DialTimeout, IdleTimeout or ResponseGrace", Value: cfg, Want: "positive"}
	}
	if cfg.MaxResultSize < 0 {
		return nil, &ConfigError{Field: "MaxResultSize", Value: cfg.MaxResultSize, Want: "positive"}
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	c := &Client{cfg: cfg, urls: map[netip.AddrPort]*url.URL{}}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		Protocols:           &protocols,
		DisableCompression:  true,
		MaxIdleConnsPerHost: cfg.Connections,
		MaxConnsPerHost:     cfg.Connections,
		IdleConnTimeout:     cfg.IdleTimeout,
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Run sends a task to a backend server and returns its outcome. The request
// is sent at most once.
func (c *Client) Run(ctx context.Context, r Request) Outcome {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout+c.cfg.ResponseGrace)
		defer cancel()
	}
	p := newCall(r)
	response, err := c.transport.RoundTrip(p.request(ctx, c.url(r.Server)))
	if err != nil {
		return transportFailure(p.tracker.confirmNothingSent(), err)
	}
	defer response.Body.Close()
	return c.readOutcome(r.Server, response)
}

// transportFailure returns the Outcome of a request that got no response
// because of err.
func transportFailure(nothingSent bool, err error) Outcome {
	if nothingSent {
		return Outcome{Kind: NotStarted, Err: errors.Wrap(err, "connect to backend server")}
	}
	return Outcome{Kind: Lost, Err: errors.Wrap(err, "wait for response of backend server")}
}

// url returns the URL to which tasks for the server are posted.
func (c *Client) url(server netip.AddrPort) *url.URL {
	c.mu.RLock()
	u := c.urls[server]
	c.mu.RUnlock()
	if u != nil {
		return u
	}
	u = &url.URL{Scheme: "http", Host: server.String(), Path: tasksPath}
	c.mu.Lock()
	c.urls[server] = u
	c.mu.Unlock()
	return u
}

// readOutcome converts a response into an Outcome.
func (c *Client) readOutcome(server netip.AddrPort, response *http.Response) Outcome {
	o := Outcome{Leaving: response.Header.Get(leavingField) == "true"}
	o.readReport(response.Header)
	switch {
	case response.StatusCode == http.StatusOK:
		return c.readResult(server, response, o)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(notRunField) == "true":
		o.Kind = NotStarted
	case response.StatusCode >= http.StatusBadRequest:
		o.Kind = Failed
	default:
		o.Kind = Lost
	}
	o.Err = &StatusError{Server: server, Status: response.StatusCode}
	return o
}

// readReport sets Running and Waiting from the response header, and Reported
// if the header contains the number of running tasks.
func (o *Outcome) readReport(header http.Header) {
	nowRunning, err := strconv.Atoi(header.Get(runningField))
	if err != nil {
		return
	}
	nowWaiting, err := strconv.Atoi(header.Get(waitingField))
	if err != nil {
		nowWaiting = 0
	}
	o.Reported = true
	o.Running = max(0, nowRunning)
	o.Waiting = max(0, nowWaiting)
}

// readResult returns o completed with the result in the response. The outcome
// is Failed if the result is too large, and Lost if it cannot be read.
func (c *Client) readResult(server netip.AddrPort, response *http.Response, o Outcome) Outcome {
	if response.ContentLength > c.cfg.MaxResultSize {
		o.Kind, o.Err = Failed, &ResultSizeError{Server: server, Limit: c.cfg.MaxResultSize}
		return o
	}
	body, err := c.readBody(response)
	switch {
	case err != nil:
		o.Kind, o.Err = Lost, errors.Wrap(err, "read result")
	case int64(len(body)) > c.cfg.MaxResultSize:
		o.Kind, o.Err = Failed, &ResultSizeError{Server: server, Limit: c.cfg.MaxResultSize}
	default:
		o.Kind, o.Body = Done, body
	}
	return o
}

// readBody returns the response body. Without a Content-Length it reads at
// most one byte more than MaxResultSize.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(response.Body, c.cfg.MaxResultSize+1))
}
