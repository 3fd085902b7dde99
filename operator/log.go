package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// pageLimit is the largest number of records asked for at once.
	pageLimit = 256
	// readWait is the time that a read waits for an appended record to show.
	readWait = time.Second
)

// A Log is the platform's append-only log.
type Log interface {
	// Append appends body to stream and returns its offset. After an error
	// the record may be in the log or not, or come into it later.
	Append(ctx context.Context, stream string, body []byte) (offset uint64, err error)
	// Read returns at most limit records of stream from the offset from on,
	// or from the first that the log keeps. If there is none yet it waits
	// for at most wait and then returns a page without records.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (Page, error)
}

// A GapError reports a log that no longer tells the current configuration.
type GapError struct {
	// Offset is the last offset known, First the first that the log keeps.
	Offset, First uint64
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("the log keeps records from offset %d on and no snapshot for the gap after offset %d", e.First, e.Offset)
}

// A LostDecisionError reports an edit that was appended at Offset and whose
// verdict is not among those that the log still tells.
type LostDecisionError struct {
	Offset uint64
}

// Error names the offset.
func (e *LostDecisionError) Error() string {
	return fmt.Sprintf("the log no longer tells the verdict of the edit at offset %d", e.Offset)
}

// An UnknownOutcomeError reports an edit of which it is not known whether it was
// accepted. Publishing it again with the same ID has no second effect.
type UnknownOutcomeError struct {
	EditID uuid.UUID
	// Err is the cause.
	Err error
}

// Error names the edit and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of edit %v unknown: %v", e.EditID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// ReadAll returns a reader at the log's end and the verdicts of the records
// that it applied. It returns a *GapError if the log does not tell the current
// configuration.
func ReadAll(ctx context.Context, log Log) (*Reader, []Decision, error) {
	reader := NewReader()
	verdicts, err := readToEnd(ctx, log, reader)
	return reader, verdicts, err
}

// readToEnd reads the log up to a page without records.
func readToEnd(ctx context.Context, log Log, reader *Reader) ([]Decision, error) {
	var verdicts []Decision
	for {
		page, more, err := readPage(ctx, log, reader, 0)
		if err != nil {
			return verdicts, err
		}
		verdicts = append(verdicts, more...)
		if len(page.Records) > 0 {
			continue
		}
		if reader.Gap() {
			return verdicts, &GapError{Offset: reader.State().Offset(), First: page.First}
		}
		return verdicts, nil
	}
}

func readPage(ctx context.Context, log Log, reader *Reader, wait time.Duration) (Page, []Decision, error) {
	if err := ctx.Err(); err != nil {
		return Page{}, nil, err
	}
	page, err := log.Read(ctx, Stream, reader.Next(), wait, pageLimit)
	if err != nil {
		return page, nil, err
	}
	verdicts, err := reader.ApplyPage(page)
	return page, verdicts, err
}
