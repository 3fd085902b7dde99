package logservice

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/amaranthwell/amaranthwell/httpjson"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/platform"
)

// LogConfig configures a LogClient.
type LogConfig struct {
	// URL is the base URL of the store, such as "http://127.0.0.1:7100".
	URL string
	// Timeout is the time within which an append or a read must end. For a read,
	// the time that it waits for a record is added. Zero means DefaultTimeout. Each
	// request is also bounded by the timeout of platform.Store.
	Timeout time.Duration
	// Wait is the time that a subscription's read waits for a record. Zero
	// means DefaultWait.
	Wait time.Duration
	// Backoff sets the pauses after a subscription's failed reads.
	Backoff BackoffConfig
	// Rand is the source of the jitter of the pauses, which only this client may
	// use. Nil means a source with a random seed.
	Rand *rand.Rand
	// Logger receives failed reads of subscriptions. Nil discards them.
	Logger log.Logger
}

const (
	// DefaultTimeout is the time within which a call must end. For a read, the time
	// that it waits for a record is added.
	DefaultTimeout = 5 * time.Second
	// DefaultWait is the time that a subscription's read waits for a record.
	DefaultWait = 5 * time.Second
)

// A LogClient keeps streams of records in the platform's store. It is a
// watermill Publisher and Subscriber, whose topics are the streams. It is safe
// for concurrent use.
type LogClient struct {
	cfg   LogConfig
	store *platform.Store

	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	closed        bool
	subscriptions sync.WaitGroup
}

// NewLogClient returns a LogClient, which sends nothing yet. It returns a
// *ConfigError if cfg is out of range.
func NewLogClient(cfg LogConfig) (*LogClient, error) {
	store, err := newStore(cfg.URL)
	if err != nil {
		return nil, err
	}
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
	c := &LogClient{cfg: cfg, store: store}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// Append writes a record to the end of the stream and returns its offset. It
// returns a *RefusedError if the append certainly had no effect, and an
// *UnknownOutcomeError if it may have taken effect. It does not retry.
func (c *LogClient) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	offset, err := c.store.AppendRecord(ctx, stream, body)
	if err != nil {
		return 0, appendError(stream, err)
	}
	return streamOffset(offset), nil
}

// streamOffset converts an offset in the store, where the first record has offset 0,
// into the offset in a stream, where the first record has offset 1.
func streamOffset(inStore int64) uint64 { return uint64(inStore) + 1 }

// appendError returns a *RefusedError if err proves that the append had no effect,
// and an *UnknownOutcomeError otherwise. A failed dial, status 503, status 507 and any
// status from 400 to 499 prove it.
func appendError(stream string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &RefusedError{Stream: stream, Err: err}
	}
	var statusErr *httpjson.StatusError
	if !errors.As(err, &statusErr) {
		return &UnknownOutcomeError{Stream: stream, Err: err}
	}
	switch status := statusErr.Status; {
	case status == http.StatusServiceUnavailable, status == http.StatusInsufficientStorage, status >= 400 && status < 500:
		return &RefusedError{Stream: stream, Status: status, Err: err}
	default:
		return &UnknownOutcomeError{Stream: stream, Status: status, Err: err}
	}
}

// Read returns at most limit records of the stream, of which the first has the offset
// from, which must be at least 1. If that record is not written yet, Read waits for it,
// but no longer than wait. If it has expired, the returned records begin with the
// oldest that is kept, whose offset is the page's First. Read returns a
// *httpjson.StatusError if the store refuses the read.
func (c *LogClient) Read(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (operator.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.Timeout)
	defer cancel()
	page, err := c.store.ReadPage(ctx, stream, int64(from)-1, wait)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		page, err = c.store.ReadPage(ctx, stream, expired.First, 0)
	}
	if err != nil {
		return operator.Page{}, errors.Wrapf(err, "read %s", stream)
	}
	result := operator.Page{First: streamOffset(page.First), Next: streamOffset(page.End)}
	for n, body := range page.Records[:min(limit, len(page.Records))] {
		result.Records = append(result.Records, operator.Record{Offset: streamOffset(page.From + int64(n)), Body: body})
	}
	return result, nil
}
