package operator

import "fmt"

// A Record is one record of a stream of the log.
type Record struct {
	// Offset is the record's position in its stream, from 1.
	Offset uint64
	// Body is the record's content.
	Body []byte
}

// A Page is the result of one read of a stream.
type Page struct {
	// First is the offset of the oldest record that the log still keeps. It
	// equals Next if it keeps none.
	First uint64
	// Next is the offset that the next record to be written will have.
	Next uint64
	// Records holds the records read, by ascending offset.
	Records []Record
}

// A PageError reports a page that cannot follow what the reader has applied.
type PageError struct {
	// Offset is the offset of the last record that the reader has applied.
	Offset uint64
	// Reason is what is wrong with the page.
	Reason string
}

// Error returns the offset and the reason.
func (e *PageError) Error() string {
	return fmt.Sprintf("page after offset %d: %s", e.Offset, e.Reason)
}

// A Reader computes the current configuration from pages of the log and snapshots
// of peers. Its offset never decreases, nor does its revision.
//
// A Reader does not read the log itself: its owner reads the log from Next and
// passes the page to ApplyPage. A Reader is not safe for concurrent use.
type Reader struct {
	state *State
	// first is the largest Page.First seen.
	first uint64
	// next is the offset to read from. While there is a gap it advances through
	// the records after the gap in search of a snapshot or a reset.
	next uint64
}

// NewReader returns a Reader that has read nothing.
func NewReader() *Reader {
	return &Reader{state: NewState(), first: 1, next: 1}
}

// State returns the current state. The caller must not change it.
func (r *Reader) State() *State {
	return r.state
}

// Next returns the offset to read the log from.
func (r *Reader) Next() uint64 {
	return r.next
}

// Gap reports whether the log no longer keeps the record that follows the
// reader's offset, so that the reader needs a snapshot or a reset to continue. Until
// it has one, the reader keeps the configuration at its offset.
func (r *Reader) Gap() bool {
	return r.first > r.state.Offset()+1
}

// ApplyPage applies the records of a page and returns the decisions on them. It
// skips records that are applied already. While there is a gap, ApplyPage instead
// searches the page for a snapshot or a reset to continue from, and returns only
// the decision on the reset.
//
// ApplyPage returns a *PageError, and skips the rest of the page, if the page does
// not follow the reader's offset: a record is missing, or the log has lost
// records. A page that was requested before an Adopt can cause the error too; the
// error is then harmless.
func (r *Reader) ApplyPage(page Page) ([]Decision, error) {
	if page.First > page.Next {
		return nil, r.pageError("the page ends at %d, before the log's first offset %d", page.Next, page.First)
	}
	r.first = max(r.first, page.First)
	if page.Next <= r.state.Offset() {
		return nil, r.pageError("the log ends before this offset")
	}
	if r.Gap() {
		return r.searchSnapshot(page)
	}
	return r.apply(page)
}

// pageError returns a *PageError with the reader's offset and the formatted reason.
func (r *Reader) pageError(format string, args ...any) error {
	return &PageError{Offset: r.state.Offset(), Reason: fmt.Sprintf(format, args...)}
}

// apply applies the records that follow the reader's offset.
func (r *Reader) apply(page Page) ([]Decision, error) {
	var decisions []Decision
	r.next = r.state.Offset() + 1
	for _, record := range page.Records {
		if record.Offset < r.next {
			continue
		}
		d, err := r.state.Apply(record.Offset, record.Body)
		if err != nil {
			return decisions, r.pageError("%v", err)
		}
		decisions = append(decisions, d)
		r.next = record.Offset + 1
	}
	return decisions, nil
}

// searchSnapshot adopts the first snapshot of the page from which the log continues
// without a gap, or the state after the first accepted reset, whichever comes first.
// For a reset it returns the decision on it.
func (r *Reader) searchSnapshot(page Page) ([]Decision, error) {
	r.next = max(r.next, r.first)
	for _, record := range page.Records {
		if record.Offset < r.next {
			continue
		}
		if record.Offset > r.next {
			return nil, r.pageError("record at offset %d, want offset %d", record.Offset, r.next)
		}
		r.next = record.Offset + 1
		other, reset := stateAfterReset(record)
		if !reset {
			other = r.snapshotIn(record)
		}
		if other == nil || r.adopt(other) != nil {
			continue
		}
		if reset {
			return r.state.RecentDecisions(), nil
		}
		return nil, nil
	}
	return nil, nil
}

// snapshotIn returns the state that record holds if it is a snapshot from which the
// log continues without a gap, and otherwise nil.
func (r *Reader) snapshotIn(record Record) *State {
	kind, err := recordKind(record.Body)
	if err != nil || kind != snapshotKind {
		return nil
	}
	other, err := decodeSnapshot(record.Body)
	if err != nil || other.offset >= record.Offset || other.offset+1 < r.first {
		return nil
	}
	return other
}

// adopt replaces the reader's state by other. Unless there still is a gap, the reader
// continues with the record after other's offset.
func (r *Reader) adopt(other *State) error {
	if err := r.state.adopt(other); err != nil {
		return err
	}
	if !r.Gap() {
		r.next = r.state.Offset() + 1
	}
	return nil
}

// Adopt replaces the reader's state by a snapshot from a peer. It returns a
// *SnapshotError if the snapshot is malformed or not ahead of the reader.
func (r *Reader) Adopt(body []byte) error {
	other, err := decodeSnapshot(body)
	if err != nil {
		return err
	}
	return r.adopt(other)
}
