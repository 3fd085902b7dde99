package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// resendAfter is resend_ms: the time after which a client sends a job again.
const resendAfter = 1300 * time.Millisecond

// A step is a step of a job.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMb       int   `json:"mem_mb"`
	EstimatedMs int64 `json:"estimated_ms"`
	DependsOn   []int `json:"depends_on,omitempty"`
}

// jobID returns the ID of the n-th job.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// jobOf returns the ID of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// A client sends the requests of one client of the platform. Each request uses a
// connection of its own.
type client struct {
	rec      *recorder
	deadline time.Duration

	mu   sync.Mutex
	conn *net.TCPConn
}

// dial opens the connection of a request.
func (c *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn.(*net.TCPConn)
	return conn, nil
}

// reset resets the connection of the current request.
func (c *client) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetLinger(0)
	_ = c.conn.Close()
}

// submit submits a job to an instance. It returns the status of the response, or 0 if
// there was none.
func (c *client) submit(to *instance, id string, steps []step) int {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "best_effort": true, "pipeline": steps})
	if err != nil {
		panic(err)
	}
	c.rec.note("client sends POST %s to %s", id, to.name)
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	requests := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: c.dial}}
	resp, err := requests.Do(req)
	if err != nil {
		c.rec.note("client gets no response to POST %s: %v", id, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.rec.note("client gets a broken response to POST %s: %v", id, err)
		return 0
	}
	c.rec.note("client gets %d to POST %s: %s", resp.StatusCode, id, text)
	return resp.StatusCode
}
