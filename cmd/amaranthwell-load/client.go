package main

import (
	"context"
	"net/http"
	"time"
)

// How clients behave.
const (
	// maxSubmissions bounds how often a client submits one job anew after
	// answers of not-run.
	maxSubmissions = 4
	// defaultRetryAfter is how long a client waits when no time is suggested.
	defaultRetryAfter = 500 * time.Millisecond
	// lostPause is how long a client waits before it asks again for an
	// answer whose connection broke.
	lostPause = 100 * time.Millisecond
	// leastTimeout is the least time that a client still submits a job with.
	leastTimeout = 50 * time.Millisecond
)

// A client submits jobs as one of many callers behind the balancer.
type client struct {
	http     *http.Client
	balancer *balancer
	keys     []*keySource
	recorder *recorder
}

func newClient(b *balancer, rec *recorder) *client {
	const idleConnections = 4096 // Connections an entry instance.
	c := &client{
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
		balancer: b,
		recorder: rec,
	}
	for _, e := range b.entries {
		c.keys = append(c.keys, &keySource{client: c.http, entry: e.caller})
	}
	return c
}

// A submission is one job with how a client sends it.
type submission struct {
	job job
	// start is when the client means to submit the job.
	start time.Time
	// entry is the index of the one entry instance that the client uses, or
	// anyEntry.
	entry int
	// cancelAfter is when the client cancels the job, counted from start.
	// Zero means never.
	cancelAfter time.Duration
}

// anyEntry lets the balancer choose the entry instance.
const anyEntry = -1

// An outcome is what became of a submission.
type outcome struct {
	submission submission
	end        time.Time
	// status is the last answer's, or "lost" without one.
	status string
	reason string
	// answer is the last answer.
	answer answer
	// submissions counts the keys used, losses the connections that broke.
	submissions int
	losses      int
	// lag is how late the client began.
	lag time.Duration
}

// statusLost is the status of a job without any answer.
const statusLost = "lost"

// run submits s at its start, behaves as a caller should, and records the
// outcome. The first key is fetched before the start.
func (c *client) run(ctx context.Context, s submission) {
	o := outcome{submission: s, status: statusLost}
	key, err := c.takeKey(ctx, s)
	sleepUntil(ctx, s.start)
	o.lag = time.Since(s.start)
	deadline := s.start.Add(jobTimeout)
	for ; ; key, err = c.takeKey(ctx, s) {
		o.submissions++
		if err == nil {
			c.submitKey(ctx, key, deadline, &o)
		}
		if err == nil && o.status != statusNotRun {
			break
		}
		next := time.Now().Add(retryAfter(o.answer))
		if o.submissions == maxSubmissions || next.Add(leastTimeout).After(deadline) || ctx.Err() != nil {
			break
		}
		sleepUntil(ctx, next)
	}
	o.end = time.Now()
	c.recorder.record(o)
}

// takeKey returns a key from an entry instance.
func (c *client) takeKey(ctx context.Context, s submission) (string, error) {
	entry := c.entry(s)
	key, err := c.keys[entry].take(ctx)
	if err != nil && s.entry == anyEntry {
		c.balancer.markDown(entry)
		return c.keys[c.entry(s)].take(ctx)
	}
	return key, err
}

// entry returns the index of the entry instance for the next request of s.
func (c *client) entry(s submission) int {
	if s.entry != anyEntry {
		return s.entry
	}
	return c.balancer.choose()
}

// submitKey submits the job under key until an answer comes. It submits it
// again under the same key when the connection breaks.
func (c *client) submitKey(ctx context.Context, key string, deadline time.Time, o *outcome) {
	o.status, o.reason = statusLost, ""
	if after := o.submission.cancelAfter; after > 0 {
		timer := time.AfterFunc(time.Until(o.submission.start.Add(after)), func() {
			_ = cancelJob(ctx, c.http, c.balancer.entries[c.entry(o.submission)].caller, key)
		})
		defer timer.Stop()
	}
	for ctx.Err() == nil {
		left := time.Until(deadline)
		if left < leastTimeout {
			return
		}
		entry := c.entry(o.submission)
		a, err := submit(ctx, c.http, c.balancer.entries[entry].caller, key, o.submission.job, left)
		if err == nil {
			o.answer, o.status, o.reason = a, a.Status, a.Reason
			c.recorder.recordAnswer(key, o.submission.job, a)
			return
		}
		if isRefused(err) {
			c.balancer.markDown(entry)
		} else {
			o.losses++
		}
		sleepUntil(ctx, time.Now().Add(lostPause))
	}
}

func retryAfter(a answer) time.Duration {
	d, err := time.ParseDuration(a.RetryAfter)
	if err != nil || d <= 0 {
		return defaultRetryAfter
	}
	return d
}

// sleepUntil waits until t or the end of ctx.
func sleepUntil(ctx context.Context, t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
