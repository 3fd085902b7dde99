package operator

import (
	"encoding/json"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Stream names the log's stream that holds the configuration's records.
const Stream = "configuration"

// Limits of the log's records.
const (
	// MaxEditBytes is the largest size of an edit's record in bytes.
	MaxEditBytes = 1 << 20
	// MaxSnapshotBytes is the largest size of a snapshot's record in bytes.
	MaxSnapshotBytes = 2 << 20
	// MaxAuthorBytes is the largest length of an author's name in bytes.
	MaxAuthorBytes = 64
)

// The kinds of record.
const (
	editKind     = "edit"
	snapshotKind = "snapshot"
)

// An Edit is a whole new configuration that an operator publishes.
type Edit struct {
	// ID identifies the edit. Copies of an edit have the same ID.
	ID uuid.UUID
	// Author is who publishes the edit.
	Author string
	// Base is the revision that the edit was made from.
	Base uint64
	// Reset is 0, or the offset that the record must get in the log. At that
	// offset the edit is accepted regardless of earlier records, even if the
	// current revision can no longer be derived from the log. A copy gets
	// another offset and is refused.
	Reset uint64
	// At is the time of publishing by the author's clock. It does not affect
	// the decision.
	At time.Time
	// Tables is the new configuration.
	Tables *Tables
}

// editRecord is the encoding of an edit in the log.
type editRecord struct {
	Kind   string          `json:"kind"`
	ID     uuid.UUID       `json:"id"`
	Author string          `json:"author"`
	Base   uint64          `json:"base"`
	Reset  uint64          `json:"reset,omitempty"`
	At     time.Time       `json:"at"`
	Tables json.RawMessage `json:"tables"`
}

// Encode returns the edit's record for the log. It returns a *RecordError if the
// edit's ID or author is invalid or if the record is too large, and another error
// if its time cannot be encoded.
func (e Edit) Encode() ([]byte, error) {
	tables, err := e.Tables.Encode()
	if err != nil {
		return nil, err
	}
	record := editRecord{
		Kind:   editKind,
		ID:     e.ID,
		Author: e.Author,
		Base:   e.Base,
		Reset:  e.Reset,
		At:     e.At.UTC(),
		Tables: tables,
	}
	if err := record.validate(); err != nil {
		return nil, err
	}
	body, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxEditBytes {
		return nil, &RecordError{Reason: "too large"}
	}
	return body, nil
}

// A RecordError reports an invalid record.
type RecordError struct {
	// Reason is why the record is invalid.
	Reason string
}

// Error returns the reason.
func (e *RecordError) Error() string {
	return "invalid record: " + e.Reason
}

// recordKind returns the kind that is stated in a record.
func recordKind(body []byte) (string, error) {
	var head struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return "", err
	}
	return head.Kind, nil
}

// decodeEdit decodes and validates the record of an edit, except for the edit's
// tables.
func decodeEdit(body []byte) (editRecord, error) {
	var record editRecord
	if len(body) > MaxEditBytes {
		return record, &RecordError{Reason: "too large"}
	}
	if err := decodeStrict(body, &record); err != nil {
		return record, err
	}
	record.At = record.At.UTC()
	return record, record.validate()
}

// validate returns an error if the edit's ID, author or time is invalid.
func (r editRecord) validate() error {
	if r.ID == uuid.Nil {
		return &RecordError{Reason: "no edit id"}
	}
	if reason := authorProblem(r.Author); reason != "" {
		return &RecordError{Reason: reason}
	}
	if _, err := r.At.MarshalJSON(); err != nil {
		return errors.Wrap(err, "time")
	}
	return nil
}

// authorProblem returns the reason why an author's name is invalid, or "" if it is
// valid.
func authorProblem(author string) string {
	if author == "" {
		return "no author"
	}
	if len(author) > MaxAuthorBytes {
		return "author too long"
	}
	if !utf8.ValidString(author) {
		return "author not in UTF-8"
	}
	for _, r := range author {
		if !unicode.IsPrint(r) {
			return "author not printable"
		}
	}
	return ""
}
