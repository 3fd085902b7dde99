package operator

import (
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
)

// An Outcome is the effect of a record on the configuration.
type Outcome string

// The outcomes of a record.
const (
	// Accepted means that the edit became the next revision.
	Accepted Outcome = "accepted"
	// Refused means that the record did not change the configuration.
	Refused Outcome = "refused"
	// Noted means that the record is a snapshot, which does not change the
	// configuration.
	Noted Outcome = "noted"
)

// A Reason is the cause of a refusal.
type Reason string

// The reasons for a refusal.
const (
	// StaleBase means that the edit was made from a revision that is no
	// longer current.
	StaleBase Reason = "stale-base"
	// UnknownBase means that the edit was made from a revision that does not
	// exist yet.
	UnknownBase Reason = "unknown-base"
	// MisplacedReset means that a reset was appended at another offset than
	// the one that it names.
	MisplacedReset Reason = "misplaced-reset"
	// InvalidTables means that the edit's tables are malformed or have problems.
	InvalidTables Reason = "invalid-tables"
	// ReusedID means that an earlier edit with other tables has the same ID.
	ReusedID Reason = "edit-id-reused"
	// Malformed means that the record cannot be decoded, is of an unknown kind,
	// is too large or has an invalid value. If only an edit's tables are
	// invalid, the reason is InvalidTables instead.
	Malformed Reason = "malformed"
)

// maxDetailBytes is the largest size of a decision's Detail and of its Changes
// in bytes.
const maxDetailBytes = 256

// A Decision is the result of applying one record of the log.
type Decision struct {
	// Outcome is the record's effect.
	Outcome Outcome `json:"outcome"`
	// Offset is the log offset of the record. If the record is a copy of an
	// earlier edit, it is the offset of the first copy.
	Offset uint64 `json:"offset"`
	// EditID is the edit's ID, or zero for another record.
	EditID uuid.UUID `json:"edit-id"`
	// Author is who published the edit.
	Author string `json:"author"`
	// Base is the revision that the edit was made from.
	Base uint64 `json:"base"`
	// At is the time of publishing by the author's clock.
	At time.Time `json:"at"`
	// Revision is the current revision after the record. If the edit was
	// accepted, it is the revision that the edit became.
	Revision uint64 `json:"revision"`
	// RevisionAuthor is who published Revision.
	RevisionAuthor string `json:"revision-author"`
	// Reason is why the record was refused.
	Reason Reason `json:"reason,omitempty"`
	// Detail describes Reason for people to read.
	Detail string `json:"detail,omitempty"`
	// Changes lists the rows that an accepted edit changed.
	Changes string `json:"changes,omitempty"`
	// Digest is a hash of the edit's encoded tables.
	Digest uint64 `json:"digest"`
	// CopyOffset is the log offset of a later copy of the edit, which has no
	// effect, or 0 for the first copy.
	CopyOffset uint64 `json:"-"`
	// SnapshotOffset is the offset of the state that a noted snapshot holds.
	SnapshotOffset uint64 `json:"-"`
	// Mismatch is set when a noted snapshot differs from the reader's own
	// state at SnapshotOffset.
	Mismatch bool `json:"-"`
}

// truncate returns text cut to at most maxDetailBytes between characters.
func truncate(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	end := maxDetailBytes
	for !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}
