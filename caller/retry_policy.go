package caller

import (
	"math/rand/v2"
	"time"
)

// RetryPolicy says which answers a Client answers by submitting the job once more.
// The zero RetryPolicy submits it under one key only.
type RetryPolicy struct {
	// NotRunRetries is how many times a job that was not run is submitted anew,
	// under a new key, after the time that the answer suggests.
	NotRunRetries int
	// Idempotent says that running a task twice does no harm. A job whose
	// key can no longer be asked for is then submitted anew, under a new key.
	Idempotent bool
}

// Bounds of the pause between two attempts.
const (
	minPause = 5 * time.Millisecond
	maxPause = time.Second
)

// An action is what a Client does about an answer.
type action string

const (
	// giveAnswer gives the answer to the caller.
	giveAnswer action = "give-answer"
	// askAgain submits the job under the same key.
	askAgain action = "ask-again"
	// submitAnew submits the job under a new key.
	submitAnew action = "submit-anew"
)

// A retrier decides what follows the answers of one job.
type retrier struct {
	policy RetryPolicy
	// notRun counts the jobs submitted anew after NotRun.
	notRun int
	// attempts counts the pauses under the present key.
	attempts int
}

// next returns what follows answer. Under one key, a job is started once at
// most, so asking again is always safe; a new key is not.
func (r *retrier) next(answer Answer) action {
	switch {
	case answer.Status == NotRun && r.notRun < r.policy.NotRunRetries && mayChange(answer.Reason):
		r.notRun++
		return submitAnew
	case answer.Status == Unknown && answer.Reason == ReasonOwnerUnreachable:
		return askAgain
	case answer.Status == Unknown && r.policy.Idempotent && keyIsSpent(answer.Reason):
		return submitAnew
	}
	return giveAnswer
}

// mayChange reports whether a job refused for reason may run later.
func mayChange(reason Reason) bool {
	switch reason {
	case ReasonUnknownRoute, ReasonImpossible, ReasonCancelled, ReasonTimeout:
		return false
	}
	return true
}

// keyIsSpent reports whether reason means that asking for the key again can't
// bring its answer.
func keyIsSpent(reason Reason) bool {
	return reason == ReasonOwnerGone || reason == ReasonKeyExpired
}

// pause returns the time to wait before the next attempt: at least the time
// suggested, else one that doubles from minPause to maxPause. A random part
// of up to half spreads the attempts of many callers.
func (r *retrier) pause(suggested time.Duration, random *rand.Rand) time.Duration {
	base := minPause << min(r.attempts, 20)
	base = max(suggested, min(base, maxPause))
	r.attempts++
	return base + time.Duration(random.Int64N(int64(base)/2+1))
}
