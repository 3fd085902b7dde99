package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes bounds what a Client reads of a response.
const maxResponseBytes = 1 << 30

// sendJob sends job to entry and returns its answer and the next key, if the
// response carries one.
func (c *Client) sendJob(ctx context.Context, entry *url.URL, job Job) (Answer, Key, error) {
	body, err := json.Marshal(jobBody{
		Key:     job.Key.String(),
		Route:   job.Route,
		Timeout: timeoutText(job.Timeout),
		Tasks:   job.Tasks,
	})
	if err != nil {
		return Answer{}, Key{}, errors.Wrap(err, "encode job")
	}
	var fields answerBody
	header, err := c.exchange(ctx, http.MethodPost, entry.JoinPath("v1", "jobs"), body, &fields)
	if err != nil {
		return Answer{}, Key{}, err
	}
	answer, err := fields.answer()
	if err != nil {
		return Answer{}, Key{}, err
	}
	var next Key
	if err := next.UnmarshalText([]byte(header.Get(NextKeyHeader))); err != nil {
		next = Key{}
	}
	return answer, next, nil
}

// fetchKeys asks entry for a batch of keys. It returns them and the time
// within which they have to be used first.
func (c *Client) fetchKeys(ctx context.Context, entry *url.URL) ([]Key, time.Duration, error) {
	var fields struct {
		Keys      []Key  `json:"keys"`
		UseWithin string `json:"use-within"`
	}
	target := entry.JoinPath("v1", "keys")
	target.RawQuery = url.Values{"count": {strconv.Itoa(c.cfg.KeyBatchSize)}}.Encode()
	if _, err := c.exchange(ctx, http.MethodPost, target, nil, &fields); err != nil {
		return nil, 0, err
	}
	useWithin, err := time.ParseDuration(fields.UseWithin)
	return fields.Keys, useWithin, err
}

// sendCancel asks entry to cancel the job of key.
func (c *Client) sendCancel(ctx context.Context, entry *url.URL, key Key) error {
	_, err := c.exchange(ctx, http.MethodDelete, entry.JoinPath("v1", "jobs", key.String()), nil, nil)
	return err
}

// exchange sends a request and decodes the response's JSON into fields,
// unless fields is nil. It returns a *RequestError if the entry reports one.
func (c *Client) exchange(
	ctx context.Context, method string, target *url.URL, body []byte, fields any,
) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set(contentType, jsonType)
	response, err := c.cfg.HTTPClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if err := responseError(response.StatusCode, text); err != nil {
		return nil, err
	}
	if fields == nil {
		return response.Header, nil
	}
	return response.Header, errors.Wrapf(json.Unmarshal(text, fields), "response %d", response.StatusCode)
}

// responseError returns the *RequestError that a response of the given HTTP
// status code holds, or nil if it holds none.
func responseError(code int, text []byte) error {
	if code < http.StatusBadRequest {
		return nil
	}
	var fields errorBody
	if err := json.Unmarshal(text, &fields); err != nil {
		return errors.Wrap(err, fmt.Sprintf("response %d", code))
	}
	if fields.Error == "" {
		return nil
	}
	return &RequestError{Code: code, Fault: fields.Error, Detail: fields.Message}
}

// timeoutText returns the text of a job's timeout, empty for the route's own.
func timeoutText(timeout time.Duration) string {
	if timeout == 0 {
		return ""
	}
	return timeout.String()
}
