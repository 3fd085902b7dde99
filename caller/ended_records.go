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

// newEndedAnswer returns what a SubmissionTable keeps of answer. The time
// endedAt is relative to the SubmissionTable's Start.
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

// answer returns the answer to a repeated submission under key. If the job was
// complete but its results were dropped, the answer has the status Unknown.
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

// dropContent drops the message and the results, and keeps the status and the
// reason.
func (a *endedAnswer) dropContent() {
	a.dropped = true
	a.message = ""
	a.results = nil
}

// endedRecords is a linked list of the records of ended jobs, in the order in
// which the jobs ended. The newest records keep the message and the results of
// their answers, up to maxBytes in total; older records lose them.
type endedRecords[W any] struct {
	maxBytes int
	// bytes is the memory of the messages and results that are kept.
	bytes  int
	oldest *record[W]
	newest *record[W]
	// oldestWithAnswer is the oldest record whose message and results are
	// kept, or nil.
	oldestWithAnswer *record[W]
}

// add appends rec, whose job ended with answer. It then drops the messages and
// results of the oldest records until the rest takes at most maxBytes.
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

// dropOldestAnswer drops the message and the results of oldestWithAnswer.
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
