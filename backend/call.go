package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"
)

// The header fields of a task request and of its response.
const (
	keyField     = "Submission-Key"
	indexField   = "Task-Index"
	attemptField = "Task-Attempt"
	routeField   = "Route"
	// timeoutField holds the Timeout of the Request in milliseconds, rounded
	// up.
	timeoutField = "Task-Timeout"
	notRunField  = "Not-Run"
	leavingField = "Leaving"
	runningField = "Running"
	waitingField = "Waiting"
)

// tasksPath is the URL path to which tasks are posted on a backend server.
const tasksPath = "/v1/tasks"

// A call holds the tracker, the body and the header values of one request in a
// single allocation.
type call struct {
	tracker sendTracker
	trace   httptrace.ClientTrace
	payload bytes.Reader
	// values holds the values of the request header fields.
	values [5]string
	header http.Header
}

func newCall(r Request) *call {
	c := &call{header: make(http.Header, len(call{}.values))}
	c.trace.GotConn = c.tracker.gotConn
	c.payload.Reset(r.Payload)
	c.set(0, keyField, r.Key)
	c.set(1, indexField, strconv.Itoa(r.Index))
	c.set(2, attemptField, strconv.Itoa(r.Attempt))
	c.set(3, routeField, r.Route)
	if r.Timeout > 0 {
		ms := (r.Timeout + time.Millisecond - 1) / time.Millisecond
		c.set(4, timeoutField, strconv.FormatInt(int64(ms), 10))
	}
	return c
}

// set sets a header field and stores its value at index i of values.
func (c *call) set(i int, field, value string) {
	c.values[i] = value
	c.header[field] = c.values[i : i+1 : i+1]
}

// request returns the HTTP request that posts the task to the given URL. The
// request has no GetBody, so that the transport cannot send the body a second
// time.
func (c *call) request(ctx context.Context, to *url.URL) *http.Request {
	request := http.Request{
		Method:        http.MethodPost,
		URL:           to,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        c.header,
		ContentLength: int64(c.payload.Len()),
	}
	if request.ContentLength > 0 {
		// The transport recognizes this type of body. Only then does it send
		// header and body in a single write.
		request.Body = io.NopCloser(&c.payload)
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &c.trace))
}
