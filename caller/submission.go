package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// An AnswerError reports that the answer to a submission cannot belong to the
// submitted job.
type AnswerError struct {
	// Key is the key of the submitted job.
	Key Key
	// Problem is what is wrong with the answer.
	Problem string
}

// Error returns the key and the problem.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("job %s: wrong answer: %s", e.Key, e.Problem)
}

// minTimeout is the timeout that is sent when a job is submitted again after
// its deadline. A timeout of zero would stand for the timeout of the route.
const minTimeout = time.Millisecond

// A submission is one call of Client.Submit.
type submission struct {
	client  *Client
	job     Job
	retrier retrier
	// deadline is the time at which the job's timeout passes. It is zero if
	// the job has no timeout.
	deadline time.Time
	// answer is the last answer under the job's key, or nil. While the job
	// waits for a new key, it is the last answer under the previous key.
	answer *Answer
	// attempts is the number of times that the job was sent.
	attempts int
	// lastErr is the error of the last attempt, or nil if there was an answer.
	lastErr error
}

// run submits the job until it gets an answer after which it is not submitted
// again, an entry rejects it, or ctx ends.
func (s *submission) run(ctx context.Context) (Answer, error) {
	for {
		next, suggested := retrySameKey, time.Duration(0)
		answer, err := s.attempt(ctx)
		if isRejection(err) {
			return Answer{}, err
		}
		s.lastErr = err
		if err == nil {
			s.answer = &answer
			s.dropUnreachableKeys(answer)
			next, suggested = s.retrier.next(answer), answer.RetryAfter
		}
		if next == returnAnswer {
			return answer, nil
		}
		if !s.wait(ctx, suggested) {
			return s.giveUp(ctx)
		}
		if next == retryNewKey {
			s.job.Key = Key{}
			s.retrier.pauses = 0
		}
	}
}

// attempt sends the job to the next entry and returns the answer. It first
// acquires a key if the job has none.
func (s *submission) attempt(ctx context.Context) (Answer, error) {
	if timeout := s.client.cfg.AttemptTimeout; timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	entry := s.client.nextEntry()
	if s.job.Key.IsZero() {
		key, err := s.client.acquireKey(ctx, entry)
		if err != nil {
			return Answer{}, err
		}
		s.job.Key = key
		s.answer = nil
	}
	s.attempts++
	return s.send(ctx, entry)
}

// send sends the job to entry with the timeout that is left, and returns the
// answer. It returns an *AnswerError if the answer cannot belong to the job.
func (s *submission) send(ctx context.Context, entry *url.URL) (Answer, error) {
	job := s.job
	sent := time.Now()
	if !s.deadline.IsZero() {
		job.Timeout = max(s.deadline.Sub(sent), minTimeout)
	}
	answer, nextKey, err := s.client.sendJob(ctx, entry, job)
	if err != nil {
		return Answer{}, err
	}
	if !nextKey.IsZero() {
		s.client.cacheKey(nextKey, sent)
	}
	return answer, checkAnswer(job, answer)
}

// dropUnreachableKeys removes all cached keys of the process that issued the
// answer's key, if the answer shows that this process is unreachable, has ended
// or is shutting down.
func (s *submission) dropUnreachableKeys(answer Answer) {
	switch answer.Reason {
	case ReasonOwnerUnreachable, ReasonOwnerGone, ReasonLeaving:
		s.client.dropIssuerKeys(answer.Key)
	}
}

// wait waits for the backoff before the next attempt. It returns false if there
// is no time for another attempt: when ctx ends, or at once if the deadline of
// ctx would pass during the backoff.
func (s *submission) wait(ctx context.Context, suggested time.Duration) bool {
	pause := s.client.backoff(&s.retrier, suggested)
	end, bounded := ctx.Deadline()
	if ctx.Err() != nil || bounded && time.Now().Add(pause).After(end) {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// giveUp returns the result of a submission whose time is up: the last answer,
// or a *NoAnswerError if there is none.
func (s *submission) giveUp(ctx context.Context) (Answer, error) {
	if s.answer != nil {
		return *s.answer, nil
	}
	last := s.lastErr
	if last == nil {
		last = ctx.Err()
	}
	return Answer{}, &NoAnswerError{Key: s.job.Key, Attempts: s.attempts, LastErr: last}
}

// checkAnswer returns an *AnswerError if answer cannot belong to job, and nil
// otherwise.
func checkAnswer(job Job, answer Answer) error {
	switch {
	case answer.Key != job.Key:
		return &AnswerError{Key: job.Key, Problem: "it has another key"}
	case answer.Status == Complete && len(answer.Results) != len(job.Tasks):
		problem := fmt.Sprintf("%d results for %d tasks", len(answer.Results), len(job.Tasks))
		return &AnswerError{Key: job.Key, Problem: problem}
	case answer.Status != Complete && answer.Results != nil:
		return &AnswerError{Key: job.Key, Problem: "it has results but is not complete"}
	}
	switch answer.Status {
	case Complete, Failed, NotRun, Unknown:
		return nil
	}
	return &AnswerError{Key: job.Key, Problem: fmt.Sprintf("undefined status: %q", answer.Status)}
}

// isRejection reports whether err means that the request itself is invalid, so
// that any other entry would reject it too. FaultIncompleteBody is not such an
// error, since a broken connection may be the cause.
func isRejection(err error) bool {
	var requestErr *RequestError
	if !errors.As(err, &requestErr) {
		return false
	}
	return requestErr.Code < http.StatusInternalServerError && requestErr.Fault != FaultIncompleteBody
}
