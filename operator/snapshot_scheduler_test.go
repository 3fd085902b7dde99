package operator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

// schedulerSimulation simulates entry instances that append snapshots to one log.
type schedulerSimulation struct {
	simulation
	retention time.Duration
	now       time.Time
	// appended holds when each record was appended.
	appended []time.Time
	// schedulers holds the scheduler of each reader.
	schedulers []*operator.SnapshotScheduler
	// snapshots counts the snapshots that the schedulers made due and that were
	// appended.
	snapshots int
}

// start is the tests' initial time.
var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newSchedulerSimulation(is *is.I, instances int, retention time.Duration) *schedulerSimulation {
	sim := &schedulerSimulation{simulation: *newSimulation(instances), retention: retention, now: start}
	for i := range instances {
		sim.schedulers = append(sim.schedulers, newScheduler(is, retention, uint64(i), start))
	}
	return sim
}

func newScheduler(is *is.I, retention time.Duration, seed uint64, now time.Time) *operator.SnapshotScheduler {
	scheduler, err := operator.NewSnapshotScheduler(operator.SnapshotSchedulerConfig{
		Retention: retention,
		Rand:      rand.New(rand.NewPCG(seed, 1)),
	}, now)
	is.NoErr(err)
	return scheduler
}

func (sim *schedulerSimulation) append(record appendedRecord) {
	sim.records = append(sim.records, record)
	sim.appended = append(sim.appended, sim.now)
}

// step expires records, and lets every instance read the log and append a snapshot
// if one is due. If up is false, reads and appends fail.
func (sim *schedulerSimulation) step(is *is.I, up bool) {
	for sim.first < sim.end() && sim.now.Sub(sim.appended[sim.first-1]) >= sim.retention {
		sim.first++
	}
	for i, r := range sim.readers {
		if !up {
			continue
		}
		for {
			page := sim.page(r.Next(), 9)
			decisions, err := r.ApplyPage(page)
			is.NoErr(err)
			sim.schedulers[i].ObservePage(sim.now, page, decisions)
			if len(page.Records) == 0 {
				break
			}
		}
	}
	for i, r := range sim.readers {
		if !sim.schedulers[i].Due(sim.now, r.Reader) {
			continue
		}
		sim.schedulers[i].Attempted(sim.now)
		if up {
			sim.append(appendedRecord{body: r.State().Snapshot()})
			sim.snapshots++
		}
	}
}

// newestSnapshotAge returns the age of the newest snapshot in the log, or the retention
// if there is none.
func (sim *schedulerSimulation) newestSnapshotAge() time.Duration {
	for i := len(sim.records) - 1; i >= int(sim.first)-1; i-- {
		if sim.records[i].edit == nil {
			return sim.now.Sub(sim.appended[i])
		}
	}
	return sim.retention
}

// TestSnapshotSchedulersKeepSnapshotInLog runs 8 instances for 20 times the
// retention. The log is down for 2 of every 7 hours, and one instance is replaced
// every 5 hours. The newest snapshot must always be younger than half of the retention.
func TestSnapshotSchedulersKeepSnapshotInLog(t *testing.T) {
	is := is.New(t)
	const retention = 24 * time.Hour
	sim := newSchedulerSimulation(is, 8, retention)
	sim.append(appendedRecord{body: mustEncode(newEdit(1, 0, 1)), edit: &operator.Edit{}})
	const hours = 20 * 24
	for minute := range hours * 60 {
		sim.now = start.Add(time.Duration(minute) * time.Minute)
		sim.step(is, minute/60%7 != 5 && minute/60%7 != 6)
		if minute%300 == 299 {
			i := minute / 300 % 8
			sim.readers[i] = &simulatedReader{Reader: operator.NewReader()}
			sim.schedulers[i] = newScheduler(is, retention, uint64(minute), sim.now)
		}
		if minute > 60*8 { // The first is due within an eighth of the retention plus an outage.
			is.True(sim.newestSnapshotAge() < retention/2)
		}
	}
	sim.step(is, true) // The instance that was replaced last reads too.
	for _, r := range sim.readers {
		is.Equal(r.State().Revision(), uint64(1))
	}
	t.Logf("%d snapshots in 20 retentions", sim.snapshots)
	// If snapshots did not postpone those of other instances, each of the 8
	// instances would append one at least every 3/8 of the retention, which makes
	// 20*8*8/3 = 426 in all.
	is.True(sim.snapshots < 426/2)
}

// TestSnapshotSchedulerIgnoresStaleSnapshot checks that a snapshot which a paused
// instance appends late does not postpone a new one.
func TestSnapshotSchedulerIgnoresStaleSnapshot(t *testing.T) {
	is := is.New(t)
	const retention = 24 * time.Hour
	sim := newSchedulerSimulation(is, 1, retention)
	sim.append(appendedRecord{body: mustEncode(newEdit(1, 0, 1)), edit: &operator.Edit{}})
	sim.step(is, true)
	stale := sim.readers[0].State().Snapshot()
	sim.append(appendedRecord{body: mustEncode(newEdit(2, 1, 2)), edit: &operator.Edit{}})
	sim.now = start.Add(retention / 8)
	sim.step(is, true)
	is.Equal(sim.snapshots, 1)
	sim.step(is, true) // It reads its own snapshot: the next is due 1/4 to 3/8 of the retention later.

	sim.now = start.Add(retention * 3 / 8).Add(-time.Minute)
	sim.step(is, true)
	sim.append(appendedRecord{body: stale})
	sim.step(is, true)
	is.Equal(sim.snapshots, 1)
	sim.now = start.Add(retention / 2)
	sim.step(is, true)
	is.Equal(sim.snapshots, 2) // The stale one counts as old: its age begins before the record after its offset was appended.
}

// TestSnapshotSchedulerIgnoresOldOrWrongSnapshot checks that the first snapshot is
// postponed neither by a snapshot of unknown age in a backlog nor by one that differs
// from the reader's state.
func TestSnapshotSchedulerIgnoresOldOrWrongSnapshot(t *testing.T) {
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
			s := newScheduler(is, time.Hour, 1, start)
			s.ObservePage(start, test.page, nil)
			s.ObservePage(start, operator.Page{First: 1, Next: 3}, []operator.Decision{
				{Outcome: operator.Noted, SnapshotOffset: 1, Mismatch: test.mismatch},
			})
			is.Equal(s.Due(start.Add(time.Hour/8), reader), test.due)
		})
	}
}

// TestSnapshotSchedulerDue checks that a snapshot is due when the first delay and the
// delay after an attempt have passed, but not while the reader has nothing applied or
// has a gap.
func TestSnapshotSchedulerDue(t *testing.T) {
	is := is.New(t)
	s := newScheduler(is, time.Hour, 1, start)
	reader := operator.NewReader()
	is.True(!s.Due(start.Add(time.Hour), reader)) // There is nothing to append.
	_, err := reader.ApplyPage(operator.Page{First: 1, Next: 2, Records: []operator.Record{{Offset: 1}}})
	is.NoErr(err)
	is.True(!s.Due(start, reader))
	is.True(s.Due(start.Add(time.Hour/8), reader))
	s.Attempted(start.Add(time.Hour / 8))
	is.True(!s.Due(start.Add(time.Hour/8), reader))
	is.True(s.Due(start.Add(time.Hour/4), reader)) // Another attempt is due.
	_, err = reader.ApplyPage(operator.Page{First: 9, Next: 9})
	is.NoErr(err)
	is.True(!s.Due(start.Add(time.Hour), reader)) // The reader has a gap.

	_, err = operator.NewSnapshotScheduler(operator.SnapshotSchedulerConfig{Retention: time.Hour}, start)
	var config *operator.ConfigError
	is.True(errors.As(err, &config))
	is.Equal(config.Field, "rand")
}
