package operator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The times of republishing, as parts of the log's retention. A snapshot is
// due between a quarter and three eighths of the retention after the last one,
// which leaves an eighth for repeated attempts while the log is down: the
// newest snapshot then lies in the younger half of the log.
const (
	republishAfter  = 4
	republishSpread = 8
	republishRetry  = 32
)

// maxEnds is the number of ends of the log that a Republisher remembers.
const maxEnds = 64

// SnapshotSchedulerConfig configures a Republisher.
type SnapshotSchedulerConfig struct {
	// Retention is the time for which the log keeps a record.
	Retention time.Duration
	// Rand gives the random delays that keep instances from publishing at once.
	Rand *rand.Rand
}

// A ConfigError reports a configuration that is out of range.
type ConfigError struct {
	Field, Reason string
}

// Error names the field and the reason.
func (e *ConfigError) Error() string {
	return e.Field + ": " + e.Reason
}

// A SnapshotScheduler decides when an instance appends a snapshot to the log. All
// instances decide by themselves: snapshots of several at once do no harm, and
// one that is seen in the log puts off those of the others.
//
// The age of a snapshot is counted from a time at which the record behind its
// offset was not in the log yet, by the reader's own clock: a snapshot that a
// paused instance appends late counts as old as it is.
type SnapshotScheduler struct {
	cfg SnapshotSchedulerConfig
	// ends holds ends of the log and the times they were seen, in order.
	ends []logEnd
	// newest is the age of the newest snapshot seen; zero is unknown.
	newest time.Time
	due    time.Time
}

// logEnd says that the record at next was not in the log at a time.
type logEnd struct {
	next uint64
	at   time.Time
}

// NewSnapshotScheduler returns a Republisher that has seen no snapshot. Its first
// snapshot is due soon after now unless it sees one of another instance. It
// returns a *ConfigError if cfg is out of range.
func NewSnapshotScheduler(cfg SnapshotSchedulerConfig, now time.Time) (*SnapshotScheduler, error) {
	if cfg.Retention < time.Second {
		return nil, &ConfigError{Field: "retention", Reason: fmt.Sprintf("%v is below 1s", cfg.Retention)}
	}
	if cfg.Rand == nil {
		return nil, &ConfigError{Field: "rand", Reason: "missing"}
	}
	r := &SnapshotScheduler{cfg: cfg}
	r.due = now.Add(r.delay(cfg.Retention / republishSpread))
	return r, nil
}

// ObservePage records a page and the verdicts that Reader.ObservePage returned for it. The
// page was asked for at asked.
func (r *SnapshotScheduler) ObservePage(asked time.Time, page Page, verdicts []Decision) {
	if len(page.Records) == 0 {
		r.noteEnd(logEnd{next: page.Next, at: asked})
	}
	for _, v := range verdicts {
		if v.Outcome == Noted && !v.Mismatch {
			r.noteSnapshot(v.SnapshotOffset)
		}
	}
}

func (r *SnapshotScheduler) noteEnd(end logEnd) {
	last := len(r.ends) - 1
	if last >= 0 && r.ends[last].next == end.next {
		r.ends[last].at = end.at
		return
	}
	r.ends = append(r.ends, end)
	if len(r.ends) > maxEnds {
		r.ends = r.ends[1:]
	}
}

func (r *SnapshotScheduler) noteSnapshot(offset uint64) {
	at := r.absentAt(offset + 1)
	if !at.After(r.newest) {
		return
	}
	r.newest = at
	wait := r.cfg.Retention/republishAfter + r.delay(r.cfg.Retention/republishSpread)
	r.due = at.Add(wait)
}

// absentAt returns the last time known at which the log did not hold the
// record at offset, or zero if none is known.
func (r *SnapshotScheduler) absentAt(offset uint64) time.Time {
	for i := len(r.ends) - 1; i >= 0; i-- {
		if r.ends[i].next <= offset {
			return r.ends[i].at
		}
	}
	return time.Time{}
}

// delay returns a random time in [0, limit).
func (r *SnapshotScheduler) delay(limit time.Duration) time.Duration {
	return time.Duration(r.cfg.Rand.Int64N(int64(limit)))
}

// Due reports whether a snapshot of reader is to be appended at now. After an
// attempt, successful or not, the caller calls Attempted.
func (r *SnapshotScheduler) Due(now time.Time, reader *Reader) bool {
	if reader.Gap() || reader.State().Offset() == 0 {
		return false
	}
	return !now.Before(r.due)
}

// Attempted puts off the next attempt, until the snapshot is seen in the log
// or another attempt is due.
func (r *SnapshotScheduler) Attempted(now time.Time) {
	retry := r.cfg.Retention / republishRetry
	r.due = now.Add(retry/2 + r.delay(retry))
}
