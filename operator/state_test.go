package operator_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

func ExampleState() {
	state := operator.NewState()
	for i, edit := range []operator.Edit{newEdit(1, 0, 1), newEdit(2, 0, 2), newEdit(3, 1, 3)} {
		decision, err := state.Apply(uint64(i+1), mustEncode(edit))
		fmt.Println(decision.Outcome, decision.Reason, decision.Revision, decision.RevisionAuthor, err)
	}
	// Output:
	// accepted  1 author-1 <nil>
	// refused stale-base 1 author-1 <nil>
	// accepted  2 author-3 <nil>
}

// apply applies the next record and returns its decision.
func apply(is *is.I, state *operator.State, body []byte) operator.Decision {
	is.Helper()
	d, err := state.Apply(state.Offset()+1, body)
	is.NoErr(err)
	return d
}

// TestStateRefusesWithoutEffect checks that each invalid record is refused for the right
// reason and changes neither the tables nor the revision.
func TestStateRefusesWithoutEffect(t *testing.T) {
	invalid := newEdit(9, 1, 0) // A share of 0 is out of range.
	future := newEdit(9, 2, 2)
	reused := newEdit(1, 1, 7)
	good := string(mustEncode(newEdit(9, 1, 2)))
	replace := func(old, with string) []byte {
		return bytes.ReplaceAll([]byte(good), []byte(old), []byte(with))
	}
	ahead := operator.NewState()
	for i := range 2 {
		apply(is.New(t), ahead, mustEncode(newEdit(i, uint64(i), 1)))
	}
	tests := []struct {
		name string
		body []byte
		want operator.Reason
	}{
		{"invalid tables", mustEncode(invalid), operator.InvalidTables},
		{"unknown base", mustEncode(future), operator.UnknownBase},
		{"reused id", mustEncode(reused), operator.ReusedID},
		{"empty", nil, operator.Malformed},
		{"null", []byte("null"), operator.Malformed},
		{"other kind", []byte(`{"kind":"other"}`), operator.Malformed},
		{"no author", replace("author-9", ""), operator.Malformed},
		{"unknown key", replace(`"base"`, `"bass"`), operator.Malformed},
		{"trailing data", []byte(good + "{}"), operator.Malformed},
		{"truncated", []byte(good[:len(good)-1]), operator.Malformed},
		{"year 10000", replace("2026-12-04T09:00:09Z", "9999-12-31T23:59:59-01:00"), operator.Malformed},
		{"too large", bytes.Repeat([]byte(" "), operator.MaxSnapshotBytes+1), operator.Malformed},
		{"snapshot of its own offset", ahead.Snapshot(), operator.Malformed},
		{"malformed snapshot", []byte(`{"kind":"snapshot","state":{"offset":1,"revision":1}}`), operator.Malformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state := operator.NewState()
			is.Equal(apply(is, state, mustEncode(newEdit(1, 0, 1))).Outcome, operator.Accepted)
			d := apply(is, state, test.body)
			is.Equal(d.Outcome, operator.Refused)
			is.Equal(d.Reason, test.want)
			is.Equal(d.Revision, uint64(1))
			is.Equal(state.Tables(), newTables(1))
			is.Equal(apply(is, state, mustEncode(newEdit(2, 1, 3))).Revision, uint64(2)) // The state still accepts later edits.
		})
	}
}

// TestStateNeedsNextRecord checks that a record is not applied before the one that
// precedes it in the log.
func TestStateNeedsNextRecord(t *testing.T) {
	is := is.New(t)
	state := operator.NewState()
	_, err := state.Apply(2, mustEncode(newEdit(1, 0, 1)))
	var offset *operator.OffsetError
	is.True(errors.As(err, &offset))
	is.Equal(*offset, operator.OffsetError{Offset: 2, Want: 1})
	is.Equal(state.Revision(), uint64(0))
}

// TestStateDropsOldDecisions checks the limit MaxRecentEdits: once the decision
// on an edit has been dropped, a late copy of the edit is refused and has no effect.
func TestStateDropsOldDecisions(t *testing.T) {
	is := is.New(t)
	state := operator.NewState()
	for i := range operator.MaxRecentEdits {
		apply(is, state, mustEncode(newEdit(i, uint64(i), i%100+1)))
	}
	first := mustEncode(newEdit(0, 0, 1))
	is.Equal(apply(is, state, first).Outcome, operator.Accepted)
	is.Equal(state.Revision(), uint64(operator.MaxRecentEdits))

	apply(is, state, mustEncode(newEdit(operator.MaxRecentEdits, operator.MaxRecentEdits, 1)))
	d := apply(is, state, first)
	is.Equal(d.Reason, operator.StaleBase)
	is.Equal(state.Revision(), uint64(operator.MaxRecentEdits+1))
	is.Equal(len(state.RecentDecisions()), operator.MaxRecentEdits)
}

// TestStateCountsMismatch checks that a snapshot in the log that differs from the state
// is counted and not adopted.
func TestStateCountsMismatch(t *testing.T) {
	is := is.New(t)
	other := operator.NewState()
	apply(is, other, mustEncode(newEdit(5, 0, 5)))
	state := operator.NewState()
	apply(is, state, mustEncode(newEdit(1, 0, 1)))
	d := apply(is, state, other.Snapshot())
	is.True(d.Mismatch)
	is.Equal(state.Mismatches(), uint64(1))
	is.Equal(state.Author(), "author-1") // The state has not adopted the snapshot.
	d = apply(is, state, state.Snapshot())
	is.True(!d.Mismatch)
	is.Equal(d.SnapshotOffset, uint64(2))
}

// TestLargestTablesFit checks that the largest tables and decisions fit into the
// size limits of an edit and a snapshot.
func TestLargestTablesFit(t *testing.T) {
	is := is.New(t)
	name := strings.Repeat("n", operator.MaxNameBytes-4)
	edit := newEdit(0, 0, operator.MaxShare)
	edit.Author = strings.Repeat("<", operator.MaxAuthorBytes) // Six bytes each in JSON.
	route, server := edit.Tables.Routes[0], edit.Tables.Pools[0].Servers[0]
	edit.Tables = &operator.Tables{Pools: []operator.Pool{{Name: name}}}
	route.Pool = name
	for i := range operator.MaxRoutes {
		route.Name = fmt.Sprintf("%s%04d", name, i)
		edit.Tables.Routes = append(edit.Tables.Routes, route)
	}
	server.Zone, server.Rack = name+"zone", name+"rack"
	for i := range operator.MaxServers {
		address := netip.MustParseAddr(fmt.Sprintf("fd00:1111:2222:3333:4444:5555:6666:%x", 0x1000+i))
		server.Address = netip.AddrPortFrom(address, 65535)
		edit.Tables.Pools[0].Servers = append(edit.Tables.Pools[0].Servers, server)
	}
	state := operator.NewState()
	is.Equal(apply(is, state, mustEncode(edit)).Outcome, operator.Accepted)

	edit.Base = 1
	edit.Tables = newTables(1)
	edit.Tables.Routes[0].Pool = strings.Repeat("<", 1000)
	for i := range operator.MaxRecentEdits {
		edit.ID = newID(i + 1)
		is.Equal(apply(is, state, mustEncode(edit)).Reason, operator.InvalidTables)
	}
	is.NoErr(operator.NewState().Adopt(state.Snapshot()))
}
