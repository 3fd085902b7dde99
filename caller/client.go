package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Entries holds the base URLs of the entry instances, or of a load
	// balancer in front of them. It must not be empty.
	Entries []*url.URL
	// HTTPClient sends the requests. Nil means http.DefaultClient.
	HTTPClient *http.Client
	// Random selects the first entry and the jitter of backoffs. Nothing but
	// the Client may use it after NewClient. It must not be nil.
	Random *rand.Rand
	// KeyBatchSize is the number of keys that the Client requests at once and
	// the maximum number of unused keys that it caches, in [1, MaxKeys].
	KeyBatchSize int
	// AttemptTimeout is the time without an answer after which the Client
	// submits the job under the same key through the next entry. Zero means
	// no limit: an attempt lasts as long as its connection.
	AttemptTimeout time.Duration
	// GracePeriod is the time for which the Client still waits for an answer
	// after the job's timeout has passed. It must not be negative.
	GracePeriod time.Duration
}

// A NoAnswerError reports that a job received no answer before the Client
// stopped trying.
type NoAnswerError struct {
	// Key is the job's key, under which the job can be submitted again. If it
	// is zero, the job was never sent.
	Key Key
	// Attempts is the number of times that the job was sent.
	Attempts int
	// LastErr is the error of the last attempt. It is not nil.
	LastErr error
}

// Error returns the key, the number of attempts and the last error.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("job %s: no answer after %d attempts: %v", e.Key, e.Attempts, e.LastErr)
}

// Unwrap returns the error of the last attempt.
func (e *NoAnswerError) Unwrap() error {
	return e.LastErr
}

// A Client submits jobs to entry instances. It is safe for concurrent use.
type Client struct {
	cfg ClientConfig

	// mu guards the fields below and cfg.Random.
	mu       sync.Mutex
	keyCache keyCache
	// useWithin is the age at which a key can no longer be used for the first
	// time. It is zero until the first batch of keys has been fetched.
	useWithin time.Duration
	// rotation grows by one with each entry that is chosen.
	// rotation%len(cfg.Entries) is the index of the entry chosen last.
	rotation int
}

// NewClient returns a Client that has no keys yet. It returns a *ConfigError
// if a field of cfg is out of range.
func NewClient(cfg ClientConfig) (*Client, error) {
	switch {
	case len(cfg.Entries) == 0:
		return nil, &ConfigError{Field: "Entries", Problem: "must not be empty"}
	case cfg.Random == nil:
		return nil, &ConfigError{Field: "Random", Problem: "must not be nil"}
	case cfg.KeyBatchSize < 1 || cfg.KeyBatchSize > MaxKeys:
		return nil, &ConfigError{Field: "KeyBatchSize", Problem: fmt.Sprintf("must be in [1, %d]", MaxKeys)}
	case cfg.AttemptTimeout < 0:
		return nil, &ConfigError{Field: "AttemptTimeout", Problem: "must not be negative"}
	case cfg.GracePeriod < 0:
		return nil, &ConfigError{Field: "GracePeriod", Problem: "must not be negative"}
	}
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = http.DefaultClient
	}
	return &Client{
		cfg:      cfg,
		keyCache: keyCache{max: cfg.KeyBatchSize},
		rotation: cfg.Random.IntN(len(cfg.Entries)),
	}, nil
}

// Submit submits job and returns its answer. If an attempt gets no answer, or
// the answer is that the key's owner cannot be reached, Submit submits the job
// under the same key through the next entry. It does so until ctx ends or, if
// the job has a Timeout, until that and the Client's GracePeriod have passed.
// After some other answers it submits the job under a new key, as policy
// states. If the job's Key is zero, Submit assigns it one of the Client's keys.
//
// Submit returns a *RequestError if an entry rejects the request, and a
// *NoAnswerError if there was no answer in time.
func (c *Client) Submit(ctx context.Context, job Job, policy RetryPolicy) (Answer, error) {
	s := submission{client: c, job: job, retrier: retrier{policy: policy}}
	if job.Timeout > 0 {
		s.deadline = time.Now().Add(job.Timeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.deadline.Add(c.cfg.GracePeriod))
		defer cancel()
	}
	return s.run(ctx)
}

// Cancel cancels the job that was submitted under key. It tries each entry
// once, until an entry accepts the cancellation or rejects the request, and
// returns the error of the last entry tried: a *RequestError if that entry
// rejected the request.
func (c *Client) Cancel(ctx context.Context, key Key) error {
	var err error
	for range c.cfg.Entries {
		err = c.sendCancel(ctx, c.nextEntry(), key)
		if err == nil || isRejection(err) {
			return err
		}
	}
	return err
}

// nextEntry returns the entries in rotation, one with each call.
func (c *Client) nextEntry() *url.URL {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotation++
	return c.cfg.Entries[c.rotation%len(c.cfg.Entries)]
}

// acquireKey removes a key from the cache and returns it. If no cached key can
// be used, it first requests a batch of keys from entry.
func (c *Client) acquireKey(ctx context.Context, entry *url.URL) (Key, error) {
	if key, ok := c.takeCachedKey(time.Now()); ok {
		return key, nil
	}
	requested := time.Now()
	keys, useWithin, err := c.fetchKeys(ctx, entry)
	if err != nil {
		return Key{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.useWithin = useWithin
	for _, key := range keys {
		c.keyCache.add(key, c.useBefore(requested))
	}
	key, ok := c.keyCache.take(requested)
	if !ok {
		return Key{}, errors.New("the entry issued no usable key")
	}
	return key, nil
}

// takeCachedKey removes and returns a cached key that may be used at now.
func (c *Client) takeCachedKey(now time.Time) (Key, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keyCache.take(now)
}

// cacheKey caches a key that was received with the answer to a request sent at
// the time requested. It ignores the key if no batch has been fetched yet,
// since the time within which the key must first be used is then unknown.
func (c *Client) cacheKey(key Key, requested time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.useWithin > 0 {
		c.keyCache.add(key, c.useBefore(requested))
	}
}

// useBefore returns the time before which the Client must use a key from the
// answer to a request sent at the time requested. The key was issued no earlier
// than that. The Client uses it within the first half of useWithin, and leaves
// the other half for the job to reach the key's owner.
func (c *Client) useBefore(requested time.Time) time.Time {
	return requested.Add(c.useWithin / 2)
}

// dropIssuerKeys removes all cached keys that were issued by the process that
// issued key.
func (c *Client) dropIssuerKeys(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyCache.dropIssuer(key)
}

// backoff calls r.backoff with the Client's source of random numbers.
func (c *Client) backoff(r *retrier, suggested time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.backoff(suggested, c.cfg.Random)
}
