package operator

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Publish appends edit to the log, unless it is there already, and returns the
// decision on it. It returns an *UnknownOutcomeError if the decision is not known,
// and the error of Edit.Encode if edit cannot be encoded.
func Publish(ctx context.Context, log Log, edit Edit) (Decision, error) {
	if _, err := edit.Encode(); err != nil {
		return Decision{}, err
	}
	p, err := newPublication(log, edit)
	if err != nil {
		return Decision{}, err
	}
	d, err := p.run(ctx)
	if err != nil {
		return Decision{}, &UnknownOutcomeError{EditID: edit.ID, Err: err}
	}
	return d, nil
}

// PublishReset is like Publish, but the edit is accepted whatever the current
// revision is, even if the current revision can no longer be derived from the log.
// PublishReset sets edit.Reset to the offset of the log's next record, and tries again
// whenever another record gets that offset first.
//
// A reset discards the earlier decisions. If it is published again after another
// reset, and its own record has expired, it therefore takes effect a second time.
func PublishReset(ctx context.Context, log Log, edit Edit) (Decision, error) {
	for {
		reader, _, err := ReadAll(ctx, log)
		var gap *GapError
		if err != nil && !errors.As(err, &gap) {
			return Decision{}, &UnknownOutcomeError{EditID: edit.ID, Err: err}
		}
		edit.Reset = reader.Next()
		d, err := Publish(ctx, log, edit)
		if err != nil || d.Reason != MisplacedReset {
			return d, err
		}
	}
}

// publication is one call of Publish.
type publication struct {
	log    Log
	reader *Reader
	edit   Edit
	// digest is a hash of the edit's encoded tables.
	digest uint64
}

func newPublication(log Log, edit Edit) (*publication, error) {
	tables, err := edit.Tables.Encode()
	if err != nil {
		return nil, err
	}
	p := &publication{
		log:    log,
		reader: NewReader(),
		edit:   edit,
		digest: xxhash.Sum64(tables),
	}
	return p, nil
}

// run reads the log to its end, appends the edit if there is no decision on it, and
// returns the decision.
func (p *publication) run(ctx context.Context) (Decision, error) {
	decisions, err := p.catchUp(ctx)
	if err != nil {
		return Decision{}, err
	}
	if d, ok := p.findDecision(decisions); ok {
		return d, nil
	}
	if first, ok := p.reader.State().Decision(p.edit.ID); ok {
		return copyDecision(first, p.refusal("")), nil
	}
	body, err := p.edit.Encode()
	if err != nil {
		return Decision{}, err
	}
	offset, err := p.log.Append(ctx, Stream, body)
	if err != nil {
		return p.findAfterFailedAppend(ctx, err)
	}
	if p.edit.Reset > 0 && p.edit.Reset != offset {
		return p.refusal(MisplacedReset), nil
	}
	return p.awaitDecision(ctx, offset)
}

// catchUp reads to the log's end. For a reset, a gap in the log is no error.
func (p *publication) catchUp(ctx context.Context) ([]Decision, error) {
	decisions, err := readToEnd(ctx, p.log, p.reader)
	var gap *GapError
	if p.edit.Reset > 0 && errors.As(err, &gap) {
		return decisions, nil
	}
	return decisions, err
}

// refusal returns a decision that refuses the edit for reason.
func (p *publication) refusal(reason Reason) Decision {
	return Decision{
		Outcome:        Refused,
		EditID:         p.edit.ID,
		Revision:       p.reader.State().Revision(),
		RevisionAuthor: p.reader.State().Author(),
		Reason:         reason,
		Digest:         p.digest,
	}
}

// findAfterFailedAppend reads the log once more after a failed append, because the
// record may be in it. It returns cause if it finds no decision on the edit.
func (p *publication) findAfterFailedAppend(ctx context.Context, cause error) (Decision, error) {
	decisions, err := readToEnd(ctx, p.log, p.reader)
	if err != nil {
		return Decision{}, err
	}
	if d, ok := p.findDecision(decisions); ok {
		return d, nil
	}
	return Decision{}, cause
}

// awaitDecision reads the log until it has the decision on the edit that was
// appended at offset. It returns a *LostDecisionError if it gets past offset without the
// decision, and a *GapError if it cannot get there.
func (p *publication) awaitDecision(ctx context.Context, offset uint64) (Decision, error) {
	for {
		page, decisions, err := readPage(ctx, p.log, p.reader, readWait)
		if err != nil {
			return Decision{}, err
		}
		if d, ok := p.findDecision(decisions); ok {
			return d, nil
		}
		if len(page.Records) == 0 && p.reader.Gap() {
			return Decision{}, &GapError{Offset: p.reader.State().Offset(), First: page.First}
		}
		if p.reader.State().Offset() >= offset {
			return Decision{}, &LostDecisionError{Offset: offset}
		}
	}
}

// findDecision returns the decision on the edit, from decisions or from the reader's
// state, and whether there is one. A refusal as a misplaced reset does not count,
// because PublishReset appends the reset again for another offset.
func (p *publication) findDecision(decisions []Decision) (Decision, bool) {
	for _, d := range decisions {
		if d.EditID == p.edit.ID && d.Digest == p.digest && d.Reason != MisplacedReset {
			return d, true
		}
	}
	d, ok := p.reader.State().Decision(p.edit.ID)
	return d, ok && d.Digest == p.digest
}
