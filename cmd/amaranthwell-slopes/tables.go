package main

import (
	"runtime"

	"github.com/amaranthwell/amaranthwell/operator"
)

const (
	// fixedRoutes is the number of routes in measurements by another size.
	// fixedWorkers is the number of workers in measurements by the number of
	// routes.
	fixedRoutes  = 16
	fixedWorkers = 100
	// editsPerTrial is the number of consecutive edits that each measured call
	// applies.
	editsPerTrial = 8
)

// tablesByWorkers measures edits and snapshots of tables by the number of workers.
func tablesByWorkers() []slope {
	return tablesBy("worker", workerCounts, func(n int) *operator.Tables { return newTables(n, fixedRoutes) })
}

// tablesByRoutes measures edits and snapshots of tables by the number of routes, up to
// operator.MaxRoutes.
func tablesByRoutes() []slope {
	sizes := []int{1, 16, 65, 130, operator.MaxRoutes}
	return tablesBy("route", sizes, func(n int) *operator.Tables { return newTables(fixedWorkers, n) })
}

// tablesBy measures edits and snapshots of the tables that the function tables returns
// for each size. by says what a size counts.
func tablesBy(by string, sizes []int, tables func(int) *operator.Tables) []slope {
	edit := slope{Name: "edit-bytes-by-" + by + "s", What: "operator.Edit.Encode: an edit's record in the log", Unit: "bytes", By: by}
	apply := slope{Name: "edit-apply-by-" + by + "s", What: "operator.History.Apply of an accepted edit", Unit: "ns", By: by}
	bytes := slope{Name: "snapshot-bytes-by-" + by + "s", What: "operator.History.Snapshot after one edit", Unit: "bytes", By: by}
	encode := slope{Name: "snapshot-encode-by-" + by + "s", What: "operator.History.Snapshot", Unit: "ns", By: by}
	adopt := slope{Name: "snapshot-adopt-by-" + by + "s", What: "operator.History.Adopt", Unit: "ns", By: by}
	memory := slope{Name: "history-memory-by-" + by + "s", What: "heap of an operator.History after one edit", Unit: "bytes", By: by}
	for _, n := range sizes {
		t := tables(n)
		edits := make([][]byte, editsPerTrial)
		for base := range edits {
			edits[base] = encodeEdit(t, uint64(base))
		}
		edit.add(n, float64(len(edits[0])))
		apply.add(n, cpuNanos(func() { replay(edits) })/editsPerTrial)
		snapshot := replay(edits[:1]).Snapshot()
		bytes.add(n, float64(len(snapshot)))
		state := replay(edits[:1])
		encode.add(n, cpuNanos(func() { state.Snapshot() }))
		adopt.add(n, cpuNanos(func() {
			if err := operator.NewState().Adopt(snapshot); err != nil {
				panic(err)
			}
		}))
		memory.add(n, retainedBytes(func() *operator.State { return replay(edits[:1]) }))
		runtime.KeepAlive(edits)
		runtime.KeepAlive(snapshot)
	}
	return []slope{edit, apply, bytes, encode, adopt, memory}
}

// replay applies records, one edit each, to a new operator.State and returns it. It
// panics unless all edits are accepted.
func replay(records [][]byte) *operator.State {
	state := operator.NewState()
	for at, body := range records {
		v, err := state.Apply(uint64(at+1), body)
		if err != nil || v.Outcome != operator.Accepted {
			panic(v.Detail)
		}
	}
	return state
}

// stateByEdits measures the size of an operator.State, and the time to apply an edit to
// it, by the number of edits.
func stateByEdits() []slope {
	bytes := slope{Name: "snapshot-bytes-by-edits", What: "operator.History.Snapshot of small tables after edits, up to the MaxRecentEdits that are kept", Unit: "bytes", By: "edit"}
	memory := slope{Name: "history-memory-by-edits", What: "heap of an operator.History of small tables after edits", Unit: "bytes", By: "edit"}
	apply := slope{Name: "edit-apply-by-edits", What: "operator.History.Apply of small tables, mean over the edits before", Unit: "ns", By: "edit"}
	t := newTables(1, 1)
	for _, n := range []int{1, 64, 128, operator.MaxRecentEdits} {
		edits := make([][]byte, n)
		for base := range edits {
			edits[base] = encodeEdit(t, uint64(base))
		}
		bytes.add(n, float64(len(replay(edits).Snapshot())))
		memory.add(n, retainedBytes(func() *operator.State { return replay(edits) }))
		runtime.KeepAlive(edits)
		apply.add(n, cpuNanos(func() { replay(edits) })/float64(n))
	}
	return []slope{bytes, memory, apply}
}

// replayByRecords measures how long a starting instance takes to apply edits of
// the whole fleet's tables.
func replayByRecords() []slope {
	s := slope{Name: "replay-by-records", What: "operator.History.Apply of records of 1,700 workers and 256 routes in a row", Unit: "ns", By: "record"}
	t := newTables(fleetWorkers, operator.MaxRoutes)
	edits := make([][]byte, 54)
	for base := range edits {
		edits[base] = encodeEdit(t, uint64(base))
	}
	for _, n := range []int{1, 9, 27, len(edits)} {
		s.add(n, cpuNanos(func() { replay(edits[:n]) }))
	}
	return []slope{s}
}
