package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// An AnswerError reports an answer that can't be the one to its job.
type AnswerError struct {
	// Key is the job's key.
	Key Key
	// Problem says what is wrong with the answer.
	Problem string
}

// Error returns the key and the problem.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("job %s: wrong answer: %s", e.Key, e.Problem)
}

// minTimeout is the timeout of a job that is asked for after its deadline. A
// zero timeout would mean the route's own.
const minTimeout = time.Millisecond

// A submission is one call of Client.Submit.
type submission struct {
	client  *Client
	job     Job
	retrier retrier
	// deadline is when the job's timeout passes, or zero.
	deadline time.Time
	// answer is the last answer under the present key, or under the former
	// one while the present was not sent. It is nil if there is none.
	answer   *Answer
	attempts int
	lastErr  error
}

// run submits the job until there is an answer to give, or no time.
func (s *submission) run(ctx context.Context) (Answer, error) {
	for {
		next, suggested := askAgain, time.Duration(0)
		answer, err := s.attempt(ctx)
		if rejected(err) {
			return Answer{}, err
		}
		s.lastErr = err
		if err == nil {
			s.answer = &answer
			s.forgetKeys(answer)
			next, suggested = s.retrier.next(answer), answer.RetryAfter
		}
		if next == giveAnswer {
			return answer, nil
		}
		if !s.wait(ctx, suggested) {
			return s.giveUp(ctx)
		}
		if next == submitAnew {
			s.job.Key = Key{}
			s.retrier.attempts = 0
		}
	}
}

// attempt sends the job once, with a key.
func (s *submission) attempt(ctx context.Context) (Answer, error) {
	if timeout := s.client.cfg.AttemptTimeout; timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	entry := s.client.entry()
	if s.job.Key.IsZero() {
		key, err := s.client.key(ctx, entry)
		if err != nil {
			return Answer{}, err
		}
		s.job.Key = key
		s.answer = nil
	}
	s.attempts++
	return s.send(ctx, entry)
}

// send sends the job to entry and checks that the answer is the job's.
func (s *submission) send(ctx context.Context, entry *url.URL) (Answer, error) {
	job := s.job
	asked := time.Now()
	if !s.deadline.IsZero() {
		job.Timeout = max(s.deadline.Sub(asked), minTimeout)
	}
	answer, nextKey, err := s.client.sendJob(ctx, entry, job)
	if err != nil {
		return Answer{}, err
	}
	if !nextKey.IsZero() {
		s.client.hold(nextKey, asked)
	}
	return answer, checkAnswer(job, answer)
}

// forgetKeys drops the keys of an issuer that answer shows to be out of reach.
func (s *submission) forgetKeys(answer Answer) {
	switch answer.Reason {
	case ReasonOwnerUnreachable, ReasonOwnerGone, ReasonLeaving:
		s.client.dropKeys(answer.Key)
	}
}

// wait waits before the next attempt. It reports whether there is time left
// for one.
func (s *submission) wait(ctx context.Context, suggested time.Duration) bool {
	pause := s.client.pause(&s.retrier, suggested)
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

// giveUp returns the last answer, or a *NoAnswerError if there is none.
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

// checkAnswer returns an *AnswerError if answer is not the one to job.
func checkAnswer(job Job, answer Answer) error {
	switch {
	case answer.Key != job.Key:
		return &AnswerError{Key: job.Key, Problem: "it carries another key"}
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
	return &AnswerError{Key: job.Key, Problem: fmt.Sprintf("no such status: %q", answer.Status)}
}

// rejected reports whether err says that the request itself is at fault, so
// that no entry would take it.
func rejected(err error) bool {
	var requestErr *RequestError
	if !errors.As(err, &requestErr) {
		return false
	}
	return requestErr.Code < http.StatusInternalServerError && requestErr.Fault != FaultIncompleteBody
}
