package operator

import (
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
)

// An Outcome says what became of a record.
type Outcome string

// The outcomes of a record.
const (
	// Accepted means that the edit became the next revision.
	Accepted Outcome = "accepted"
	// Refused means that the record changed nothing.
	Refused Outcome = "refused"
	// Noted means that the record is a snapshot, which decides nothing.
	Noted Outcome = "noted"
)

// A Reason says why a record was refused.
type Reason string

// The reasons of a refused record.
const (
	// StaleBase means that the edit was made from a revision that is no
	// longer current.
	StaleBase Reason = "stale-base"
	// UnknownBase means that the edit was made from a revision that does not
	// exist yet.
	UnknownBase Reason = "unknown-base"
	// MisplacedReset means that a reset got another offset than it must have.
	MisplacedReset Reason = "misplaced-reset"
	// InvalidTables means that the edit's tables have faults.
	InvalidTables Reason = "invalid-tables"
	// ReusedID means that another edit came before with the same ID.
	ReusedID Reason = "edit-id-reused"
	// Malformed means that the record is none that is known.
	Malformed Reason = "malformed"
)

// maxDetailBytes is the largest size of a verdict's texts in bytes.
const maxDetailBytes = 256

// A Decision is what became of one record of the log.
type Decision struct {
	// Outcome says what became of the record.
	Outcome Outcome `json:"outcome"`
	// Offset is the log offset of the record, or of the edit's first copy.
	Offset uint64 `json:"offset"`
	// EditID is the edit's ID, or zero for another record.
	EditID uuid.UUID `json:"edit-id"`
	// Author says who published the edit.
	Author string `json:"author"`
	// Base is the revision that the edit was made from.
	Base uint64 `json:"base"`
	// At is the author's time of publishing.
	At time.Time `json:"at"`
	// Revision is the revision in force after the record: the edit's own if
	// it was accepted.
	Revision uint64 `json:"revision"`
	// RevisionAuthor says who published Revision.
	RevisionAuthor string `json:"revision-author"`
	// Reason says why the record was refused.
	Reason Reason `json:"reason,omitempty"`
	// Detail explains Reason to a person.
	Detail string `json:"detail,omitempty"`
	// Changes says which rows an accepted edit changed.
	Changes string `json:"changes,omitempty"`
	// Digest is the hash of the edit's tables.
	Digest uint64 `json:"digest"`
	// CopyOffset is the log offset of a later copy of the edit, which has no
	// effect, or 0 for the first copy.
	CopyOffset uint64 `json:"-"`
	// SnapshotOffset is the offset that a noted snapshot is of.
	SnapshotOffset uint64 `json:"-"`
	// Mismatch says that a noted snapshot differs from the history's own
	// state at SnapshotOffset.
	Mismatch bool `json:"-"`
}

// truncate returns text cut to maxDetailBytes at a whole character.
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
