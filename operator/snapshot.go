package operator

import (
	"encoding/json"
	"fmt"
)

// state is the form of a History in a snapshot.
type state struct {
	Offset   uint64     `json:"offset"`
	Revision uint64     `json:"revision"`
	Author   string     `json:"author"`
	Tables   *document  `json:"tables"`
	Recent   []Decision `json:"recent"`
}

// snapshotRecord is the form of a snapshot in the log and between peers.
type snapshotRecord struct {
	Kind  string `json:"kind"`
	State state  `json:"state"`
}

func (h *State) state() state {
	s := state{
		Offset:   h.offset,
		Revision: h.revision,
		Author:   h.author,
		Recent:   h.recent,
	}
	if h.tables != nil {
		d := newDocument(h.tables)
		s.Tables = &d
	}
	return s
}

// Snapshot returns the record of the history's state, for the log and for peers.
func (h *State) Snapshot() []byte {
	body, err := json.Marshal(snapshotRecord{Kind: snapshotKind, State: h.state()})
	if err != nil {
		panic(err) // Every part of a state was decoded from JSON or checked.
	}
	return body
}

// A SnapshotError reports a snapshot that was not taken.
type SnapshotError struct {
	// Offset is the snapshot's offset, or 0 if it is malformed.
	Offset uint64
	// Reason says why it was not taken.
	Reason string
}

// Error returns the offset and the reason.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot of offset %d: %s", e.Offset, e.Reason)
}

// Adopt makes the snapshot in body the history's own state. It returns a
// *SnapshotError, and changes nothing, if the snapshot is malformed or not
// ahead of the history.
func (h *State) Adopt(body []byte) error {
	other, err := decodeSnapshot(body)
	if err != nil {
		return err
	}
	return h.adopt(other)
}

func (h *State) adopt(other *State) error {
	if other.offset <= h.offset {
		return &SnapshotError{Offset: other.offset, Reason: "not ahead"}
	}
	other.mismatches = h.mismatches
	*h = *other
	return nil
}

// decodeSnapshot returns the history that a snapshot holds.
func decodeSnapshot(body []byte) (*State, error) {
	if len(body) > MaxSnapshotBytes {
		return nil, &SnapshotError{Reason: "too large"}
	}
	var record snapshotRecord
	if err := decodeStrict(body, &record); err != nil {
		return nil, &SnapshotError{Reason: err.Error()}
	}
	s := record.State
	if reason := s.check(record.Kind); reason != "" {
		return nil, &SnapshotError{Offset: s.Offset, Reason: reason}
	}
	for i := range s.Recent {
		s.Recent[i].At = s.Recent[i].At.UTC()
		if _, err := s.Recent[i].At.MarshalJSON(); err != nil {
			return nil, &SnapshotError{Offset: s.Offset, Reason: err.Error()}
		}
	}
	h := &State{offset: s.Offset, revision: s.Revision, author: s.Author, recent: s.Recent}
	if s.Tables != nil {
		tables, err := checkDocument(*s.Tables)
		if err != nil {
			return nil, &SnapshotError{Offset: s.Offset, Reason: err.Error()}
		}
		h.setTables(tables)
	}
	h.noteDigest()
	return h, nil
}

// check returns what is wrong with a snapshot's state, or nothing.
func (s state) check(kind string) string {
	if kind != snapshotKind {
		return fmt.Sprintf("kind %q", kind)
	}
	if len(s.Recent) > MaxRecentEdits {
		return "too many verdicts"
	}
	if (s.Tables == nil) != (s.Revision == 0) {
		return "tables do not fit the revision"
	}
	if s.Revision > s.Offset {
		return "more revisions than records"
	}
	return ""
}

// applySnapshot compares a snapshot in the log with the history's own state at
// the snapshot's offset. The history keeps its own.
func (h *State) applySnapshot(body []byte) Decision {
	other, err := decodeSnapshot(body)
	if err != nil {
		return h.malformed(err.Error())
	}
	if other.offset >= h.offset {
		return h.malformed(fmt.Sprintf("snapshot of the later offset %d", other.offset))
	}
	v := Decision{
		Outcome:        Noted,
		Offset:         h.offset,
		Revision:       h.revision,
		RevisionAuthor: h.author,
		SnapshotOffset: other.offset,
	}
	if own, ok := h.digestAt(other.offset); ok && own != other.Digest() {
		h.mismatches++
		v.Mismatch = true
	}
	return v
}

// digestAt returns the state's digest at an earlier offset and whether it is
// remembered.
func (h *State) digestAt(offset uint64) (uint64, bool) {
	for i := len(h.digests) - 1; i >= 0; i-- {
		if h.digests[i].offset <= offset {
			return h.digests[i].digest, true
		}
	}
	return 0, false
}
