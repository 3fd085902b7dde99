package operator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The log's retention, divided by these, gives the times between snapshots. A
// snapshot is due between a quarter and three eighths of the retention after the last
// one. While the log is unavailable, that leaves an eighth of the retention for
// further attempts before the newest snapshot is older than half of the retention.
const (
	snapshotIntervalDivisor = 4
	snapshotJitterDivisor   = 8
	snapshotRetryDivisor    = 32
)

// maxLogEnds is the largest number of logEnds that a SnapshotScheduler keeps.
const maxLogEnds = 64

// SnapshotSchedulerConfig configures a SnapshotScheduler.
type SnapshotSchedulerConfig struct {
	// Retention is the time for which the log keeps a record.
	Retention time.Duration
	// Rand is the source of random delays, so that the instances do not all
	// append a snapshot at once.
	Rand *rand.Rand
}

// A ConfigError reports a configuration that is out of range.
type ConfigError struct {
	// Field names the field, and Reason is what is wrong with its value.
	Field, Reason string
}

// Error names the field and the reason.
func (e *ConfigError) Error() string {
	return e.Field + ": " + e.Reason
}

// A SnapshotScheduler decides when an instance appends a snapshot to the log. Each
// instance decides for itself: snapshots by several instances at once are harmless,
// and a snapshot seen in the log postpones those of the other instances.
//
// The age of a snapshot is counted, by the local clock, from the last known time at
// which the record after its offset was not in the log yet. A snapshot that a
// paused instance appends late thus does not count as new.
type SnapshotScheduler struct {
	cfg SnapshotSchedulerConfig
	// ends holds the latest known ends of the log, oldest first.
	ends []logEnd
	// newestSnapshot is the time from which the age of the newest snapshot is
	// counted, or zero if no snapshot of known age has been seen.
	newestSnapshot time.Time
	// due is when the next snapshot is to be appended.
	due time.Time
}

// logEnd is the end of the log at some time.
type logEnd struct {
	// next is the offset of the first record that was not in the log yet.
	next uint64
	// at is the latest time at which next is known to have been the end.
	at time.Time
}

// NewSnapshotScheduler returns a SnapshotScheduler that has seen no snapshot. Its
// first snapshot is due within an eighth of the retention after now, unless one of
// another instance is seen before. It returns a *ConfigError if cfg is out of range.
func NewSnapshotScheduler(cfg SnapshotSchedulerConfig, now time.Time) (*SnapshotScheduler, error) {
	if cfg.Retention < time.Second {
		return nil, &ConfigError{Field: "retention", Reason: fmt.Sprintf("%v is below 1s", cfg.Retention)}
	}
	if cfg.Rand == nil {
		return nil, &ConfigError{Field: "rand", Reason: "missing"}
	}
	s := &SnapshotScheduler{cfg: cfg}
	s.due = now.Add(s.randomDelay(cfg.Retention / snapshotJitterDivisor))
	return s, nil
}

// ObservePage handles a page of the log, the time at which it was requested, and the
// decisions that Reader.ApplyPage returned for it. A snapshot among its records
// postpones the next one.
func (s *SnapshotScheduler) ObservePage(requestedAt time.Time, page Page, decisions []Decision) {
	if len(page.Records) == 0 {
		s.recordEnd(logEnd{next: page.Next, at: requestedAt})
	}
	for _, d := range decisions {
		if d.Outcome == Noted && !d.Mismatch {
			s.recordSnapshot(d.SnapshotOffset)
		}
	}
}

// recordEnd adds an end of the log, or updates the time of the last one if the offset
// is the same.
func (s *SnapshotScheduler) recordEnd(end logEnd) {
	last := len(s.ends) - 1
	if last >= 0 && s.ends[last].next == end.next {
		s.ends[last].at = end.at
		return
	}
	s.ends = append(s.ends, end)
	if len(s.ends) > maxLogEnds {
		s.ends = s.ends[1:]
	}
}

// recordSnapshot handles a snapshot of the state at offset that was seen in the log. If
// it is the newest one, the next is due a quarter to three eighths of the retention
// after it.
func (s *SnapshotScheduler) recordSnapshot(offset uint64) {
	at := s.lastAbsent(offset + 1)
	if !at.After(s.newestSnapshot) {
		return
	}
	s.newestSnapshot = at
	wait := s.cfg.Retention/snapshotIntervalDivisor + s.randomDelay(s.cfg.Retention/snapshotJitterDivisor)
	s.due = at.Add(wait)
}

// lastAbsent returns the latest time at which the log is known not to have held the
// record at offset, or zero if there is none.
func (s *SnapshotScheduler) lastAbsent(offset uint64) time.Time {
	for i := len(s.ends) - 1; i >= 0; i-- {
		if s.ends[i].next <= offset {
			return s.ends[i].at
		}
	}
	return time.Time{}
}

// randomDelay returns a random time in [0, limit).
func (s *SnapshotScheduler) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.cfg.Rand.Int64N(int64(limit)))
}

// Due reports whether a snapshot of reader is to be appended at now. After an
// attempt, successful or not, the caller calls Attempted.
func (s *SnapshotScheduler) Due(now time.Time, reader *Reader) bool {
	if reader.Gap() || reader.State().Offset() == 0 {
		return false
	}
	return !now.Before(s.due)
}

// Attempted handles an attempt at now to append a snapshot, and postpones the next
// attempt. ObservePage postpones that further once the snapshot is seen in the log.
func (s *SnapshotScheduler) Attempted(now time.Time) {
	retry := s.cfg.Retention / snapshotRetryDivisor
	s.due = now.Add(retry/2 + s.randomDelay(retry))
}
