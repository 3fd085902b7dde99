package caller

import "time"

// A Decision says what becomes of a submission that reaches its key's owner.
type Decision string

// The decisions of SubmissionTable.Submit.
const (
	// Accept means that the key is new: the caller of Submit runs the job
	// and calls Finish with its answer.
	Accept Decision = "accept"
	// Wait means that the key's job is running: Finish returns the waiter.
	Wait Decision = "wait"
	// Answered means that the answer that Submit returned goes to the waiter
	// now, and that the submission starts nothing.
	Answered Decision = "answered"
)

// SubmissionTableConfig configures a SubmissionTable.
type SubmissionTableConfig struct {
	// Start is the time from which the keys count their time of issue. It is
	// the Start of the KeyIssuerConfig.
	Start time.Time
	// UseWithin is the time after its issue at which a key can no longer be
	// used for the first time. It is positive.
	UseWithin time.Duration
	// KeepFor is the time for which the record of an ended job is kept. It
	// is at least UseWithin, so that a key with no record that is younger
	// than UseWithin has never been accepted.
	KeepFor time.Duration
	// MaxRecords bounds the number of records. It is positive.
	MaxRecords int
	// MaxAnswerBytes bounds the memory of the answers that are held for
	// repeats, in bytes. It is not negative.
	MaxAnswerBytes int
}

// A SubmissionTable is the owner's record of what became of each of its keys. W is what
// the caller of Submit uses to send an answer.
//
// A job refused for overload, by the SubmissionTable at MaxRecords or by Finish, costs
// one bit in a set that covers the serials of the last UseWithin, not a
// record. The set has at most MaxRecords blocks, of 80 bytes each; see
// refusals. A repeat of such a job is answered with the same status and
// reason, without the first answer's message and RetryAfter.
//
// A SubmissionTable is not safe for concurrent use: the control goroutine owns it.
type SubmissionTable[W any] struct {
	cfg SubmissionTableConfig
	// latest is the latest time seen, after Start. It never decreases, so
	// that no key becomes young again after its record was dropped.
	latest  time.Duration
	records map[uint64]*record[W]
	open    int
	refused refusals
	ended   endedRecords[W]
}

// A record says what became of one key. Keys that KeyIssuer.Verify accepts are
// identified by their serials.
type record[W any] struct {
	serial  uint64
	mac     uint64
	digest  uint64
	waiters []W
	answer  *endedAnswer
	next    *record[W]
}

// NewSubmissionTable returns a SubmissionTable without records. It returns a *ConfigError if cfg is
// out of range.
func NewSubmissionTable[W any](cfg SubmissionTableConfig) (*SubmissionTable[W], error) {
	switch {
	case cfg.UseWithin <= 0:
		return nil, &ConfigError{Field: "UseWithin", Problem: "must be positive"}
	case cfg.KeepFor < cfg.UseWithin:
		return nil, &ConfigError{Field: "KeepFor", Problem: "must be at least UseWithin"}
	case cfg.MaxRecords <= 0:
		return nil, &ConfigError{Field: "MaxRecords", Problem: "must be positive"}
	case cfg.MaxAnswerBytes < 0:
		return nil, &ConfigError{Field: "MaxAnswerBytes", Problem: "must not be negative"}
	}
	return &SubmissionTable[W]{
		cfg:     cfg,
		records: make(map[uint64]*record[W]),
		refused: refusals{maxBlocks: cfg.MaxRecords},
		ended:   endedRecords[W]{maxBytes: cfg.MaxAnswerBytes},
	}, nil
}

// Submit decides what becomes of a job that reaches its owner at now, and of
// w, which waits for its answer. The Answer is set only if the Decision is
// Answered. The job's key must have passed KeyIssuer.Verify.
//
// A repeat with another route or other tasks than the first is answered
// Unknown with ReasonKeyReused: it starts nothing, and says nothing about the
// first job, which may have run, be running or have been refused.
func (b *SubmissionTable[W]) Submit(now time.Time, job Job, w W) (Decision, Answer) {
	// The issuer's clock had reached the key's time of issue.
	b.advance(max(now.Sub(b.cfg.Start), job.Key.Issued))
	if rec := b.records[job.Key.Serial]; rec != nil {
		return b.repeat(rec, job, w)
	}
	if b.latest-job.Key.Issued >= b.cfg.UseWithin {
		return Answered, expired(job.Key)
	}
	if b.refused.has(job.Key.Serial) {
		return Answered, overloaded(job.Key)
	}
	if len(b.records) >= b.cfg.MaxRecords {
		b.refused.add(job.Key.Serial, job.Key.Issued)
		return Answered, overloaded(job.Key)
	}
	b.records[job.Key.Serial] = &record[W]{
		serial:  job.Key.Serial,
		mac:     job.Key.MAC,
		digest:  digest(job),
		waiters: []W{w},
	}
	b.open++
	return Accept, Answer{}
}

// repeat decides about a submission whose key has a record.
func (b *SubmissionTable[W]) repeat(rec *record[W], job Job, w W) (Decision, Answer) {
	switch {
	case rec.mac != job.Key.MAC:
		return Answered, Answer{
			Key:     job.Key,
			Status:  Unknown,
			Reason:  ReasonMalformedKey,
			Message: "The key was not issued by its owner.",
		}
	case rec.digest != digest(job):
		return Answered, Answer{
			Key:     job.Key,
			Status:  Unknown,
			Reason:  ReasonKeyReused,
			Message: "The key came before with another route or other tasks.",
		}
	case rec.answer == nil:
		rec.waiters = append(rec.waiters, w)
		return Wait, Answer{}
	}
	return Answered, rec.answer.answer(job.Key)
}

// Finish records the answer of key's job, which ended at now, and returns its
// waiters in the order of Submit. It returns nil if the key's job is not
// running, so that an answer counts once. The SubmissionTable keeps the answer's Results
// without a copy.
func (b *SubmissionTable[W]) Finish(now time.Time, key Key, answer Answer) []W {
	b.advance(now.Sub(b.cfg.Start))
	rec := b.records[key.Serial]
	if rec == nil || rec.answer != nil || rec.mac != key.MAC {
		return nil
	}
	b.open--
	waiters := rec.waiters
	rec.waiters = nil
	if answer.Status == NotRun && answer.Reason == ReasonOverload {
		delete(b.records, key.Serial)
		b.refused.add(key.Serial, key.Issued)
		return waiters
	}
	b.ended.add(rec, newEndedAnswer(answer, b.latest))
	return waiters
}

// Expire drops the records that are due at now. Its cost is proportional to
// what it drops.
func (b *SubmissionTable[W]) Expire(now time.Time) {
	b.advance(now.Sub(b.cfg.Start))
	for b.ended.oldest != nil && b.ended.oldest.answer.at+b.cfg.KeepFor <= b.latest {
		rec := b.ended.dropOldest()
		delete(b.records, rec.serial)
	}
	b.refused.expire(b.latest - b.cfg.UseWithin)
}

// Running returns the number of running jobs.
func (b *SubmissionTable[W]) Running() int {
	return b.open
}

// Records returns the number of running jobs and of ended ones that are kept.
func (b *SubmissionTable[W]) Records() int {
	return len(b.records)
}

// AnswerBytes returns the memory of the answers that are held, in bytes.
func (b *SubmissionTable[W]) AnswerBytes() int {
	return b.ended.bytes
}

// advance notes that the time after Start is at least the given one.
func (b *SubmissionTable[W]) advance(sinceStart time.Duration) {
	b.latest = max(b.latest, sinceStart)
}

// expired returns the answer to a key whose record is dropped, if it had one.
func expired(key Key) Answer {
	return Answer{
		Key:     key,
		Status:  Unknown,
		Reason:  ReasonKeyExpired,
		Message: "The key is too old to be used, and no record of it is kept.",
	}
}

// overloaded returns the answer to a key that was refused for overload.
func overloaded(key Key) Answer {
	return Answer{
		Key:     key,
		Status:  NotRun,
		Reason:  ReasonOverload,
		Message: "The submission was refused for overload.",
	}
}
