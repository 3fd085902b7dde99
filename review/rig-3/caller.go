//go:build review

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMb       int    `json:"mem_mb"`
	EstimatedMs int64  `json:"estimated_ms"`
	DependsOn   []int  `json:"depends_on,omitempty"`
	Label       string `json:"required_label,omitempty"`
}

// job is a job as a caller submits it.
type job struct {
	id    string
	steps []step
}

// newJob returns a job with a new ID, whose tasks need load.
func (d *deployment) newJob(load workload, steps ...step) job {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		panic(err) // never happens on Linux
	}
	j := job{id: hex.EncodeToString(id[:]), steps: steps}
	for n := range j.steps {
		j.steps[n].CPU, j.steps[n].MemMb = load.millicores, 64
		if j.steps[n].EstimatedMs == 0 {
			j.steps[n].EstimatedMs = load.runTime.Milliseconds()
		}
	}
	d.mu.Lock()
	d.loads[j.id] = load
	d.mu.Unlock()
	return j
}

// chain returns n steps of one task each, of which each depends on the one before.
func chain(n int) []step {
	steps := make([]step, n)
	for i := range steps {
		steps[i].Count = 1
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	return steps
}

// answer is the answer to a request.
type answer struct {
	// status is the HTTP status, or 0 if there was no answer.
	status         int
	body           string
	sent, received time.Time
}

// request sends a request on a new connection and waits for the answer until ctx ends, which
// resets the connection. A deadline of 0 sets no X-Deadline-Ms.
func (d *deployment) request(ctx context.Context, i *instance, method string, r route, id, body string, deadline time.Duration) answer {
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err == nil {
				err = conn.(*net.TCPConn).SetLinger(0)
			}
			return conn, err
		},
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.address+r.prefix+id, strings.NewReader(body))
	if err != nil {
		return answer{sent: time.Now(), received: time.Now()}
	}
	req.Host = r.host
	req.Header.Set("Content-Type", "application/json")
	if deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	a := answer{sent: time.Now()}
	d.record.note("sent    %s %s%s to %s", method, r.prefix, id, i.name)
	response, err := transport.RoundTrip(req)
	if err == nil {
		a.status, a.body = response.StatusCode, readAll(response.Body)
		_ = response.Body.Close()
	}
	a.received = time.Now()
	if err != nil {
		d.record.note("answer  %s %s%s from %s: none (%v)", method, r.prefix, id, i.name, err)
	} else {
		d.record.note("answer  %s %s%s from %s: %d %s", method, r.prefix, id, i.name, a.status, a.body)
	}
	return a
}

// submit submits a job.
func (d *deployment) submit(ctx context.Context, i *instance, r route, j job, deadline time.Duration) answer {
	body, err := json.Marshal(map[string]any{"spec": "spec of " + j.id, "pipeline": j.steps, "best_effort": true})
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return d.request(ctx, i, http.MethodPost, r, j.id, string(body), deadline)
}

// cancel asks for a job to be cancelled.
func (d *deployment) cancel(i *instance, r route, j job) answer {
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	return d.request(ctx, i, http.MethodDelete, r, j.id, "", 4*time.Second)
}

// readAll returns what can be read from r.
func readAll(r io.Reader) string {
	text, _ := io.ReadAll(r)
	return strings.TrimSpace(string(text))
}
