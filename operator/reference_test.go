package operator_test

import (
	"github.com/google/uuid"

	"github.com/amaranthwell/amaranthwell/operator"
)

// sent is what a test knows of a record that it appended.
type sent struct {
	body []byte
	// edit is nil for a record of another kind.
	edit *operator.Edit
	// share is the edit's one share, valid whether it is in range.
	share int
	valid bool
}

// naive is one process that reads every record from offset 1 on, with a log
// that expires nothing and an unbounded memory.
type naive struct {
	revision uint64
	author   string
	share    int
	verdicts map[uuid.UUID]naiveVerdict
}

type naiveVerdict struct {
	outcome  operator.Outcome
	revision uint64
	share    int
}

// apply returns the outcome of the record at offset and the revision that its
// author is told.
func (n *naive) apply(offset uint64, s sent) (operator.Outcome, uint64) {
	if s.edit == nil {
		return operator.Noted, n.revision
	}
	if s.edit.Reset > 0 {
		if s.edit.Reset != offset || !s.valid {
			return operator.Refused, n.revision
		}
		n.revision, n.author, n.share = offset, s.edit.Author, s.share
		n.verdicts = map[uuid.UUID]naiveVerdict{s.edit.ID: {operator.Accepted, offset, s.share}}
		return operator.Accepted, offset
	}
	if first, ok := n.verdicts[s.edit.ID]; ok {
		if first.share != s.share {
			return operator.Refused, n.revision
		}
		return first.outcome, first.revision
	}
	outcome := operator.Refused
	if s.valid && s.edit.Base == n.revision {
		outcome = operator.Accepted
		n.revision++
		n.author = s.edit.Author
		n.share = s.share
	}
	n.verdicts[s.edit.ID] = naiveVerdict{outcome, n.revision, s.share}
	return outcome, n.revision
}

// naiveAt returns the naive process after the records up to offset, and the
// outcome and revision of the last one.
func naiveAt(records []sent, offset uint64) (*naive, operator.Outcome, uint64) {
	n := &naive{verdicts: make(map[uuid.UUID]naiveVerdict)}
	var outcome operator.Outcome
	var revision uint64
	for i, s := range records[:offset] {
		outcome, revision = n.apply(uint64(i)+1, s)
	}
	return n, outcome, revision
}
