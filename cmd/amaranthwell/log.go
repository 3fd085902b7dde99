package main

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

	"github.com/amaranthwell/amaranthwell/operator"
)

// maxResponseBytes is the largest size of a log response in bytes.
const maxResponseBytes = 1 << 30

// httpLog is the platform's log over HTTP.
type httpLog struct {
	url    string
	client *http.Client
}

// newLog returns the log at url.
func newLog(url string) operator.Log {
	return &httpLog{url: url, client: &http.Client{}}
}

// Append appends body to stream.
func (l *httpLog) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	err := l.do(ctx, http.MethodPost, l.path(stream), body, &answer)
	return answer.Offset, err
}

// Read reads records of stream.
func (l *httpLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (operator.Page, error) {
	var answer struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset uint64 `json:"offset"`
			Body   []byte `json:"body"`
		} `json:"records"`
	}
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("wait", wait.String())
	query.Set("limit", strconv.Itoa(limit))
	if err := l.do(ctx, http.MethodGet, l.path(stream)+"?"+query.Encode(), nil, &answer); err != nil {
		return operator.Page{}, err
	}
	page := operator.Page{First: answer.First, Next: answer.Next}
	for _, r := range answer.Records {
		page.Records = append(page.Records, operator.Record{Offset: r.Offset, Body: r.Body})
	}
	return page, nil
}

func (l *httpLog) path(stream string) string {
	return fmt.Sprintf("%s/v1/streams/%s/records", l.url, stream)
}

func (l *httpLog) do(ctx context.Context, method, url string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Newf("log answers %s", response.Status)
	}
	return json.Unmarshal(content, answer)
}
