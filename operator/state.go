package operator

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// MaxRecentEdits is the number of the latest edits whose decisions a State
// keeps. A copy of an older edit is decided again. It is then refused, because
// its base is no longer current, even if the first copy was accepted. The only
// exception is an edit first refused with UnknownBase: its copy is accepted if
// its base has become current.
const MaxRecentEdits = 256

// maxDigests is the number of digests kept for the comparison with snapshots.
const maxDigests = 1024

// A State is the configuration and the decisions on recent edits at one offset of
// the log. It is a replicated state machine: it depends only on the records up to
// its offset, so two states at the same offset are equal.
//
// A State is not safe for concurrent use, but the Tables that it returns are
// never changed.
type State struct {
	offset   uint64
	revision uint64
	author   string
	tables   *Tables
	// tablesDigest is a hash of the encoded tables.
	tablesDigest uint64
	// recent holds the decisions on the latest edits, oldest first.
	recent []Decision
	// digests holds the state's digest after each of the latest changes, oldest
	// first.
	digests []digestEntry
	// mismatches counts the snapshots in the log that differed from the state.
	mismatches uint64
}

// digestEntry is the digest that the state has from an offset until its next
// change.
type digestEntry struct {
	offset uint64
	digest uint64
}

// NewState returns the state before the log's first record, at offset 0 and
// revision 0 without tables.
func NewState() *State {
	s := &State{}
	s.recordDigest()
	return s
}

// Offset returns the offset of the last record applied.
func (s *State) Offset() uint64 {
	return s.offset
}

// Revision returns the current revision. It is 0 before the first accepted edit.
func (s *State) Revision() uint64 {
	return s.revision
}

// Author returns the author of the current revision.
func (s *State) Author() string {
	return s.author
}

// Tables returns the current revision's tables, or nil at revision 0.
func (s *State) Tables() *Tables {
	return s.tables
}

// RecentDecisions returns the decisions on the latest edits, at most
// MaxRecentEdits, oldest first.
func (s *State) RecentDecisions() []Decision {
	return slices.Clone(s.recent)
}

// Decision returns the decision on the edit with the given ID, and whether the decision
// is still kept.
func (s *State) Decision(id uuid.UUID) (Decision, bool) {
	for _, d := range s.recent {
		if d.EditID == id {
			return d, true
		}
	}
	return Decision{}, false
}

// Mismatches returns the number of snapshots in the log that differed from the
// state itself at the same offset.
func (s *State) Mismatches() uint64 {
	return s.mismatches
}

// An OffsetError reports a record that does not follow the last applied one.
type OffsetError struct {
	// Offset is the record's offset and Want the expected one.
	Offset, Want uint64
}

// Error names both offsets.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("record at offset %d, want offset %d", e.Offset, e.Want)
}

// Apply applies the record at offset and returns the decision on it. A malformed
// record is refused and changes only the offset. If offset does not follow the
// state's offset, Apply changes nothing and returns an *OffsetError.
func (s *State) Apply(offset uint64, body []byte) (Decision, error) {
	if offset != s.offset+1 {
		return Decision{}, &OffsetError{Offset: offset, Want: s.offset + 1}
	}
	s.offset = offset
	if len(body) > MaxSnapshotBytes {
		return s.refuseMalformed("too large"), nil
	}
	kind, err := recordKind(body)
	if err != nil {
		return s.refuseMalformed(err.Error()), nil
	}
	switch kind {
	case editKind:
		return s.applyEdit(body), nil
	case snapshotKind:
		return s.applySnapshot(body), nil
	default:
		return s.refuseMalformed(fmt.Sprintf("unknown kind %q", kind)), nil
	}
}

// refuseMalformed returns the decision that refuses the record at the state's offset as
// malformed.
func (s *State) refuseMalformed(detail string) Decision {
	return Decision{
		Outcome:        Refused,
		Offset:         s.offset,
		Revision:       s.revision,
		RevisionAuthor: s.author,
		Reason:         Malformed,
		Detail:         truncate(detail),
	}
}

// applyEdit decides on the edit in body, which is the record at the state's offset.
func (s *State) applyEdit(body []byte) Decision {
	record, err := decodeEdit(body)
	if err != nil {
		return s.refuseMalformed(err.Error())
	}
	d := Decision{
		Outcome:        Refused,
		Offset:         s.offset,
		EditID:         record.ID,
		Author:         record.Author,
		Base:           record.Base,
		At:             record.At,
		Revision:       s.revision,
		RevisionAuthor: s.author,
		Digest:         xxhash.Sum64(record.Tables),
	}
	if record.Reset > 0 {
		s.applyReset(&d, record)
		return d
	}
	if first, ok := s.Decision(record.ID); ok {
		return copyDecision(first, d)
	}
	s.decide(&d, record)
	s.recordDecision(d)
	return d
}

// copyDecision returns the decision on a later record with the edit ID of first: first
// with its CopyOffset set if the record is a copy, and otherwise d with the reason. The
// caller passes in d a refusal of that record without a reason.
func copyDecision(first, d Decision) Decision {
	if first.Digest == d.Digest {
		first.CopyOffset = d.Offset
		return first
	}
	d.Reason = ReusedID
	d.Detail = fmt.Sprintf("the edit at offset %d has this ID and other tables", first.Offset)
	return d
}

// decide fills in the decision on an edit with a new ID. If it accepts the edit,
// its tables become current.
func (s *State) decide(d *Decision, record editRecord) {
	if record.Base < s.revision {
		d.Reason = StaleBase
		return
	}
	if record.Base > s.revision {
		d.Reason = UnknownBase
		return
	}
	tables, ok := d.decodeTables(record)
	if !ok {
		return
	}
	s.accept(d, s.revision+1, Diff(s.tables, tables), tables)
}

// accept makes tables the current ones and records in d that the edit is accepted.
func (s *State) accept(d *Decision, revision uint64, changes Changes, tables *Tables) {
	d.Outcome = Accepted
	d.Changes = truncate(changes.String())
	d.Revision = revision
	d.RevisionAuthor = d.Author
	s.revision = revision
	s.author = d.Author
	s.setTables(tables)
}

// decodeTables returns the tables of record. If they are invalid it sets the
// reason for refusal in d and returns false.
func (d *Decision) decodeTables(record editRecord) (*Tables, bool) {
	tables, err := DecodeTables(record.Tables)
	if err != nil {
		d.Reason = InvalidTables
		d.Detail = truncate(refusalDetail(err))
		return nil, false
	}
	return tables, true
}

// refusalDetail returns the text of the problems if err is a *CheckError, and a fixed
// text for any decoding error. The result is part of the state's digest, and the texts
// of decoding errors may differ between versions of the program.
func refusalDetail(err error) string {
	var problems *CheckError
	if errors.As(err, &problems) {
		return problems.Error()
	}
	return "malformed tables"
}

// recordDecision adds d to the recent decisions and drops the oldest if there are more
// than MaxRecentEdits.
func (s *State) recordDecision(d Decision) {
	s.recent = append(s.recent, d)
	if len(s.recent) > MaxRecentEdits {
		s.recent = slices.Delete(s.recent, 0, len(s.recent)-MaxRecentEdits)
	}
	s.recordDigest()
}

// recordDigest adds the current digest, valid from the current offset on.
func (s *State) recordDigest() {
	s.digests = append(s.digests, digestEntry{offset: s.offset, digest: s.Digest()})
	if len(s.digests) > maxDigests {
		s.digests = slices.Delete(s.digests, 0, len(s.digests)-maxDigests)
	}
}

// setTables makes tables the current ones and computes their digest.
func (s *State) setTables(tables *Tables) {
	body, err := tables.Encode()
	if err != nil {
		panic(err) // Every part of checked tables can be encoded.
	}
	s.tables = tables
	s.tablesDigest = xxhash.Sum64(body)
}

// Digest returns a hash of the state, except for its offset. A snapshot agrees with the
// state if their digests at the same offset are equal.
func (s *State) Digest() uint64 {
	body, err := json.Marshal(struct {
		Revision uint64
		Author   string
		Tables   uint64
		Recent   []Decision
	}{s.revision, s.author, s.tablesDigest, s.recent})
	if err != nil {
		panic(err) // Every part of a state was decoded from JSON or checked.
	}
	return xxhash.Sum64(body)
}
