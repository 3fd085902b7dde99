package operator_test

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/operator"
)

// world is a log, its readers, and what is under way between them.
type world struct {
	// records holds every record ever appended; the log keeps those from
	// the offset first on.
	records []sent
	first   uint64
	readers []*worldReader
	// paused holds records that were made and not appended yet, late pages
	// that were read and not given to their reader yet.
	paused [][]byte
	late   []latePage
	edits  int
}

type worldReader struct {
	*operator.Reader
	offset, revision uint64
}

type latePage struct {
	reader *worldReader
	page   operator.Page
}

func newWorld(readers int) *world {
	w := &world{first: 1}
	for range readers {
		w.readers = append(w.readers, &worldReader{Reader: operator.NewReader()})
	}
	return w
}

func (w *world) end() uint64 {
	return uint64(len(w.records)) + 1
}

// page returns what the log answers to a read.
func (w *world) page(from uint64, limit int) operator.Page {
	p := operator.Page{First: w.first, Next: max(from, w.first)}
	for p.Next < w.end() && len(p.Records) < limit {
		p.Records = append(p.Records, operator.Record{Offset: p.Next, Body: w.records[p.Next-1].body})
		p.Next++
	}
	return p
}

func (w *world) reader(t *rapid.T) *worldReader {
	return rapid.SampledFrom(w.readers).Draw(t, "reader")
}

// edit appends an edit. Its base is what some reader has, or close to it.
func (w *world) edit(t *rapid.T) {
	base := w.reader(t).State().Revision() + rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "ahead")
	share := rapid.IntRange(0, 9).Draw(t, "share") // A share of 0 is out of range.
	edit := newEdit(w.edits, base, share)
	w.edits++
	w.appendEdit(edit, share)
}

// reset appends a reset that may have missed its offset.
func (w *world) reset(t *rapid.T) {
	share := rapid.IntRange(0, 9).Draw(t, "share")
	edit := newEdit(w.edits, 0, share)
	w.edits++
	edit.Reset = w.end() + rapid.SampledFrom([]uint64{0, 0, 1}).Draw(t, "missed")
	w.appendEdit(edit, share)
}

func (w *world) appendEdit(edit operator.Edit, share int) {
	w.records = append(w.records, sent{body: mustEncode(edit), edit: &edit, share: share, valid: share > 0})
}

// again appends a copy of an earlier edit, at times with another base or other tables.
func (w *world) again(t *rapid.T) {
	if w.edits == 0 {
		t.Skip("no edit")
	}
	share := rapid.IntRange(0, 9).Draw(t, "share")
	base := w.reader(t).State().Revision()
	id := rapid.IntRange(0, w.edits-1).Draw(t, "edit")
	for _, s := range w.records {
		if s.edit == nil || s.edit.ID != newID(id) {
			continue
		}
		if rapid.Bool().Draw(t, "same") {
			w.records = append(w.records, s)
			return
		}
	}
	w.appendEdit(newEdit(id, base, share), share)
}

// pause makes a snapshot, to be appended later.
func (w *world) pause(t *rapid.T) {
	r := w.reader(t)
	if r.Gap() {
		t.Skip("gap")
	}
	w.paused = append(w.paused, r.State().Snapshot())
}

// resume appends a paused snapshot, which may be stale and may come again.
func (w *world) resume(t *rapid.T) {
	if len(w.paused) == 0 {
		t.Skip("none paused")
	}
	body := rapid.SampledFrom(w.paused).Draw(t, "snapshot")
	w.records = append(w.records, sent{body: body})
}

func (w *world) expire(t *rapid.T) {
	w.first = rapid.Uint64Range(w.first, w.end()).Draw(t, "first")
}

func (w *world) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(w.readers)-1).Draw(t, "index")
	w.readers[i] = &worldReader{Reader: operator.NewReader()}
}

// adopt gives a reader the snapshot of a peer.
func (w *world) adopt(t *rapid.T) {
	r, peer := w.reader(t), w.reader(t)
	ahead := peer.State().Offset() > r.State().Offset()
	if err := r.Adopt(peer.State().Snapshot()); (err == nil) != ahead {
		t.Fatalf("adopt: ahead %t, error %v", ahead, err)
	}
}

func (w *world) read(t *rapid.T) {
	r := w.reader(t)
	page := w.page(r.Next(), rapid.IntRange(1, 6).Draw(t, "limit"))
	if rapid.IntRange(0, 4).Draw(t, "late") == 0 {
		w.late = append(w.late, latePage{reader: r, page: page})
		return
	}
	w.give(t, r, page, false)
}

// readLate gives a reader a page that was read before.
func (w *world) readLate(t *rapid.T) {
	if len(w.late) == 0 {
		t.Skip("none late")
	}
	l := rapid.SampledFrom(w.late).Draw(t, "page")
	w.give(t, l.reader, l.page, true)
}

// give gives a reader a page and compares its verdicts with the naive ones. Only
// a late page, of before an Adopt, may not follow the reader's offset.
func (w *world) give(t *rapid.T, r *worldReader, page operator.Page, late bool) {
	verdicts, err := r.ApplyPage(page)
	var pageErr *operator.PageError
	if err != nil && !(late && errors.As(err, &pageErr)) {
		t.Fatalf("late %t: %v", late, err)
	}
	for i, v := range verdicts {
		// The verdicts are of the last records up to the reader's offset.
		offset := r.State().Offset() - uint64(len(verdicts)-i-1)
		_, outcome, revision := naiveAt(w.records, offset)
		if v.Outcome != outcome || v.Revision != revision || max(v.Offset, v.CopyOffset) != offset {
			t.Fatalf("offset %d: %+v; want %s, revision %d", offset, v, outcome, revision)
		}
	}
}

// check compares every reader with the naive process at its offset.
func (w *world) check(t *rapid.T) {
	for _, r := range w.readers {
		h := r.State()
		if h.Offset() < r.offset || h.Revision() < r.revision {
			t.Fatalf("offset %d, revision %d after offset %d, revision %d", h.Offset(), h.Revision(), r.offset, r.revision)
		}
		r.offset, r.revision = h.Offset(), h.Revision()
		n, _, _ := naiveAt(w.records, h.Offset())
		got := fmt.Sprint(h.Revision(), h.Author(), shareOf(h.Tables()), h.Mismatches())
		if want := fmt.Sprint(n.revision, n.author, n.share, 0); got != want {
			t.Fatalf("offset %d: %s, want %s", h.Offset(), got, want)
		}
	}
}

func shareOf(t *operator.Tables) int {
	if t == nil {
		return 0
	}
	return t.Routes[0].Share
}

// readToEnd reads until the reader's next read finds nothing.
func (w *world) readToEnd(t *rapid.T, r *worldReader) {
	for {
		page := w.page(r.Next(), 3)
		w.give(t, r, page, false)
		if len(page.Records) == 0 {
			return
		}
	}
}

// settle checks that a snapshot in the log is enough for a new reader, after
// the records before it have expired.
func (w *world) settle(t *rapid.T) {
	for _, r := range w.readers {
		w.readToEnd(t, r)
		if r.Gap() {
			continue
		}
		w.records = append(w.records, sent{body: r.State().Snapshot()})
		w.first = w.end() - 1
		fresh := &worldReader{Reader: operator.NewReader()}
		w.readers = append(w.readers, fresh)
		w.readToEnd(t, fresh)
		if fresh.Gap() || fresh.Next() != w.end() {
			t.Fatalf("a new reader stays at offset %d of %d", fresh.State().Offset(), w.end()-1)
		}
		w.check(t)
		return
	}
}
