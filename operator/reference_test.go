package operator_test

import (
	"github.com/google/uuid"

	"github.com/amaranthwell/amaranthwell/operator"
)

// appendedRecord is a record that a test appended to the log.
type appendedRecord struct {
	body []byte
	// edit is nil for a record of another kind.
	edit *operator.Edit
	// share is the share of the edit's one route, and valid is set if that share
	// is in range.
	share int
	valid bool
}

// reference is a simple implementation to compare a Reader with. It applies every
// record from offset 1 on, also those that have expired, and keeps all decisions since
// the last reset.
type reference struct {
	// revision is the current revision, author its author, and share the share
	// of the one route in its tables.
	revision uint64
	author   string
	share    int
	// decisions holds the decision on the first copy of each edit, by the edit's
	// ID.
	decisions map[uuid.UUID]referenceDecision
}

// referenceDecision is a decision of the reference, with the share in the edit's
// tables. Edits with the same ID and other shares are not copies.
type referenceDecision struct {
	outcome  operator.Outcome
	revision uint64
	share    int
}

// apply applies the record at offset. It returns the outcome and the revision that
// the decision reports.
func (r *reference) apply(offset uint64, s appendedRecord) (operator.Outcome, uint64) {
	if s.edit == nil {
		return operator.Noted, r.revision
	}
	if s.edit.Reset > 0 {
		if s.edit.Reset != offset || !s.valid {
			return operator.Refused, r.revision
		}
		r.revision, r.author, r.share = offset, s.edit.Author, s.share
		r.decisions = map[uuid.UUID]referenceDecision{s.edit.ID: {operator.Accepted, offset, s.share}}
		return operator.Accepted, offset
	}
	if first, ok := r.decisions[s.edit.ID]; ok {
		if first.share != s.share {
			return operator.Refused, r.revision
		}
		return first.outcome, first.revision
	}
	outcome := operator.Refused
	if s.valid && s.edit.Base == r.revision {
		outcome = operator.Accepted
		r.revision++
		r.author = s.edit.Author
		r.share = s.share
	}
	r.decisions[s.edit.ID] = referenceDecision{outcome, r.revision, s.share}
	return outcome, r.revision
}

// referenceAt returns the reference after the records up to offset, and the outcome
// and revision of the last one.
func referenceAt(records []appendedRecord, offset uint64) (*reference, operator.Outcome, uint64) {
	r := &reference{decisions: make(map[uuid.UUID]referenceDecision)}
	var outcome operator.Outcome
	var revision uint64
	for i, s := range records[:offset] {
		outcome, revision = r.apply(uint64(i)+1, s)
	}
	return r, outcome, revision
}
