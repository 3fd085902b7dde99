package operator_test

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/operator"
)

// simulation is a log with its readers, and the snapshots and pages that are on their
// way between the log and a reader.
type simulation struct {
	// records holds every record ever appended. The log still keeps those from
	// the offset first on.
	records []appendedRecord
	first   uint64
	readers []*simulatedReader
	// preparedSnapshots holds snapshots that readers have made and that may be
	// appended later.
	preparedSnapshots [][]byte
	// delayed holds pages that were read and may be delivered later.
	delayed []delayedPage
	// edits counts the edits with an ID of their own.
	edits int
}

// simulatedReader is a reader with its offset and revision at the last check.
type simulatedReader struct {
	*operator.Reader
	offset, revision uint64
}

// delayedPage is a page that the reader has requested and that is delivered late, at
// times more than once.
type delayedPage struct {
	reader *simulatedReader
	page   operator.Page
}

func newSimulation(readers int) *simulation {
	sim := &simulation{first: 1}
	for range readers {
		sim.readers = append(sim.readers, &simulatedReader{Reader: operator.NewReader()})
	}
	return sim
}

// end returns the offset that the next record will get.
func (sim *simulation) end() uint64 {
	return uint64(len(sim.records)) + 1
}

// page returns the log's answer to a read.
func (sim *simulation) page(from uint64, limit int) operator.Page {
	p := operator.Page{First: sim.first, Next: max(from, sim.first)}
	for p.Next < sim.end() && len(p.Records) < limit {
		p.Records = append(p.Records, operator.Record{Offset: p.Next, Body: sim.records[p.Next-1].body})
		p.Next++
	}
	return p
}

func (sim *simulation) randomReader(t *rapid.T) *simulatedReader {
	return rapid.SampledFrom(sim.readers).Draw(t, "reader")
}

// appendRandomEdit appends an edit with a random share. Its base is the revision of a
// random reader or the next revision.
func (sim *simulation) appendRandomEdit(t *rapid.T) {
	base := sim.randomReader(t).State().Revision() + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
	share := rapid.IntRange(0, 9).Draw(t, "share") // A share of 0 is out of range.
	edit := newEdit(sim.edits, base, share)
	sim.edits++
	sim.appendEdit(edit, share)
}

// appendReset appends a reset, which may name another offset than it gets.
func (sim *simulation) appendReset(t *rapid.T) {
	share := rapid.IntRange(0, 9).Draw(t, "share")
	edit := newEdit(sim.edits, 0, share)
	sim.edits++
	edit.Reset = sim.end() + rapid.SampledFrom([]uint64{0, 0, 1}).Draw(t, "missed")
	sim.appendEdit(edit, share)
}

func (sim *simulation) appendEdit(edit operator.Edit, share int) {
	sim.records = append(sim.records, appendedRecord{body: mustEncode(edit), edit: &edit, share: share, valid: share > 0})
}

// appendCopy appends a copy of an earlier edit, sometimes with another base or other
// tables.
func (sim *simulation) appendCopy(t *rapid.T) {
	if sim.edits == 0 {
		t.Skip("no edit")
	}
	share := rapid.IntRange(0, 9).Draw(t, "share")
	base := sim.randomReader(t).State().Revision()
	id := rapid.IntRange(0, sim.edits-1).Draw(t, "edit")
	for _, s := range sim.records {
		if s.edit == nil || s.edit.ID != newID(id) {
			continue
		}
		if rapid.Bool().Draw(t, "same") {
			sim.records = append(sim.records, s)
			return
		}
	}
	sim.appendEdit(newEdit(id, base, share), share)
}

// prepareSnapshot makes a snapshot to be appended later.
func (sim *simulation) prepareSnapshot(t *rapid.T) {
	r := sim.randomReader(t)
	if r.Gap() {
		t.Skip("gap")
	}
	sim.preparedSnapshots = append(sim.preparedSnapshots, r.State().Snapshot())
}

// appendPreparedSnapshot appends a prepared snapshot, which may be stale and may be
// appended more than once.
func (sim *simulation) appendPreparedSnapshot(t *rapid.T) {
	if len(sim.preparedSnapshots) == 0 {
		t.Skip("no prepared snapshot")
	}
	body := rapid.SampledFrom(sim.preparedSnapshots).Draw(t, "snapshot")
	sim.records = append(sim.records, appendedRecord{body: body})
}

// expireRecords makes the log drop a random number of its oldest records.
func (sim *simulation) expireRecords(t *rapid.T) {
	sim.first = rapid.Uint64Range(sim.first, sim.end()).Draw(t, "first")
}

// restartReader replaces a random reader by one that has read nothing.
func (sim *simulation) restartReader(t *rapid.T) {
	i := rapid.IntRange(0, len(sim.readers)-1).Draw(t, "index")
	sim.readers[i] = &simulatedReader{Reader: operator.NewReader()}
}

// adoptPeerSnapshot makes a reader adopt the snapshot of another one.
func (sim *simulation) adoptPeerSnapshot(t *rapid.T) {
	r, peer := sim.randomReader(t), sim.randomReader(t)
	ahead := peer.State().Offset() > r.State().Offset()
	if err := r.Adopt(peer.State().Snapshot()); (err == nil) != ahead {
		t.Fatalf("adopt: ahead %t, error %v", ahead, err)
	}
}

// readPage reads a page for a random reader, and delivers or delays it.
func (sim *simulation) readPage(t *rapid.T) {
	r := sim.randomReader(t)
	page := sim.page(r.Next(), rapid.IntRange(1, 6).Draw(t, "limit"))
	if rapid.IntRange(0, 4).Draw(t, "late") == 0 {
		sim.delayed = append(sim.delayed, delayedPage{reader: r, page: page})
		return
	}
	sim.deliver(t, r, page, false)
}

// deliverDelayedPage delivers a page that was read earlier.
func (sim *simulation) deliverDelayedPage(t *rapid.T) {
	if len(sim.delayed) == 0 {
		t.Skip("no delayed page")
	}
	l := rapid.SampledFrom(sim.delayed).Draw(t, "page")
	sim.deliver(t, l.reader, l.page, true)
}

// deliver applies a page to a reader and compares the decisions with those of the
// reference. Only a delayed page, read before an Adopt, may fail to follow the
// reader's offset.
func (sim *simulation) deliver(t *rapid.T, r *simulatedReader, page operator.Page, late bool) {
	decisions, err := r.ApplyPage(page)
	var pageErr *operator.PageError
	if err != nil && !(late && errors.As(err, &pageErr)) {
		t.Fatalf("late %t: %v", late, err)
	}
	for i, d := range decisions {
		// The decisions are on the last records up to the reader's offset.
		offset := r.State().Offset() - uint64(len(decisions)-i-1)
		_, outcome, revision := referenceAt(sim.records, offset)
		if d.Outcome != outcome || d.Revision != revision || max(d.Offset, d.CopyOffset) != offset {
			t.Fatalf("offset %d: %+v; want %s, revision %d", offset, d, outcome, revision)
		}
	}
}

// checkReaders compares every reader with the reference at the reader's offset. It also
// checks that no reader's offset or revision has decreased.
func (sim *simulation) checkReaders(t *rapid.T) {
	for _, r := range sim.readers {
		state := r.State()
		if state.Offset() < r.offset || state.Revision() < r.revision {
			t.Fatalf("offset %d, revision %d after offset %d, revision %d", state.Offset(), state.Revision(), r.offset, r.revision)
		}
		r.offset, r.revision = state.Offset(), state.Revision()
		ref, _, _ := referenceAt(sim.records, state.Offset())
		got := fmt.Sprint(state.Revision(), state.Author(), shareOf(state.Tables()), state.Mismatches())
		if want := fmt.Sprint(ref.revision, ref.author, ref.share, 0); got != want {
			t.Fatalf("offset %d: %s, want %s", state.Offset(), got, want)
		}
	}
}

// shareOf returns the share of the first route, or 0 if t is nil.
func shareOf(t *operator.Tables) int {
	if t == nil {
		return 0
	}
	return t.Routes[0].Share
}

// readToEnd reads the log for r until a page has no records.
func (sim *simulation) readToEnd(t *rapid.T, r *simulatedReader) {
	for {
		page := sim.page(r.Next(), 3)
		sim.deliver(t, r, page, false)
		if len(page.Records) == 0 {
			return
		}
	}
}

// checkNewReader checks that a new reader reaches the end of a log from which all
// records but a snapshot have expired.
func (sim *simulation) checkNewReader(t *rapid.T) {
	for _, r := range sim.readers {
		sim.readToEnd(t, r)
		if r.Gap() {
			continue
		}
		sim.records = append(sim.records, appendedRecord{body: r.State().Snapshot()})
		sim.first = sim.end() - 1
		fresh := &simulatedReader{Reader: operator.NewReader()}
		sim.readers = append(sim.readers, fresh)
		sim.readToEnd(t, fresh)
		if fresh.Gap() || fresh.Next() != sim.end() {
			t.Fatalf("a new reader stopped at offset %d of %d", fresh.State().Offset(), sim.end()-1)
		}
		sim.checkReaders(t)
		return
	}
}
