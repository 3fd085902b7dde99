package operator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

// fleet is entry instances that republish on one log.
type fleet struct {
	world
	retention    time.Duration
	now          time.Time
	appended     []time.Time
	republishers []*operator.SnapshotScheduler
	snapshots    int
}

// start is when the tests' time begins.
var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newFleet(is *is.I, instances int, retention time.Duration) *fleet {
	f := &fleet{world: *newWorld(instances), retention: retention, now: start}
	for i := range instances {
		f.republishers = append(f.republishers, newRepublisher(is, retention, uint64(i), start))
	}
	return f
}

func newRepublisher(is *is.I, retention time.Duration, seed uint64, now time.Time) *operator.SnapshotScheduler {
	r, err := operator.NewSnapshotScheduler(operator.SnapshotSchedulerConfig{
		Retention: retention,
		Rand:      rand.New(rand.NewPCG(seed, 1)),
	}, now)
	is.NoErr(err)
	return r
}

func (f *fleet) append(s sent) {
	f.records = append(f.records, s)
	f.appended = append(f.appended, f.now)
}

// step lets every instance read and, while the log is up, republish.
func (f *fleet) step(is *is.I, up bool) {
	for f.first < f.end() && f.now.Sub(f.appended[f.first-1]) >= f.retention {
		f.first++
	}
	for i, r := range f.readers {
		if !up {
			continue
		}
		for {
			page := f.page(r.Next(), 9)
			verdicts, err := r.ApplyPage(page)
			is.NoErr(err)
			f.republishers[i].ObservePage(f.now, page, verdicts)
			if len(page.Records) == 0 {
				break
			}
		}
	}
	for i, r := range f.readers {
		if !f.republishers[i].Due(f.now, r.Reader) {
			continue
		}
		f.republishers[i].Attempted(f.now)
		if up {
			f.append(sent{body: r.State().Snapshot()})
			f.snapshots++
		}
	}
}

// newestAge returns the age of the newest snapshot in the log.
func (f *fleet) newestAge() time.Duration {
	for i := len(f.records) - 1; i >= int(f.first)-1; i-- {
		if f.records[i].edit == nil {
			return f.now.Sub(f.appended[i])
		}
	}
	return f.retention
}

// TestRepublishersKeepSnapshot runs 8 instances over 20 retentions with a log
// that is down for 2 hours of each 7, and one instance replaced each 5 hours.
func TestRepublishersKeepSnapshot(t *testing.T) {
	is := is.New(t)
	const retention = 24 * time.Hour
	f := newFleet(is, 8, retention)
	f.append(sent{body: mustEncode(newEdit(1, 0, 1)), edit: &operator.Edit{}})
	const hours = 20 * 24
	for minute := range hours * 60 {
		f.now = start.Add(time.Duration(minute) * time.Minute)
		f.step(is, minute/60%7 != 5 && minute/60%7 != 6)
		if minute%300 == 299 {
			i := minute / 300 % 8
			f.readers[i] = &worldReader{Reader: operator.NewReader()}
			f.republishers[i] = newRepublisher(is, retention, uint64(minute), f.now)
		}
		if minute > 60*8 { // The first is due within an eighth of the retention and an outage.
			is.True(f.newestAge() < retention/2)
		}
	}
	f.step(is, true) // The last one replaced reads too.
	for _, r := range f.readers {
		is.Equal(r.State().Revision(), uint64(1))
	}
	t.Logf("%d snapshots in 20 retentions", f.snapshots)
	// Without suppression 8 instances publish at least 20*8*8/3 = 426 times.
	is.True(f.snapshots < 426/2)
}

// TestRepublisherIgnoresStaleSnapshot checks that a snapshot which a paused
// instance appends late does not put off a new one.
func TestRepublisherIgnoresStaleSnapshot(t *testing.T) {
	is := is.New(t)
	const retention = 24 * time.Hour
	f := newFleet(is, 1, retention)
	f.append(sent{body: mustEncode(newEdit(1, 0, 1)), edit: &operator.Edit{}})
	f.step(is, true)
	stale := f.readers[0].State().Snapshot()
	f.append(sent{body: mustEncode(newEdit(2, 1, 2)), edit: &operator.Edit{}})
	f.now = start.Add(retention / 8)
	f.step(is, true)
	is.Equal(f.snapshots, 1)
	f.step(is, true) // It sees its own: the next is due 1/4 to 3/8 later.

	f.now = start.Add(retention * 3 / 8).Add(-time.Minute)
	f.step(is, true)
	f.append(sent{body: stale})
	f.step(is, true)
	is.Equal(f.snapshots, 1)
	f.now = start.Add(retention / 2)
	f.step(is, true)
	is.Equal(f.snapshots, 2) // The stale one counts as old as the record after its offset.
}

// TestRepublisherIgnoresOldOrWrongSnapshot checks that neither a snapshot in a
// backlog, whose age is unknown, nor one that differs puts off the first.
func TestRepublisherIgnoresOldOrWrongSnapshot(t *testing.T) {
	is := is.New(t)
	reader := operator.NewReader()
	record := operator.Record{Offset: 1}
	_, err := reader.ApplyPage(operator.Page{First: 1, Next: 2, Records: []operator.Record{record}})
	is.NoErr(err)
	backlog := operator.Page{First: 1, Next: 2, Records: []operator.Record{record}}
	end := operator.Page{First: 1, Next: 2}
	for _, test := range []struct {
		name     string
		page     operator.Page
		mismatch bool
		due      bool
	}{
		{"backlog", backlog, false, true},
		{"wrong", end, true, true},
		{"fresh", end, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newRepublisher(is, time.Hour, 1, start)
			r.ObservePage(start, test.page, nil)
			r.ObservePage(start, operator.Page{First: 1, Next: 3}, []operator.Decision{
				{Outcome: operator.Noted, SnapshotOffset: 1, Mismatch: test.mismatch},
			})
			is.Equal(r.Due(start.Add(time.Hour/8), reader), test.due)
		})
	}
}

func TestRepublisherDue(t *testing.T) {
	is := is.New(t)
	r := newRepublisher(is, time.Hour, 1, start)
	reader := operator.NewReader()
	is.True(!r.Due(start.Add(time.Hour), reader)) // Nothing to publish.
	_, err := reader.ApplyPage(operator.Page{First: 1, Next: 2, Records: []operator.Record{{Offset: 1}}})
	is.NoErr(err)
	is.True(!r.Due(start, reader))
	is.True(r.Due(start.Add(time.Hour/8), reader))
	r.Attempted(start.Add(time.Hour / 8))
	is.True(!r.Due(start.Add(time.Hour/8), reader))
	is.True(r.Due(start.Add(time.Hour/4), reader)) // It tries again.
	_, err = reader.ApplyPage(operator.Page{First: 9, Next: 9})
	is.NoErr(err)
	is.True(!r.Due(start.Add(time.Hour), reader)) // It has a gap.

	_, err = operator.NewSnapshotScheduler(operator.SnapshotSchedulerConfig{Retention: time.Hour}, start)
	var config *operator.ConfigError
	is.True(errors.As(err, &config))
	is.Equal(config.Field, "rand")
}
