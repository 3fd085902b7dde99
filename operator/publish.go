package operator

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Publish appends edit to the log, unless it is there already, and returns its
// verdict. It returns an *UnknownError if it cannot tell, and a *RecordError
// if edit cannot be encoded.
func Publish(ctx context.Context, log Log, edit Edit) (Decision, error) {
	if _, err := edit.Encode(); err != nil {
		return Decision{}, err
	}
	p, err := newPublication(log, edit)
	if err != nil {
		return Decision{}, err
	}
	v, err := p.run(ctx)
	if err != nil {
		return Decision{}, &UnknownOutcomeError{EditID: edit.ID, Err: err}
	}
	return v, nil
}

// PublishReset is like Publish for an edit that is accepted whatever the
// current revision is, also when the log no longer tells it. It sets
// edit.Reset itself, and tries again as long as other records come between. A
// reset makes the log forget earlier verdicts: one that is published again
// after another reset, when its record has expired, takes effect again.
func PublishReset(ctx context.Context, log Log, edit Edit) (Decision, error) {
	for {
		reader, _, err := ReadAll(ctx, log)
		var gap *GapError
		if err != nil && !errors.As(err, &gap) {
			return Decision{}, &UnknownOutcomeError{EditID: edit.ID, Err: err}
		}
		edit.Reset = reader.Next()
		v, err := Publish(ctx, log, edit)
		if err != nil || v.Reason != MisplacedReset {
			return v, err
		}
	}
}

// publication is one call of Publish.
type publication struct {
	log    Log
	reader *Reader
	edit   Edit
	// digest is the hash of the edit's tables.
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

func (p *publication) run(ctx context.Context) (Decision, error) {
	verdicts, err := p.catchUp(ctx)
	if err != nil {
		return Decision{}, err
	}
	if v, ok := p.find(verdicts); ok {
		return v, nil
	}
	if first, ok := p.reader.State().Decision(p.edit.ID); ok {
		return copyVerdict(first, p.refusal("")), nil
	}
	body, err := p.edit.Encode()
	if err != nil {
		return Decision{}, err
	}
	offset, err := p.log.Append(ctx, Stream, body)
	if err != nil {
		return p.afterLoss(ctx, err)
	}
	if p.edit.Reset > 0 && p.edit.Reset != offset {
		return p.refusal(MisplacedReset), nil
	}
	return p.await(ctx, offset)
}

// catchUp reads to the log's end. A reset needs no whole log.
func (p *publication) catchUp(ctx context.Context) ([]Decision, error) {
	verdicts, err := readToEnd(ctx, p.log, p.reader)
	var gap *GapError
	if p.edit.Reset > 0 && errors.As(err, &gap) {
		return verdicts, nil
	}
	return verdicts, err
}

// refusal returns the verdict of the edit if it is refused for reason.
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

// afterLoss looks once for an edit whose append had no answer.
func (p *publication) afterLoss(ctx context.Context, cause error) (Decision, error) {
	verdicts, err := readToEnd(ctx, p.log, p.reader)
	if err != nil {
		return Decision{}, err
	}
	if v, ok := p.find(verdicts); ok {
		return v, nil
	}
	return Decision{}, cause
}

// await reads until the edit that was appended at offset has its verdict.
func (p *publication) await(ctx context.Context, offset uint64) (Decision, error) {
	for {
		page, verdicts, err := readPage(ctx, p.log, p.reader, readWait)
		if err != nil {
			return Decision{}, err
		}
		if v, ok := p.find(verdicts); ok {
			return v, nil
		}
		if len(page.Records) == 0 && p.reader.Gap() {
			return Decision{}, &GapError{Offset: p.reader.State().Offset(), First: page.First}
		}
		if p.reader.State().Offset() >= offset {
			return Decision{}, &LostDecisionError{Offset: offset}
		}
	}
}

// find returns the edit's verdict among new ones or those of a snapshot. A
// reset that missed its offset has none yet.
func (p *publication) find(verdicts []Decision) (Decision, bool) {
	for _, v := range verdicts {
		if v.EditID == p.edit.ID && v.Digest == p.digest && v.Reason != MisplacedReset {
			return v, true
		}
	}
	v, ok := p.reader.State().Decision(p.edit.ID)
	return v, ok && v.Digest == p.digest
}
