package naive

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"
)

// A StatusError reports that a backend server answered a task with an HTTP
// status other than 200.
type StatusError struct {
	// Server is the address of the backend server.
	Server netip.AddrPort
	// Code is the HTTP status code of the server's answer.
	Code int
}

// Error returns a message with the server's address and the status code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %s answered with status %d", e.Server, e.Code)
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
}

// runTask runs t on the next backend server of the rotation. After any error it retries t
// on the following server, up to MaxAttempts attempts in all. It sets t.result and t.err
// and calls t.done.
func (s *Server) runTask(t *task) {
	defer t.done()
	for attempt := range s.cfg.MaxAttempts {
		if t.err = t.ctx.Err(); t.err != nil {
			return
		}
		if attempt > 0 {
			s.counters.retries.Inc()
		}
		t.result, t.err = s.sendTask(t, s.nextServer())
		if t.err == nil {
			return
		}
	}
}

// sendTask sends t to the backend server at addr and returns the result.
func (s *Server) sendTask(t *task, addr netip.AddrPort) ([]byte, error) {
	url := "http://" + addr.String() + "/v1/tasks"
	req, err := http.NewRequestWithContext(t.ctx, http.MethodPost, url, bytes.NewReader(t.payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Submission-Key", t.key)
	req.Header.Set("Route", t.route)
	req.Header.Set("Task-Index", strconv.Itoa(t.index))
	s.counters.starts.Inc()
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "reading from backend server %s", addr)
	}
	if resp.Header.Get("Not-Run") == "true" {
		s.counters.notStarted.Inc()
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Server: addr, Code: resp.StatusCode}
	}
	return body, nil
}
