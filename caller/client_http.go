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

// maxResponseBytes is the maximum number of bytes that a Client reads of a
// response body.
const maxResponseBytes = 1 << 30

// sendJob submits job to entry and returns its answer and the key in the
// Next-Key header. The key is zero if the response has no valid Next-Key
// header.
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
	header, err := c.doRequest(ctx, http.MethodPost, entry.JoinPath("v1", "jobs"), body, &fields)
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

// fetchKeys requests a batch of keys from entry. It returns the keys and the
// age at which they can no longer be used for the first time.
func (c *Client) fetchKeys(ctx context.Context, entry *url.URL) ([]Key, time.Duration, error) {
	var fields struct {
		Keys      []Key  `json:"keys"`
		UseWithin string `json:"use-within"`
	}
	target := entry.JoinPath("v1", "keys")
	target.RawQuery = url.Values{"count": {strconv.Itoa(c.cfg.KeyBatchSize)}}.Encode()
	if _, err := c.doRequest(ctx, http.MethodPost, target, nil, &fields); err != nil {
		return nil, 0, err
	}
	useWithin, err := time.ParseDuration(fields.UseWithin)
	return fields.Keys, useWithin, err
}

// sendCancel sends to entry a request that cancels the job that was submitted
// under key.
func (c *Client) sendCancel(ctx context.Context, entry *url.URL, key Key) error {
	_, err := c.doRequest(ctx, http.MethodDelete, entry.JoinPath("v1", "jobs", key.String()), nil, nil)
	return err
}

// doRequest sends a request and decodes the JSON of the response into fields,
// unless fields is nil. It returns the response's header, and a *RequestError
// if the response contains one.
func (c *Client) doRequest(
	ctx context.Context, method string, target *url.URL, body []byte, fields any,
) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set(contentTypeHeader, jsonContentType)
	response, err := c.cfg.HTTPClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if err := responseError(response.StatusCode, data); err != nil {
		return nil, err
	}
	if fields == nil {
		return response.Header, nil
	}
	return response.Header, errors.Wrapf(json.Unmarshal(data, fields), "response %d", response.StatusCode)
}

// responseError returns the *RequestError that the body of a response with the
// given HTTP status code encodes, or nil if the body encodes none. If the body
// of an error response is not JSON, such as a load balancer's page, it returns
// an error that is not a *RequestError.
func responseError(code int, data []byte) error {
	if code < http.StatusBadRequest {
		return nil
	}
	var fields errorBody
	if err := json.Unmarshal(data, &fields); err != nil {
		return errors.Wrap(err, fmt.Sprintf("response %d", code))
	}
	if fields.Error == "" {
		return nil
	}
	return &RequestError{Code: code, Fault: fields.Error, Detail: fields.Message}
}

// timeoutText returns the JSON value of a job's timeout. It is empty if the
// timeout is zero, which stands for the timeout of the job's route.
func timeoutText(timeout time.Duration) string {
	if timeout == 0 {
		return ""
	}
	return timeout.String()
}
