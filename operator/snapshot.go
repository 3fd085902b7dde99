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

func (s *State) snapshotState() snapshotState {
	form := snapshotState{
		Offset:   s.offset,
		Revision: s.revision,
		Author:   s.author,
		Recent:   s.recent,
	}
	if s.tables != nil {
		d := newDocument(s.tables)
		form.Tables = &d
	}
	return form
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
	// Offset is the snapshot's offset, or 0 if it is malformed.
	Offset uint64
	// Reason is why it was not adopted.
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
	form := record.State
	if reason := form.check(record.Kind); reason != "" {
		return nil, &SnapshotError{Offset: form.Offset, Reason: reason}
	}
	for i := range form.Recent {
		form.Recent[i].At = form.Recent[i].At.UTC()
		if _, err := form.Recent[i].At.MarshalJSON(); err != nil {
			return nil, &SnapshotError{Offset: form.Offset, Reason: err.Error()}
		}
	}
	s := &State{offset: form.Offset, revision: form.Revision, author: form.Author, recent: form.Recent}
	if form.Tables != nil {
		tables, err := checkDocument(*form.Tables)
		if err != nil {
			return nil, &SnapshotError{Offset: form.Offset, Reason: err.Error()}
		}
		s.setTables(tables)
	}
	s.recordDigest()
	return s, nil
}

// check returns the reason why the snapshot is invalid, or "".
func (form snapshotState) check(kind string) string {
	if kind != snapshotKind {
		return fmt.Sprintf("unexpected kind %q", kind)
	}
	if len(form.Recent) > MaxRecentEdits {
		return "too many decisions"
	}
	if (form.Tables == nil) != (form.Revision == 0) {
		return "tables without a revision or a revision without tables"
	}
	if form.Revision > form.Offset {
		return "revision above the offset"
	}
	return ""
}

// applySnapshot compares a snapshot in the log with the state's own digest at the
// snapshot's offset. The state does not adopt the snapshot.
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

// digestAt returns the state's digest at an earlier offset and whether it is
// still kept.
func (s *State) digestAt(offset uint64) (uint64, bool) {
	for i := len(s.digests) - 1; i >= 0; i-- {
		if s.digests[i].offset <= offset {
			return s.digests[i].digest, true
		}
	}
	return 0, false
}
