package caller

import (
	"fmt"
	"time"
	"unsafe"
)

// An endedAnswer is what a SubmissionTable keeps of an answer.
type endedAnswer struct {
	// at is the time of the answer, after the SubmissionTable's Start.
	at         time.Duration
	status     Status
	reason     Reason
	message    string
	retryAfter time.Duration
	results    [][]byte
	// dropped says that the message and the results are no longer held.
	dropped bool
}

// newEndedAnswer returns what is kept of an answer given at a time after the
// SubmissionTable's Start.
func newEndedAnswer(answer Answer, at time.Duration) *endedAnswer {
	return &endedAnswer{
		at:         at,
		status:     answer.Status,
		reason:     answer.Reason,
		message:    answer.Message,
		retryAfter: answer.RetryAfter,
		results:    answer.Results,
	}
}

// answer returns the answer to a repeat under key.
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

// drop forgets the message and the results.
func (a *endedAnswer) drop() {
	a.dropped = true
	a.message = ""
	a.results = nil
}

// endedRecords is the list of the ended records in the order of their ends.
// The answers of the newest are held within maxBytes.
type endedRecords[W any] struct {
	maxBytes int
	// bytes is the memory of the answers held.
	bytes  int
	oldest *record[W]
	newest *record[W]
	// oldestHeld is the oldest record whose answer is held. It is nil if
	// none is.
	oldestHeld *record[W]
}

// add appends rec, which ended with answer, and drops the oldest answers that
// are then too many.
func (l *endedRecords[W]) add(rec *record[W], answer *endedAnswer) {
	rec.answer = answer
	if l.newest == nil {
		l.oldest = rec
	} else {
		l.newest.next = rec
	}
	l.newest = rec
	if l.oldestHeld == nil {
		l.oldestHeld = rec
	}
	l.bytes += answer.size()
	for l.bytes > l.maxBytes {
		l.dropAnswer()
	}
}

// dropAnswer drops the oldest answer that is held.
func (l *endedRecords[W]) dropAnswer() {
	rec := l.oldestHeld
	l.bytes -= rec.answer.size()
	rec.answer.drop()
	l.oldestHeld = rec.next
}

// dropOldest removes the oldest record and returns it.
func (l *endedRecords[W]) dropOldest() *record[W] {
	rec := l.oldest
	if l.oldestHeld == rec {
		l.dropAnswer()
	}
	l.oldest = rec.next
	if l.oldest == nil {
		l.newest = nil
	}
	return rec
}
