package caller

import (
	"fmt"
	"time"
	"unsafe"
)

// An endedAnswer holds what a SubmissionTable keeps of the answer to an ended
// job.
type endedAnswer struct {
	// endedAt is the time of the answer, relative to the SubmissionTable's
	// Start.
	endedAt    time.Duration
	status     Status
	reason     Reason
	message    string
	retryAfter time.Duration
	results    [][]byte
	// dropped is true if the message and the results were dropped.
	dropped bool
}

// newEndedAnswer returns what is kept of answer. endedAt is relative to the
// SubmissionTable's Start.
func newEndedAnswer(answer Answer, endedAt time.Duration) *endedAnswer {
	return &endedAnswer{
		endedAt:    endedAt,
		status:     answer.Status,
		reason:     answer.Reason,
		message:    answer.Message,
		retryAfter: answer.RetryAfter,
		results:    answer.Results,
	}
}

// answer returns the answer to a repeated submission under key. A complete
// job whose results were dropped is answered with Unknown.
func (a *endedAnswer) answer(key Key) Answer {
	if a.dropped && a.status == Complete {
		return Answer{
			Key:     key,
			Status:  Unknown,
			Reason:  ReasonKeyExpired,
			Message: fmt.Sprintf("The job ended as %s, but its answer is no longer held.", a.status),
		}
	}
	return Answer{
		Key:        key,
		Status:     a.status,
		Reason:     a.reason,
		Message:    a.message,
		RetryAfter: a.retryAfter,
		Results:    a.results,
	}
}

// size returns the memory of the message and the results in bytes.
func (a *endedAnswer) size() int {
	n := len(a.message)
	for _, result := range a.results {
		n += int(unsafe.Sizeof(result)) + cap(result)
	}
	return n
}

// dropContent drops the message and the results.
func (a *endedAnswer) dropContent() {
	a.dropped = true
	a.message = ""
	a.results = nil
}

// endedRecords is the list of the records of ended jobs, in the order in which
// the jobs ended. The answers of the newest records are kept, up to maxBytes
// in total; older records lose their message and results.
type endedRecords[W any] struct {
	maxBytes int
	// bytes is the memory of the answers that are kept.
	bytes  int
	oldest *record[W]
	newest *record[W]
	// oldestWithAnswer is the oldest record whose answer is kept, or nil.
	oldestWithAnswer *record[W]
}

// add appends rec, whose job ended with answer, and drops the oldest answers
// until the rest fits into maxBytes.
func (l *endedRecords[W]) add(rec *record[W], answer *endedAnswer) {
	rec.answer = answer
	if l.newest == nil {
		l.oldest = rec
	} else {
		l.newest.next = rec
	}
	l.newest = rec
	if l.oldestWithAnswer == nil {
		l.oldestWithAnswer = rec
	}
	l.bytes += answer.size()
	for l.bytes > l.maxBytes {
		l.dropOldestAnswer()
	}
}

// dropOldestAnswer drops the oldest answer that is kept.
func (l *endedRecords[W]) dropOldestAnswer() {
	rec := l.oldestWithAnswer
	l.bytes -= rec.answer.size()
	rec.answer.dropContent()
	l.oldestWithAnswer = rec.next
}

// removeOldest removes the oldest record and returns it.
func (l *endedRecords[W]) removeOldest() *record[W] {
	rec := l.oldest
	if l.oldestWithAnswer == rec {
		l.dropOldestAnswer()
	}
	l.oldest = rec.next
	if l.oldest == nil {
		l.newest = nil
	}
	return rec
}
