package operator

import (
	"encoding/json"
	"fmt"
)

// snapshotState is the encoding of a State in a snapshot.
type snapshotState struct {
	Offset   uint64     `json:"offset"`
	Revision uint64     `json:"revision"`
	Author   string     `json:"author"`
	Tables   *document  `json:"tables"`
	Recent   []Decision `json:"recent"`
}

// snapshotRecord is the encoding of a snapshot in the log and between peers.
type snapshotRecord struct {
	Kind  string        `json:"kind"`
	State snapshotState `json:"state"`
}

// snapshotState returns the encoding of the state.
func (s *State) snapshotState() snapshotState {
	encoded := snapshotState{
		Offset:   s.offset,
		Revision: s.revision,
		Author:   s.author,
		Recent:   s.recent,
	}
	if s.tables != nil {
		d := newDocument(s.tables)
		encoded.Tables = &d
	}
	return encoded
}

// Snapshot returns a record that holds the state, for the log and for peers.
func (s *State) Snapshot() []byte {
	body, err := json.Marshal(snapshotRecord{Kind: snapshotKind, State: s.snapshotState()})
	if err != nil {
		panic(err) // Every part of a state was decoded from JSON or checked.
	}
	return body
}

// A SnapshotError reports a snapshot that was not adopted.
type SnapshotError struct {
	// Offset is the offset of the state in the snapshot, or 0 if the snapshot
	// cannot be decoded.
	Offset uint64
	// Reason is why the snapshot was not adopted.
	Reason string
}

// Error returns the offset and the reason.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot of offset %d: %s", e.Offset, e.Reason)
}

// Adopt replaces the state by the snapshot in body. If the snapshot is malformed
// or its offset is not above the state's, Adopt changes nothing and returns a
// *SnapshotError.
func (s *State) Adopt(body []byte) error {
	other, err := decodeSnapshot(body)
	if err != nil {
		return err
	}
	return s.adopt(other)
}

// adopt replaces the state by other, but keeps the count of mismatches. It returns a
// *SnapshotError if other's offset is not above the state's.
func (s *State) adopt(other *State) error {
	if other.offset <= s.offset {
		return &SnapshotError{Offset: other.offset, Reason: "not ahead"}
	}
	other.mismatches = s.mismatches
	*s = *other
	return nil
}

// decodeSnapshot returns the state that a snapshot holds, or a *SnapshotError.
func decodeSnapshot(body []byte) (*State, error) {
	if len(body) > MaxSnapshotBytes {
		return nil, &SnapshotError{Reason: "too large"}
	}
	var record snapshotRecord
	if err := decodeStrict(body, &record); err != nil {
		return nil, &SnapshotError{Reason: err.Error()}
	}
	stored := record.State
	if reason := stored.problem(record.Kind); reason != "" {
		return nil, &SnapshotError{Offset: stored.Offset, Reason: reason}
	}
	for i := range stored.Recent {
		stored.Recent[i].At = stored.Recent[i].At.UTC()
		if _, err := stored.Recent[i].At.MarshalJSON(); err != nil {
			return nil, &SnapshotError{Offset: stored.Offset, Reason: err.Error()}
		}
	}
	s := &State{offset: stored.Offset, revision: stored.Revision, author: stored.Author, recent: stored.Recent}
	if stored.Tables != nil {
		tables, err := checkDocument(*stored.Tables)
		if err != nil {
			return nil, &SnapshotError{Offset: stored.Offset, Reason: err.Error()}
		}
		s.setTables(tables)
	}
	s.recordDigest()
	return s, nil
}

// problem returns the reason why s, in a record of the given kind, is not a valid
// snapshot, or "" if it is valid. It does not check the tables.
func (s snapshotState) problem(kind string) string {
	if kind != snapshotKind {
		return fmt.Sprintf("unexpected kind %q", kind)
	}
	if len(s.Recent) > MaxRecentEdits {
		return "too many decisions"
	}
	if (s.Tables == nil) != (s.Revision == 0) {
		return "tables without a revision or a revision without tables"
	}
	if s.Revision > s.Offset {
		return "revision above the offset"
	}
	return ""
}

// applySnapshot compares the digest of a snapshot in the log with the state's own
// digest at the snapshot's offset, and counts a mismatch. The state does not adopt the
// snapshot.
func (s *State) applySnapshot(body []byte) Decision {
	other, err := decodeSnapshot(body)
	if err != nil {
		return s.refuseMalformed(err.Error())
	}
	if other.offset >= s.offset {
		return s.refuseMalformed(fmt.Sprintf("snapshot of offset %d, which is not before the record", other.offset))
	}
	d := Decision{
		Outcome:        Noted,
		Offset:         s.offset,
		Revision:       s.revision,
		RevisionAuthor: s.author,
		SnapshotOffset: other.offset,
	}
	if own, ok := s.digestAt(other.offset); ok && own != other.Digest() {
		s.mismatches++
		d.Mismatch = true
	}
	return d
}

// digestAt returns the digest that the state had at an earlier offset, and whether it
// is still kept.
func (s *State) digestAt(offset uint64) (uint64, bool) {
	for i := len(s.digests) - 1; i >= 0; i-- {
		if s.digests[i].offset <= offset {
			return s.digests[i].digest, true
		}
	}
	return 0, false
}
