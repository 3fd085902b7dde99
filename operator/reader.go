package operator

import "fmt"

// A Record is one record of a stream of the log.
type Record struct {
	// Offset is the record's place in its stream, from 1.
	Offset uint64
	// Body is the record's content.
	Body []byte
}

// A Page is what one read of a stream returned.
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
	// Offset is the reader's own offset.
	Offset uint64
	// Reason says what is wrong with the page.
	Reason string
}

// Error returns the offset and the reason.
func (e *PageError) Error() string {
	return fmt.Sprintf("page after offset %d: %s", e.Offset, e.Reason)
}

// A Reader decides which configuration is in force, given pages of the log and
// snapshots of peers. Its offset only grows, and so does its revision.
//
// A Reader does no reading itself: its owner reads the log from Next and gives
// it the page. A Reader is not safe for concurrent use.
type Reader struct {
	history *State
	// first is the largest Page.First seen.
	first uint64
	// next is the offset to read from. While there is a gap it runs through
	// the records behind the gap in search of a snapshot.
	next uint64
}

// NewReader returns a Reader that has read nothing.
func NewReader() *Reader {
	return &Reader{history: NewState(), first: 1, next: 1}
}

// State returns the history that is in force. Its owner must not change it.
func (r *Reader) State() *State {
	return r.history
}

// Next returns the offset to read the log from.
func (r *Reader) Next() uint64 {
	return r.next
}

// Gap reports whether the log no longer keeps the record that follows the
// reader's offset, so that the reader needs a snapshot. Until it has one, the
// configuration at its offset stays in force.
func (r *Reader) Gap() bool {
	return r.first > r.history.Offset()+1
}

// ApplyPage applies the records of a page and returns their verdicts. Records that
// were applied before have none. While there is a gap, ApplyPage looks for a
// snapshot or a reset, and of the records up to it only the reset has a verdict.
//
// ApplyPage returns a *PageError, and leaves the rest of the page, if the page does
// not follow the reader's offset: a record is missing, or the log has lost
// records. A page that was asked for before an Adopt may give it too, and does
// no harm.
func (r *Reader) ApplyPage(page Page) ([]Decision, error) {
	if page.First > page.Next {
		return nil, r.pageError("the page ends at %d, before the log's first offset %d", page.Next, page.First)
	}
	r.first = max(r.first, page.First)
	if page.Next <= r.history.Offset() {
		return nil, r.pageError("the log ends before it")
	}
	if r.Gap() {
		return r.search(page)
	}
	return r.apply(page)
}

func (r *Reader) pageError(format string, args ...any) error {
	return &PageError{Offset: r.history.Offset(), Reason: fmt.Sprintf(format, args...)}
}

// apply applies the records that follow the reader's offset.
func (r *Reader) apply(page Page) ([]Decision, error) {
	var verdicts []Decision
	r.next = r.history.Offset() + 1
	for _, record := range page.Records {
		if record.Offset < r.next {
			continue
		}
		v, err := r.history.Apply(record.Offset, record.Body)
		if err != nil {
			return verdicts, r.pageError("%v", err)
		}
		verdicts = append(verdicts, v)
		r.next = record.Offset + 1
	}
	return verdicts, nil
}

// search adopts the first snapshot of the page with no gap behind it, or the
// first reset. It returns the verdict of the reset.
func (r *Reader) search(page Page) ([]Decision, error) {
	r.next = max(r.next, r.first)
	for _, record := range page.Records {
		if record.Offset < r.next {
			continue
		}
		if record.Offset > r.next {
			return nil, r.pageError("record at offset %d, want offset %d", record.Offset, r.next)
		}
		r.next = record.Offset + 1
		other, reset := resetHistory(record)
		if !reset {
			other = r.snapshotIn(record)
		}
		if other == nil || r.take(other) != nil {
			continue
		}
		if reset {
			return r.history.RecentDecisions(), nil
		}
		return nil, nil
	}
	return nil, nil
}

// snapshotIn returns the state of a record that is a snapshot with no gap
// behind it, and otherwise nil.
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

func (r *Reader) take(other *State) error {
	if err := r.history.adopt(other); err != nil {
		return err
	}
	if !r.Gap() {
		r.next = r.history.Offset() + 1
	}
	return nil
}

// Adopt takes a snapshot that a peer gave. It returns a *SnapshotError if the
// snapshot is malformed or not ahead of the reader.
func (r *Reader) Adopt(body []byte) error {
	other, err := decodeSnapshot(body)
	if err != nil {
		return err
	}
	return r.take(other)
}
