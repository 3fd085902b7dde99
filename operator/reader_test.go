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
	// The log keeps its records from offset 8 on.
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

// TestReadersAgree runs readers through random schedules of concurrent edits,
// copies, stale snapshots, expiry, delayed pages and restarts. Each reader must
// agree with the reference on every decision and at every offset.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3)
		t.Repeat(map[string]func(*rapid.T){
			"":         sim.checkReaders,
			"edit":     sim.appendRandomEdit,
			"again":    sim.appendCopy,
			"reset":    sim.appendReset,
			"pause":    sim.prepareSnapshot,
			"resume":   sim.appendPreparedSnapshot,
			"expire":   sim.expireRecords,
			"restart":  sim.restartReader,
			"adopt":    sim.adoptPeerSnapshot,
			"read":     sim.readPage,
			"read-2":   sim.readPage,
			"readLate": sim.deliverDelayedPage,
		})
		sim.checkNewReader(t)
	})
}

// TestReaderWaitsForSnapshot checks that a reader with a gap does not adopt a stale
// snapshot if the record after the snapshot's offset has expired.
func TestReaderWaitsForSnapshot(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	state := operator.NewState()
	var stale []byte
	for i := range 4 {
		edit := newEdit(i, uint64(i), i+1)
		sim.appendEdit(edit, i+1)
		apply(is, state, mustEncode(edit))
		if i == 1 {
			stale = state.Snapshot()
		}
	}
	ahead := operator.NewState()
	for range 6 {
		apply(is, ahead, nil)
	}
	sim.records = append(sim.records, appendedRecord{body: stale}, appendedRecord{body: ahead.Snapshot()}) // At offsets 5 and 6.
	sim.first = 4                                                                                          // Record 3, which follows the stale snapshot's offset 2, has expired.
	r := sim.readers[0]
	_, err := r.ApplyPage(sim.page(r.Next(), 9))
	is.NoErr(err)
	is.True(r.Gap())
	is.Equal(r.State().Offset(), uint64(0))
	is.Equal(r.Next(), sim.end())
	_, err = r.ApplyPage(operator.Page{First: 1, Next: 1}) // A delayed page from before the expiry.
	is.NoErr(err)
	is.True(r.Gap())

	sim.records = append(sim.records, appendedRecord{body: state.Snapshot()})
	_, err = r.ApplyPage(sim.page(r.Next(), 9))
	is.NoErr(err)
	is.True(!r.Gap())
	is.Equal(r.State().Offset(), uint64(4))
	is.Equal(r.Next(), uint64(5))
}

// TestReaderSearchReportsMissingRecord checks that a page with a missing record
// is not searched for a snapshot after it.
func TestReaderSearchReportsMissingRecord(t *testing.T) {
	is := is.New(t)
	state := operator.NewState()
	for range 6 {
		apply(is, state, nil)
	}
	r := operator.NewReader()
	_, err := r.ApplyPage(operator.Page{First: 5, Next: 8, Records: []operator.Record{{Offset: 7, Body: state.Snapshot()}}})
	var pageErr *operator.PageError
	is.True(errors.As(err, &pageErr))
	is.True(r.Gap())
	is.Equal(r.Next(), uint64(5))
}

// TestReaderReportsLostRecords checks that a page that does not follow the reader's
// offset is reported as an error and leaves the configuration unchanged.
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
			is.Equal(r.Current().Revision, uint64(1)) // The configuration is unchanged.
			is.Equal(r.Gap(), false)
			is.Equal(r.Next(), uint64(2))
		})
	}
}
