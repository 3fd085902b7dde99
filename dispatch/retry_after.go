package dispatch

import (
	"hash/fnv"
	"time"
)

const (
	// retryStep is the unit of Retry-After on the wire.
	retryStep = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is
	// told to retry.
	minRetryAfter = retryStep
	maxRetryAfter = 8 * time.Second
)

// retryAfter returns the time after which the caller of a refused job should submit it
// again. Capacity is expected to be free again after wait. The retries of less urgent and
// of larger jobs are spread over a longer time: spread is at least 0. The time is not beyond
// the caller's deadline, if a shorter one is possible.
func retryAfter(now time.Time, id string, wait, spread time.Duration, deadline time.Time) time.Duration {
	target := wait + time.Duration(retryJitter(id)*float64(spread))
	steps := target / retryStep
	if target%retryStep > 0 {
		steps++
	}
	after := min(max(steps*retryStep, minRetryAfter), maxRetryAfter)
	if left := deadline.Sub(now); left > minRetryAfter {
		after = min(after, left.Truncate(retryStep))
	}
	return max(after, minRetryAfter)
}

// defaultRetrySpread is the time over which the retries of jobs are spread that were refused
// for a reason other than the load: the time in which a new leader usually leads.
const defaultRetrySpread = time.Second

// retryAfterRefusal returns the time after which the caller of j should submit it again, if
// it was refused for a reason other than the load of its pool.
func (j *Job) retryAfterRefusal(now time.Time) time.Duration {
	return retryAfter(now, j.ID, defaultRetrySpread, time.Duration(1+max(j.Urgency, 0))*defaultRetrySpread, j.CallerDeadline)
}

// retrySpread returns the time over which the retries of refused jobs of the same kind and
// size as j are spread: those of the most urgent and smallest within the first step.
func (j *activeJob) retrySpread() time.Duration {
	spread := retryStep * time.Duration(1+max(j.Urgency, 0))
	if j.size != ordinarySize {
		spread += retryStep
	}
	return spread
}

// retryJitter returns a number in [0, 1) that is derived from a job's ID, so that refused
// callers do not all retry at the same time.
func retryJitter(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	// The high bits of FNV of short, similar IDs differ too little.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	return float64(x) / (1 << 32)
}
