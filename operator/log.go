package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Parameters of reads.
const (
	// pageLimit is the largest number of records requested in one read.
	pageLimit = 256
	// readWait is how long a read waits for an appended record to become visible.
	readWait = time.Second
)

// A Log is the platform's append-only log.
type Log interface {
	// Append appends body as a record to stream and returns the record's
	// offset. After an error it is unknown whether the record is in the log; it
	// may also appear later.
	Append(ctx context.Context, stream string, body []byte) (offset uint64, err error)
	// Read returns at most maxRecords records of stream. The first is the one
	// at offset, or the oldest that the log still keeps if that is later. If
	// there is none, Read waits for one for at most maxWait and then returns a
	// page without records.
	Read(ctx context.Context, stream string, offset uint64, maxWait time.Duration, maxRecords int) (Page, error)
}

// A GapError reports a log from which the current configuration can no longer be
// derived: records have expired and no snapshot replaces them.
type GapError struct {
	// Offset is the last offset applied and First the first that the log keeps.
	Offset, First uint64
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("the log keeps records from offset %d on and has no snapshot for the gap after offset %d", e.First, e.Offset)
}

// A LostDecisionError reports that the decision on an edit is lost: the edit's record
// has expired, and no snapshot in the log holds the decision.
type LostDecisionError struct {
	// Offset is the offset at which the edit was appended.
	Offset uint64
}

// Error names the offset.
func (e *LostDecisionError) Error() string {
	return fmt.Sprintf("the log no longer holds the decision on the edit at offset %d", e.Offset)
}

// An UnknownOutcomeError reports an edit that may or may not have been accepted.
// Publishing it again with the same ID has no second effect.
type UnknownOutcomeError struct {
	// EditID is the edit's ID.
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

// ReadAll returns a reader at the log's end and the decisions on the records that
// it applied. It returns a *GapError if the current configuration cannot be
// derived from the log.
func ReadAll(ctx context.Context, log Log) (*Reader, []Decision, error) {
	reader := NewReader()
	decisions, err := readToEnd(ctx, log, reader)
	return reader, decisions, err
}

// readToEnd reads the log until a page has no records. It returns the decisions on
// the records read.
func readToEnd(ctx context.Context, log Log, reader *Reader) ([]Decision, error) {
	var decisions []Decision
	for {
		page, more, err := readPage(ctx, log, reader, 0)
		if err != nil {
			return decisions, err
		}
		decisions = append(decisions, more...)
		if len(page.Records) > 0 {
			continue
		}
		if reader.Gap() {
			return decisions, &GapError{Offset: reader.State().Offset(), First: page.First}
		}
		return decisions, nil
	}
}

// readPage reads the next page of the configuration's stream and applies it to reader.
// It waits for a record for at most maxWait.
func readPage(ctx context.Context, log Log, reader *Reader, maxWait time.Duration) (Page, []Decision, error) {
	if err := ctx.Err(); err != nil {
		return Page{}, nil, err
	}
	page, err := log.Read(ctx, Stream, reader.Next(), maxWait, pageLimit)
	if err != nil {
		return page, nil, err
	}
	decisions, err := reader.ApplyPage(page)
	return page, decisions, err
}
