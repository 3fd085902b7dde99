package logservice

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/amaranthwell/amaranthwell/httpjson"
)

// LogConfig configures a LogClient.
type LogConfig struct {
	// URL is the base URL of the log service, such as
	// "http://127.0.0.1:7100".
	URL string
	// Timeout is the time within which the log must answer, beyond the wait
	// of a read. Zero means DefaultTimeout.
	Timeout time.Duration
	// Wait is the time that a subscription's read waits for a record. Zero
	// means DefaultWait.
	Wait time.Duration
	// Backoff sets the time between a subscription's failed reads.
	Backoff BackoffConfig
	// Rand is the source of jitter. Nil means one with a random seed. The
	// client is its only user.
	Rand *rand.Rand
	// Logger receives what goes wrong. Nil drops it.
	Logger log.Logger
}

// DefaultWait is the time that a subscription's read waits for a record.
const DefaultWait = 5 * time.Second

// A Record is one record of a stream.
type Record struct {
	// Offset is the record's place in its stream, from 1.
	Offset uint64
	// Body is the record's content.
	Body []byte
}

// A Page is the answer to one read of a stream.
type Page struct {
	// First is the offset of the oldest record that the log still keeps. It
	// equals Next if it keeps none.
	First uint64
	// Next is the offset that the next record to be written will have.
	Next uint64
	// Records holds the records read, by ascending offset.
	Records []Record
}

// A LogClient speaks to the platform's append-only log service. It is a
// watermill Publisher and Subscriber, whose topics are the log's streams. It
// is safe for concurrent use.
type LogClient struct {
	cfg    LogConfig
	client *http.Client

	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	closed        bool
	subscriptions sync.WaitGroup
}

// NewLogClient returns a LogClient, which sends nothing yet. It returns a
// *ConfigError if cfg is out of range.
func NewLogClient(cfg LogConfig) (*LogClient, error) {
	base, err := parseBase(cfg.URL)
	if err != nil {
		return nil, err
	}
	cfg.URL = base
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Wait == 0 {
		cfg.Wait = DefaultWait
	}
	if cfg.Backoff, err = cfg.Backoff.withDefaults(); err != nil {
		return nil, err
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	c := &LogClient{cfg: cfg, client: &http.Client{Transport: newTransport()}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// recordsURL returns the URL of the stream's records.
func (c *LogClient) recordsURL(stream string) string {
	return c.cfg.URL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append writes a record to the end of the stream and returns its offset. It
// returns a *RefusedError if the append has proved to have no effect, and an
// *UnknownError if it may have taken effect. It never tries twice.
func (c *LogClient) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, &RefusedError{Stream: stream, Err: err}
	}
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	if err := httpjson.Do(c.client, req, &answer); err != nil {
		return 0, appendError(stream, err)
	}
	if answer.Offset == 0 {
		return 0, &UnknownError{Stream: stream, Status: http.StatusOK, Err: errors.New("no offset in the answer")}
	}
	return answer.Offset, nil
}

// appendError sorts the error of an append by what it proves.
func appendError(stream string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &RefusedError{Stream: stream, Err: err}
	}
	var statusErr *httpjson.StatusError
	if !errors.As(err, &statusErr) {
		return &UnknownError{Stream: stream, Err: err}
	}
	switch status := statusErr.Status; {
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return &RefusedError{Stream: stream, Status: status, Err: err}
	default:
		return &UnknownError{Stream: stream, Status: status, Err: err}
	}
}

// Read returns at most limit records of the stream from the offset from on. If
// there is none it waits for one, at most for wait. A page whose First is
// above from tells that records expired unread. It returns a *httpjson.StatusError if
// the log refuses.
func (c *LogClient) Read(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.Timeout)
	defer cancel()
	query := fmt.Sprintf("?from=%d&wait=%s&limit=%d", from, wait, limit)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+query, http.NoBody)
	if err != nil {
		return Page{}, err
	}
	var answer struct {
		First   uint64 `json:"first"`
		Next    uint64 `json:"next"`
		Records []struct {
			Offset uint64 `json:"offset"`
			Body   []byte `json:"body"`
		} `json:"records"`
	}
	if err := httpjson.Do(c.client, req, &answer); err != nil {
		return Page{}, errors.Wrapf(err, "read %s", stream)
	}
	page := Page{First: answer.First, Next: answer.Next}
	for _, r := range answer.Records {
		page.Records = append(page.Records, Record{Offset: r.Offset, Body: r.Body})
	}
	return page, nil
}
