package main

import (
	"context"
	"net/http"
	"time"
)

// Limits and delays of a client.
const (
	// maxSubmissions is the maximum number of submissions of one job, each
	// under a new key. A client resubmits after an answer of not-run.
	maxSubmissions = 4
	// defaultRetryAfter is the delay before a resubmission if the answer
	// suggests none.
	defaultRetryAfter = 500 * time.Millisecond
	// resendDelay is the delay before a client repeats a request under the
	// same key after the connection broke or was refused.
	resendDelay = 100 * time.Millisecond
	// minTimeout is the shortest time before a job's deadline at which a client
	// still submits the job.
	minTimeout = 50 * time.Millisecond
)

// A client submits jobs through the balancer in the manner of many independent
// callers. It is safe for concurrent use.
type client struct {
	http     *http.Client
	balancer *balancer
	// keys holds the key source of each entry instance, in the order of
	// balancer.entries.
	keys     []*keySource
	recorder *recorder
}

func newClient(b *balancer, rec *recorder) *client {
	const idleConnections = 4096 // Per entry instance.
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

// A submission is a job and the way in which a client submits it.
type submission struct {
	job job
	// start is the intended time of the submission.
	start time.Time
	// entry is the index of the entry instance that receives all requests, or
	// anyEntry.
	entry int
	// cancelAfter is the time from start to the cancellation of the job, or 0
	// if the client does not cancel it.
	cancelAfter time.Duration
}

// anyEntry as the index of an entry instance means that the balancer chooses one
// for each request.
const anyEntry = -1

// An outcome is the result of a submission as the client observed it.
type outcome struct {
	submission submission
	end        time.Time
	// status is the status of the last answer, or statusLost if the last
	// request got none.
	status string
	reason string
	// answer is the last answer.
	answer answer
	// submissions counts the submissions, including those for which no key
	// could be fetched. brokenConnections counts the requests that ended
	// without an answer after a connection had been made.
	submissions       int
	brokenConnections int
	// startLag is the delay of the actual start after the intended one.
	startLag time.Duration
}

// statusLost is the status of a job whose last submission got no answer.
const statusLost = "lost"

// run submits s at its start time and records the outcome. It fetches the first key
// before the start. After an answer of not-run, or if no key can be fetched, it waits for
// the time that the last answer suggests, or else defaultRetryAfter, and submits the job
// again under a new key.
func (c *client) run(ctx context.Context, s submission) {
	o := outcome{submission: s, status: statusLost}
	key, err := c.takeKey(ctx, s)
	sleepUntil(ctx, s.start)
	o.startLag = time.Since(s.start)
	deadline := s.start.Add(jobTimeout)
	for ; ; key, err = c.takeKey(ctx, s) {
		o.submissions++
		if err == nil {
			c.submitUnderKey(ctx, key, deadline, &o)
		}
		if err == nil && o.status != statusNotRun {
			break
		}
		next := time.Now().Add(retryAfter(o.answer))
		if o.submissions == maxSubmissions || next.Add(minTimeout).After(deadline) || ctx.Err() != nil {
			break
		}
		sleepUntil(ctx, next)
	}
	o.end = time.Now()
	c.recorder.record(o)
}

// takeKey returns a key from the entry instance for s. If the fetch fails and the
// balancer has chosen the instance, takeKey marks the instance as down and tries once
// more with a new choice.
func (c *client) takeKey(ctx context.Context, s submission) (string, error) {
	entry := c.entry(s)
	key, err := c.keys[entry].take(ctx)
	if err != nil && s.entry == anyEntry {
		c.balancer.markDown(entry)
		return c.keys[c.entry(s)].take(ctx)
	}
	return key, err
}

// entry returns the index of the entry instance that receives the next request of s: the
// one that s names or, for anyEntry, one that the balancer chooses.
func (c *client) entry(s submission) int {
	if s.entry != anyEntry {
		return s.entry
	}
	return c.balancer.choose()
}

// submitUnderKey submits the job under key and stores the answer in o. If the
// connection breaks or is refused, it repeats the request under the same key until
// the deadline.
func (c *client) submitUnderKey(ctx context.Context, key string, deadline time.Time, o *outcome) {
	o.status, o.reason = statusLost, ""
	if after := o.submission.cancelAfter; after > 0 {
		timer := time.AfterFunc(time.Until(o.submission.start.Add(after)), func() {
			_ = cancelJob(ctx, c.http, c.balancer.entries[c.entry(o.submission)].caller, key)
		})
		defer timer.Stop()
	}
	for ctx.Err() == nil {
		left := time.Until(deadline)
		if left < minTimeout {
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
			o.brokenConnections++
		}
		sleepUntil(ctx, time.Now().Add(resendDelay))
	}
}

func retryAfter(a answer) time.Duration {
	d, err := time.ParseDuration(a.RetryAfter)
	if err != nil || d <= 0 {
		return defaultRetryAfter
	}
	return d
}

// sleepUntil blocks until t or until ctx ends.
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
