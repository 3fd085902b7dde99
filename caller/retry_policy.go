package caller

import (
	"math/rand/v2"
	"time"
)

// A RetryPolicy determines after which answers a Client submits a job again
// under a new key. With the zero RetryPolicy it never does.
type RetryPolicy struct {
	// NotRunRetries is the maximum number of times that a job is submitted
	// again under a new key because the answer was NotRun. The Client waits at
	// least for the answer's RetryAfter before it does so.
	NotRunRetries int
	// Idempotent is set if tasks may safely run twice. If it is set, a job
	// whose answer can no longer be obtained under its key is submitted again
	// under a new key.
	Idempotent bool
}

// Bounds of the backoff between two attempts, before jitter.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = time.Second
)

// An action is what a Client does after an answer.
type action string

const (
	// returnAnswer returns the answer to the caller.
	returnAnswer action = "give-answer"
	// retrySameKey submits the job again under the same key.
	retrySameKey action = "ask-again"
	// retryNewKey submits the job again under a new key.
	retryNewKey action = "submit-anew"
)

// A retrier chooses what a Client does after each answer to one job.
type retrier struct {
	policy RetryPolicy
	// notRunRetries counts the retries under a new key after NotRun.
	notRunRetries int
	// pauses counts the backoffs under the current key.
	pauses int
}

// next returns the action after answer, and counts the retry if the action is a
// retry after NotRun. A retry under the same key is always safe, since a job is
// started at most once under one key; a retry under a new key may run the job
// twice.
func (r *retrier) next(answer Answer) action {
	switch {
	case answer.Status == NotRun && r.notRunRetries < r.policy.NotRunRetries && mayRunLater(answer.Reason):
		r.notRunRetries++
		return retryNewKey
	case answer.Status == Unknown && answer.Reason == ReasonOwnerUnreachable:
		return retrySameKey
	case answer.Status == Unknown && r.policy.Idempotent && answerUnobtainable(answer.Reason):
		return retryNewKey
	}
	return returnAnswer
}

// mayRunLater reports whether a job that was not run for reason may run if it
// is submitted again.
func mayRunLater(reason Reason) bool {
	switch reason {
	case ReasonUnknownRoute, ReasonImpossible, ReasonCancelled, ReasonTimeout:
		return false
	}
	return true
}

// answerUnobtainable reports whether reason means that no further submission
// under the same key can return the job's answer.
func answerUnobtainable(reason Reason) bool {
	return reason == ReasonOwnerGone || reason == ReasonKeyExpired
}

// backoff returns the time to wait before the next attempt, and counts the
// pause. The time is the larger of suggested and a backoff that doubles with
// each pause under the same key, from minBackoff to maxBackoff. A random part
// of up to half of it is added, so that many callers do not retry at the same
// time.
func (r *retrier) backoff(suggested time.Duration, random *rand.Rand) time.Duration {
	base := minBackoff << min(r.pauses, 20)
	base = max(suggested, min(base, maxBackoff))
	r.pauses++
	return base + time.Duration(random.Int64N(int64(base)/2+1))
}
