package operator

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// MaxRecentEdits is the number of the latest edits whose verdicts a History
// remembers. A copy of an older edit is decided anew. It has no effect, since
// its base is no longer current, but its verdict is a refusal also when the
// first copy was accepted. Only an edit refused for a base that did not exist
// could be accepted then.
const MaxRecentEdits = 256

// maxDigests is the number of digests kept to compare snapshots with.
const maxDigests = 1024

// A State is the configuration at one offset of the log, as a fold over the
// records up to it: two histories at one offset are equal.
//
// A State is not safe for concurrent use, but the Tables that it returns
// are never changed.
type State struct {
	offset   uint64
	revision uint64
	author   string
	tables   *Tables
	// tablesDigest is the hash of tables.
	tablesDigest uint64
	// recent holds the verdicts of the latest edits in order of decision.
	recent []Decision
	// digests holds the state's digest after each change, in order.
	digests    []digestAt
	mismatches uint64
}

// digestAt is the digest of the state from an offset on.
type digestAt struct {
	offset uint64
	digest uint64
}

// NewState returns the history before the log's first record, at offset 0
// and revision 0 with no tables.
func NewState() *State {
	h := &State{}
	h.noteDigest()
	return h
}

// Offset returns the offset of the last record applied.
func (h *State) Offset() uint64 {
	return h.offset
}

// Revision returns the current revision. It is 0 before the first accepted edit.
func (h *State) Revision() uint64 {
	return h.revision
}

// Author returns the author of the current revision.
func (h *State) Author() string {
	return h.author
}

// Tables returns the current revision's tables, or nil at revision 0.
func (h *State) Tables() *Tables {
	return h.tables
}

// RecentDecisions returns the verdicts of the latest edits, at most MaxRecentEdits, in
// order of decision.
func (h *State) RecentDecisions() []Decision {
	return slices.Clone(h.recent)
}

// Decision returns the verdict of the edit id and whether it is remembered.
func (h *State) Decision(id uuid.UUID) (Decision, bool) {
	for _, v := range h.recent {
		if v.EditID == id {
			return v, true
		}
	}
	return Decision{}, false
}

// Mismatches returns the number of snapshots in the log whose content differed
// from the history's own at the same offset.
func (h *State) Mismatches() uint64 {
	return h.mismatches
}

// An OffsetError reports a record that is not the next one.
type OffsetError struct {
	// Offset is the record's offset, Want the next one.
	Offset, Want uint64
}

// Error names both offsets.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("record at offset %d, want offset %d", e.Offset, e.Want)
}

// Apply applies the record at offset and returns its verdict. A record that
// cannot be used is refused. Apply returns an *OffsetError, and changes
// nothing, unless offset follows the history's own.
func (h *State) Apply(offset uint64, body []byte) (Decision, error) {
	if offset != h.offset+1 {
		return Decision{}, &OffsetError{Offset: offset, Want: h.offset + 1}
	}
	h.offset = offset
	if len(body) > MaxSnapshotBytes {
		return h.malformed("too large"), nil
	}
	kind, err := recordKind(body)
	if err != nil {
		return h.malformed(err.Error()), nil
	}
	switch kind {
	case editKind:
		return h.applyEdit(body), nil
	case snapshotKind:
		return h.applySnapshot(body), nil
	default:
		return h.malformed(fmt.Sprintf("kind %q", kind)), nil
	}
}

func (h *State) malformed(detail string) Decision {
	return Decision{
		Outcome:        Refused,
		Offset:         h.offset,
		Revision:       h.revision,
		RevisionAuthor: h.author,
		Reason:         Malformed,
		Detail:         truncate(detail),
	}
}

func (h *State) applyEdit(body []byte) Decision {
	record, err := decodeEdit(body)
	if err != nil {
		return h.malformed(err.Error())
	}
	v := Decision{
		Outcome:        Refused,
		Offset:         h.offset,
		EditID:         record.ID,
		Author:         record.Author,
		Base:           record.Base,
		At:             record.At,
		Revision:       h.revision,
		RevisionAuthor: h.author,
		Digest:         xxhash.Sum64(record.Tables),
	}
	if record.Reset > 0 {
		h.reset(&v, record)
		return v
	}
	if first, ok := h.Decision(record.ID); ok {
		return copyVerdict(first, v)
	}
	h.decide(&v, record)
	h.remember(v)
	return v
}

// copyVerdict returns the verdict v of an edit whose ID had the verdict first.
func copyVerdict(first, v Decision) Decision {
	if first.Digest == v.Digest {
		first.CopyOffset = v.Offset
		return first
	}
	v.Reason = ReusedID
	v.Detail = fmt.Sprintf("the edit at offset %d has this ID and other tables", first.Offset)
	return v
}

// decide fills in the verdict of an edit that has none yet and, if the edit is
// accepted, puts it in force.
func (h *State) decide(v *Decision, record editRecord) {
	if record.Base < h.revision {
		v.Reason = StaleBase
		return
	}
	if record.Base > h.revision {
		v.Reason = UnknownBase
		return
	}
	tables, ok := v.decodeTables(record)
	if !ok {
		return
	}
	h.accept(v, h.revision+1, Diff(h.tables, tables), tables)
}

// accept puts the tables of the edit that v is about in force.
func (h *State) accept(v *Decision, revision uint64, changes Changes, tables *Tables) {
	v.Outcome = Accepted
	v.Changes = truncate(changes.String())
	v.Revision = revision
	v.RevisionAuthor = v.Author
	h.revision = revision
	h.author = v.Author
	h.setTables(tables)
}

// decodeTables returns the tables of record, or notes why it is refused.
func (v *Decision) decodeTables(record editRecord) (*Tables, bool) {
	tables, err := DecodeTables(record.Tables)
	if err != nil {
		v.Reason = InvalidTables
		v.Detail = truncate(checkDetail(err))
		return nil, false
	}
	return tables, true
}

// checkDetail returns the faults that err lists. It leaves out a decoder's own
// words, which may differ between versions of the program.
func checkDetail(err error) string {
	var faults *CheckError
	if errors.As(err, &faults) {
		return faults.Error()
	}
	return "malformed tables"
}

func (h *State) remember(v Decision) {
	h.recent = append(h.recent, v)
	if len(h.recent) > MaxRecentEdits {
		h.recent = slices.Delete(h.recent, 0, len(h.recent)-MaxRecentEdits)
	}
	h.noteDigest()
}

// noteDigest records the digest of the state from the current offset on.
func (h *State) noteDigest() {
	h.digests = append(h.digests, digestAt{offset: h.offset, digest: h.Digest()})
	if len(h.digests) > maxDigests {
		h.digests = slices.Delete(h.digests, 0, len(h.digests)-maxDigests)
	}
}

func (h *State) setTables(tables *Tables) {
	body, err := tables.Encode()
	if err != nil {
		panic(err) // Every part of checked tables can be encoded.
	}
	h.tables = tables
	h.tablesDigest = xxhash.Sum64(body)
}

// Digest returns a hash of the history's state but for its offset.
func (h *State) Digest() uint64 {
	body, err := json.Marshal(struct {
		Revision uint64
		Author   string
		Tables   uint64
		Recent   []Decision
	}{h.revision, h.author, h.tablesDigest, h.recent})
	if err != nil {
		panic(err) // Every part of a state was decoded from JSON or checked.
	}
	return xxhash.Sum64(body)
}
