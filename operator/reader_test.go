package operator_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/operator"
)

func ExampleReader() {
	// A log that keeps its records from offset 8 on.
	page := operator.Page{First: 8, Next: 9, Records: []operator.Record{
		{Offset: 8, Body: mustEncode(newEdit(2, 1, 2))},
	}}
	reader := operator.NewReader()
	_, err := reader.ApplyPage(page)
	fmt.Println(reader.Gap(), reader.Next(), err)

	peer := operator.NewState()
	for offset := uint64(1); offset < 8; offset++ {
		_, _ = peer.Apply(offset, mustEncode(newEdit(1, 0, 1)))
	}
	fmt.Println(reader.Adopt(peer.Snapshot()), reader.Gap(), reader.Next())
	_, err = reader.ApplyPage(page)
	fmt.Println(reader.State().Revision(), err)
	// Output:
	// true 9 <nil>
	// <nil> false 8
	// 2 <nil>
}

// TestReadersAgree drives readers through random schedules of racing edits,
// copies, stale snapshots, expiry, late pages and restarts. Each must agree
// with the naive process on every verdict and at every offset.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"edit":     w.edit,
			"again":    w.again,
			"reset":    w.reset,
			"pause":    w.pause,
			"resume":   w.resume,
			"expire":   w.expire,
			"restart":  w.restart,
			"adopt":    w.adopt,
			"read":     w.read,
			"read-2":   w.read,
			"readLate": w.readLate,
		})
		w.settle(t)
	})
}

// TestReaderWaitsForSnapshot checks that a stale snapshot, behind which a gap
// lies, is not taken.
func TestReaderWaitsForSnapshot(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	history := operator.NewState()
	var stale []byte
	for i := range 4 {
		edit := newEdit(i, uint64(i), i+1)
		w.appendEdit(edit, i+1)
		apply(is, history, mustEncode(edit))
		if i == 1 {
			stale = history.Snapshot()
		}
	}
	ahead := operator.NewState()
	for range 6 {
		apply(is, ahead, nil)
	}
	w.records = append(w.records, sent{body: stale}, sent{body: ahead.Snapshot()}) // At offsets 5 and 6.
	w.first = 4                                                                    // Record 3, which follows the stale snapshot's offset 2, has expired.
	r := w.readers[0]
	_, err := r.ApplyPage(w.page(r.Next(), 9))
	is.NoErr(err)
	is.True(r.Gap())
	is.Equal(r.State().Offset(), uint64(0))
	is.Equal(r.Next(), w.end())
	_, err = r.ApplyPage(operator.Page{First: 1, Next: 1}) // A late page of before the expiry.
	is.NoErr(err)
	is.True(r.Gap())

	w.records = append(w.records, sent{body: history.Snapshot()})
	_, err = r.ApplyPage(w.page(r.Next(), 9))
	is.NoErr(err)
	is.True(!r.Gap())
	is.Equal(r.State().Offset(), uint64(4))
	is.Equal(r.Next(), uint64(5))
}

// TestReaderSearchReportsHole checks that a page which leaves out records is
// not searched for a snapshot behind them.
func TestReaderSearchReportsHole(t *testing.T) {
	is := is.New(t)
	history := operator.NewState()
	for range 6 {
		apply(is, history, nil)
	}
	r := operator.NewReader()
	_, err := r.ApplyPage(operator.Page{First: 5, Next: 8, Records: []operator.Record{{Offset: 7, Body: history.Snapshot()}}})
	var pageErr *operator.PageError
	is.True(errors.As(err, &pageErr))
	is.True(r.Gap())
	is.Equal(r.Next(), uint64(5))
}

func TestReaderReportsLostRecords(t *testing.T) {
	tests := []struct {
		name string
		page operator.Page
	}{
		{"hole", operator.Page{First: 1, Next: 4, Records: []operator.Record{{Offset: 3}}}},
		{"shorter log", operator.Page{First: 1, Next: 1}},
		{"reversed", operator.Page{First: 9, Next: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := operator.NewReader()
			_, err := r.ApplyPage(operator.Page{First: 1, Next: 2, Records: []operator.Record{{Offset: 1, Body: mustEncode(newEdit(1, 0, 1))}}})
			is.NoErr(err)
			_, err = r.ApplyPage(test.page)
			var pageErr *operator.PageError
			is.True(errors.As(err, &pageErr))
			is.Equal(r.Current().Revision, uint64(1)) // What is in force stays.
			is.Equal(r.Gap(), false)
			is.Equal(r.Next(), uint64(2))
		})
	}
}
