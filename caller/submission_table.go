package caller

import "time"

// A Decision is what the key's owner must do with a submission.
type Decision string

// The decisions of SubmissionTable.Submit.
const (
	// Accept means that the key is new. The caller of Submit must run the job
	// and then call Finish with the answer.
	Accept Decision = "accept"
	// Wait means that the key's job is already running. Finish will return the
	// waiter when the job ends.
	Wait Decision = "wait"
	// Answered means that no job is started. The caller of Submit must send
	// the answer that Submit returned to the waiter.
	Answered Decision = "answered"
)

// SubmissionTableConfig configures a SubmissionTable.
type SubmissionTableConfig struct {
	// Start is the time from which Key.Issued counts. It must equal
	// KeyIssuerConfig.Start.
	Start time.Time
	// UseWithin is the age at which a key can no longer be used for the
	// first time. It must be positive.
	UseWithin time.Duration
	// KeepFor is the time for which the record of an ended job is kept. It
	// must be at least UseWithin. A key that is younger than UseWithin and has
	// no record has then never been used for a job that ran.
	KeepFor time.Duration
	// MaxRecords is the maximum number of running jobs and of ended jobs whose
	// records are kept, together. It must be positive.
	MaxRecords int
	// MaxAnswerBytes is the maximum memory, in bytes, of the messages and
	// results that are kept to answer repeated submissions. It must not be
	// negative.
	MaxAnswerBytes int
}

// A SubmissionTable records the state of each key that an owner has issued, so
// that a job submitted more than once under one key runs once. W is a waiter:
// whatever the caller of Submit needs to send an answer.
//
// A job is refused for overload if there are MaxRecords records already, or if
// its answer in Finish is NotRun with ReasonOverload. It then takes no record,
// but one bit in a set of the serials of the keys that were issued within the
// last UseWithin. The set has at most MaxRecords blocks of 80 bytes each; see
// refusedSet. A repeated submission of such a job is answered with the same
// status and reason, but without the first answer's Message and RetryAfter.
//
// A SubmissionTable is not safe for concurrent use: only the control goroutine
// of an entry instance uses it.
type SubmissionTable[W any] struct {
	cfg SubmissionTableConfig
	// latest is the latest time passed to any method, relative to Start. It
	// never decreases, so that no key becomes usable again after its record
	// was dropped.
	latest time.Duration
	// records holds the records of running and ended jobs by the serials of
	// their keys.
	records map[uint64]*record[W]
	// running is the number of records whose job is running.
	running int
	refused refusedSet
	ended   endedRecords[W]
}

// A record is the state of one key whose job is running or has ended. The
// serial identifies the key, since the owner and the incarnation are the same
// in all keys that KeyIssuer.Verify accepts.
type record[W any] struct {
	serial uint64
	mac    uint64
	// digest is the digest of the job that was first submitted under the key.
	digest  uint64
	waiters []W
	// answer is nil while the job is running.
	answer *endedAnswer
	// next is the next newer record in endedRecords, or nil.
	next *record[W]
}

// NewSubmissionTable returns an empty SubmissionTable. It returns a
// *ConfigError if a field of cfg is out of range.
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
		refused: refusedSet{maxBlocks: cfg.MaxRecords},
		ended:   endedRecords[W]{maxBytes: cfg.MaxAnswerBytes},
	}, nil
}

// Submit decides what to do with a job that reaches the owner of its key at
// now, and with the waiter w for its answer. The Answer is set only if the
// Decision is Answered. KeyIssuer.Verify must have accepted the job's key.
//
// A repeated submission whose route or tasks differ from the first is answered
// with Unknown and ReasonKeyReused. It starts nothing, and its answer does not
// reveal whether the first job has run, is running or was refused.
func (t *SubmissionTable[W]) Submit(now time.Time, job Job, w W) (Decision, Answer) {
	// The key was issued by this owner, so its time of issue has passed even
	// if now is earlier.
	t.advance(max(now.Sub(t.cfg.Start), job.Key.Issued))
	if rec := t.records[job.Key.Serial]; rec != nil {
		return t.submitRepeat(rec, job, w)
	}
	if t.latest-job.Key.Issued >= t.cfg.UseWithin {
		return Answered, expiredAnswer(job.Key)
	}
	if t.refused.has(job.Key.Serial) {
		return Answered, overloadedAnswer(job.Key)
	}
	if len(t.records) >= t.cfg.MaxRecords {
		t.refused.add(job.Key.Serial, job.Key.Issued)
		return Answered, overloadedAnswer(job.Key)
	}
	t.records[job.Key.Serial] = &record[W]{
		serial:  job.Key.Serial,
		mac:     job.Key.MAC,
		digest:  digest(job),
		waiters: []W{w},
	}
	t.running++
	return Accept, Answer{}
}

// submitRepeat implements Submit for a key that has a record.
func (t *SubmissionTable[W]) submitRepeat(rec *record[W], job Job, w W) (Decision, Answer) {
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

// Finish records the answer to the job of key, which ended at now, and returns
// the waiters for the answer in the order of their Submit calls. If the job is
// not running, it records nothing and returns nil, so that only the first
// answer counts. The SubmissionTable keeps the answer's Results without copying
// them.
func (t *SubmissionTable[W]) Finish(now time.Time, key Key, answer Answer) []W {
	t.advance(now.Sub(t.cfg.Start))
	rec := t.records[key.Serial]
	if rec == nil || rec.answer != nil || rec.mac != key.MAC {
		return nil
	}
	t.running--
	waiters := rec.waiters
	rec.waiters = nil
	if answer.Status == NotRun && answer.Reason == ReasonOverload {
		delete(t.records, key.Serial)
		t.refused.add(key.Serial, key.Issued)
		return waiters
	}
	t.ended.add(rec, newEndedAnswer(answer, t.latest))
	return waiters
}

// Expire drops the records of the jobs that ended KeepFor or longer before now,
// and the refused keys that were issued UseWithin or longer before now. Its
// cost is proportional to the number of records and blocks that it drops.
func (t *SubmissionTable[W]) Expire(now time.Time) {
	t.advance(now.Sub(t.cfg.Start))
	for t.ended.oldest != nil && t.ended.oldest.answer.endedAt+t.cfg.KeepFor <= t.latest {
		rec := t.ended.removeOldest()
		delete(t.records, rec.serial)
	}
	t.refused.expire(t.latest - t.cfg.UseWithin)
}

// Running returns the number of running jobs.
func (t *SubmissionTable[W]) Running() int {
	return t.running
}

// Records returns the number of records: one for each running job, and one
// for each ended job that is still kept.
func (t *SubmissionTable[W]) Records() int {
	return len(t.records)
}

// AnswerBytes returns the memory, in bytes, of the messages and results that
// are kept to answer repeated submissions.
func (t *SubmissionTable[W]) AnswerBytes() int {
	return t.ended.bytes
}

// advance raises latest to the given time, relative to Start, if that is later.
func (t *SubmissionTable[W]) advance(sinceStart time.Duration) {
	t.latest = max(t.latest, sinceStart)
}

// expiredAnswer returns the answer to a submission under a key that is too old
// for its first use and has no record. The key may have had a record before.
func expiredAnswer(key Key) Answer {
	return Answer{
		Key:     key,
		Status:  Unknown,
		Reason:  ReasonKeyExpired,
		Message: "The key has expired, and no record of it is kept.",
	}
}

// overloadedAnswer returns the answer to a job that is refused for overload.
func overloadedAnswer(key Key) Answer {
	return Answer{
		Key:     key,
		Status:  NotRun,
		Reason:  ReasonOverload,
		Message: "The submission was refused for overload.",
	}
}
