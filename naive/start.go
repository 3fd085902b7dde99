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

// A StatusError reports that a backend server did not answer a task with its
// result.
type StatusError struct {
	// Server is the backend server.
	Server netip.AddrPort
	// Code is the HTTP status code that it gave.
	Code int
}

// Error describes the error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %s answered with status %d", e.Server, e.Code)
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
}

// run tries t on one backend server after the other, whatever the error was.
func (s *Server) run(t *task) {
	defer t.done()
	for try := range s.cfg.MaxAttempts {
		if t.err = t.ctx.Err(); t.err != nil {
			return
		}
		if try > 0 {
			s.counts.retries.Inc()
		}
		t.result, t.err = s.start(t, s.turn())
		if t.err == nil {
			return
		}
	}
}

// start sends t to the backend server at addr and returns its result.
func (s *Server) start(t *task, addr netip.AddrPort) ([]byte, error) {
	url := "http://" + addr.String() + "/v1/tasks"
	req, err := http.NewRequestWithContext(t.ctx, http.MethodPost, url, bytes.NewReader(t.payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Submission-Key", t.key)
	req.Header.Set("Route", t.route)
	req.Header.Set("Task-Index", strconv.Itoa(t.index))
	s.counts.starts.Inc()
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
		s.counts.notStarted.Inc()
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Server: addr, Code: resp.StatusCode}
	}
	return body, nil
}
