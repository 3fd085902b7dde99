package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// answerMargin is the time after the job's timeout for which a client still waits for the
// answer. It is also the timeout of a cancellation request.
const answerMargin = 2 * time.Second

// An answer is the body of the response to one submission.
type answer struct {
	Key        string   `json:"key"`
	Status     string   `json:"status"`
	Reason     string   `json:"reason"`
	RetryAfter string   `json:"retry-after"`
	Results    [][]byte `json:"results"`
}

// Statuses of an answer.
const (
	statusComplete = "complete"
	statusFailed   = "failed"
	statusNotRun   = "not-run"
	statusUnknown  = "unknown"
)

// submit sends a job under key to the entry instance at addr and returns the answer.
func submit(ctx context.Context, client *http.Client, addr netip.AddrPort, key string, j job, timeout time.Duration) (answer, error) {
	body, err := json.Marshal(struct {
		Key     string   `json:"key"`
		Route   string   `json:"route"`
		Timeout string   `json:"timeout"`
		Tasks   [][]byte `json:"tasks"`
	}{key, j.route, timeout.Round(time.Millisecond).String(), j.payloads()})
	if err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+answerMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return answer{}, errors.Wrapf(err, "decoding the answer of %s (status %d)", addr, resp.StatusCode)
	}
	return a, nil
}

// cancelJob asks the entry instance at addr to cancel the job that was submitted under
// key.
func cancelJob(ctx context.Context, client *http.Client, addr netip.AddrPort, key string) error {
	ctx, cancel := context.WithTimeout(ctx, answerMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr.String()+"/v1/jobs/"+key, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// isRefused reports whether err occurred while connecting, so that the entry instance
// cannot have received the request.
func isRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
