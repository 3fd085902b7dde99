package operator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

var errDown = errors.New("log down")

// fakeLog is a log in memory.
type fakeLog struct {
	simulation
	// appends and reads are the numbers of further calls that succeed. If
	// negative, all succeed.
	appends, reads int
	// lost is set if only the answer to a failing append is lost: the record is
	// appended.
	lost bool
	// before is called before each append.
	before func()
}

func newFakeLog() *fakeLog {
	return &fakeLog{simulation: *newSimulation(0), appends: -1, reads: -1, before: func() {}}
}

func (l *fakeLog) Append(_ context.Context, _ string, body []byte) (uint64, error) {
	l.before()
	failed := l.appends == 0
	if !failed || l.lost {
		l.records = append(l.records, appendedRecord{body: body})
	}
	if failed {
		return 0, errDown
	}
	l.appends--
	return uint64(len(l.records)), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, _ time.Duration, limit int) (operator.Page, error) {
	if l.reads == 0 {
		return operator.Page{}, errDown
	}
	l.reads--
	return l.page(from, limit), nil
}

func ExamplePublish() {
	log := newFakeLog()
	decision, err := operator.Publish(context.Background(), log, newEdit(1, 0, 4))
	fmt.Println(decision.Outcome, decision.Revision, err)
	fmt.Println(decision.Changes)
	// Output:
	// accepted 1 <nil>
	// routes +previews; pools +editing; servers +127.0.0.1:7000
}

// TestPublish checks the decisions that Publish returns, also when another record is
// appended after Publish has read the log, and its errors when all records expire or
// the edit is invalid.
func TestPublish(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	ctx := context.Background()
	d, err := operator.Publish(ctx, log, newEdit(1, 0, 1))
	is.NoErr(err)
	is.Equal(d.Outcome, operator.Accepted)
	is.Equal(d.Revision, uint64(1))

	d, err = operator.Publish(ctx, log, newEdit(2, 0, 2))
	is.NoErr(err)
	is.Equal(d.Reason, operator.StaleBase)
	is.Equal(d.RevisionAuthor, "author-1")

	// Another edit is appended between the read and the append.
	log.before = func() {
		log.before = func() {}
		log.records = append(log.records, appendedRecord{body: mustEncode(newEdit(3, 1, 3))})
	}
	d, err = operator.Publish(ctx, log, newEdit(4, 1, 4))
	is.NoErr(err)
	is.Equal(d.Reason, operator.StaleBase)
	is.Equal(d.RevisionAuthor, "author-3")

	// Another edit with the same ID is appended between the read and the append.
	log.before = func() {
		log.before = func() {}
		log.records = append(log.records, appendedRecord{body: mustEncode(newEdit(5, 2, 5))})
	}
	d, err = operator.Publish(ctx, log, newEdit(5, 2, 6))
	is.NoErr(err)
	is.Equal(d.Reason, operator.ReusedID)

	// All records expire and no snapshot is left.
	log.before = func() { log.first = log.end() + 1 }
	_, err = operator.Publish(ctx, log, newEdit(6, 3, 6))
	var gap *operator.GapError
	is.True(errors.As(err, &gap))

	_, err = operator.Publish(ctx, log, operator.Edit{Tables: newTables(1)})
	var record *operator.RecordError
	is.True(errors.As(err, &record))
}

// TestPublishIsRepeatableAfterLogFailure makes the log fail at each step of a
// publication and publishes again with the same ID after the failure. The edit must
// take effect at most once, and its outcome must then be known.
func TestPublishIsRepeatableAfterLogFailure(t *testing.T) {
	for _, test := range []struct {
		name           string
		appends, reads int
		lost, unknown  bool
	}{
		{"down", 0, 0, false, true},
		{"down after read", 0, -1, false, true},
		{"answer lost", 0, -1, true, false},
		{"answer lost, then down", 0, 1, true, true},
		{"down after append", 1, 1, false, true},
		{"up", -1, -1, false, false},
	} {
		for _, stale := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				is := is.New(t)
				log := newFakeLog()
				want := uint64(1)
				if stale {
					log.records = append(log.records, appendedRecord{body: mustEncode(newEdit(0, 0, 9))})
				}
				edit := newEdit(1, 0, 1)
				log.appends, log.reads, log.lost = test.appends, test.reads, test.lost
				if stale && log.reads > 0 {
					log.reads++ // There is one more page to read before the append.
				}
				_, err := operator.Publish(context.Background(), log, edit)
				var unknown *operator.UnknownOutcomeError
				is.Equal(errors.As(err, &unknown), test.unknown)
				if test.unknown {
					is.Equal(unknown.EditID, edit.ID)
				}

				log.appends, log.reads = -1, -1
				d, err := operator.Publish(context.Background(), log, edit)
				is.NoErr(err)
				is.Equal(d.Outcome == operator.Refused, stale)
				is.Equal(d.Revision, want)
				reader, _, err := operator.ReadAll(context.Background(), log)
				is.NoErr(err)
				is.Equal(reader.State().Revision(), want) // No second effect.
			})
		}
	}
}

// TestPublishRepeatedAfterSnapshot publishes an edit again after its record has
// expired. The decision on the edit is then in a snapshot, so the edit must not be
// appended again. The test also checks that a reset works when records and snapshots
// have expired, and that a repeated reset has no second effect.
func TestPublishRepeatedAfterSnapshot(t *testing.T) {
	is := is.New(t)
	log := newFakeLog()
	ctx := context.Background()
	_, err := operator.Publish(ctx, log, newEdit(1, 0, 1))
	is.NoErr(err)
	reader, _, err := operator.ReadAll(ctx, log)
	is.NoErr(err)
	log.records = append(log.records, appendedRecord{body: reader.State().Snapshot()})
	log.first = 2
	d, err := operator.Publish(ctx, log, newEdit(1, 1, 1)) // Its base may differ from the first copy's.
	is.NoErr(err)
	is.Equal(d.Outcome, operator.Accepted)
	is.Equal(d.Revision, uint64(1))
	is.Equal(len(log.records), 2) // It was not appended again.
	d, err = operator.Publish(ctx, log, newEdit(1, 1, 2))
	is.NoErr(err)
	is.Equal(d.Reason, operator.ReusedID)

	log.first = 3 // The snapshot expires too.
	_, err = operator.Publish(ctx, log, newEdit(1, 1, 1))
	var gap *operator.GapError
	is.True(errors.As(err, &gap))

	// A reset works without a snapshot, even if another record is appended first.
	log.before = func() {
		log.before = func() {}
		log.records = append(log.records, appendedRecord{})
	}
	d, err = operator.PublishReset(ctx, log, newEdit(2, 0, 2))
	is.NoErr(err)
	is.Equal(d.Outcome, operator.Accepted)
	is.Equal(d.Revision, uint64(5))
	d, err = operator.PublishReset(ctx, log, newEdit(2, 0, 2)) // A repetition has no second effect.
	is.NoErr(err)
	is.Equal(d.Offset, uint64(5))
	is.Equal(len(log.records), 5)
	log.before = func() {
		log.before = func() {}
		log.records = append(log.records, appendedRecord{})
	}
	d, err = operator.PublishReset(ctx, log, newEdit(3, 0, 3)) // The same on a log without a gap.
	is.NoErr(err)
	is.Equal(d.Revision, uint64(8))
	d, err = operator.PublishReset(ctx, log, newEdit(2, 0, 2)) // Its record is found in the log, although the state has dropped the decision.
	is.NoErr(err)
	is.Equal(d.Offset, uint64(5))
	d, err = operator.Publish(ctx, log, newEdit(4, 8, 4))
	is.NoErr(err)
	is.Equal(d.Revision, uint64(9))
}
