package main

import (
	"runtime"

	"github.com/amaranthwell/amaranthwell/operator"
)

// tablesRoutes and tablesWorkers are the sizes that stay while the other grows.
const (
	tablesRoutes  = 16
	tablesWorkers = 100
	// appliedEdits is the number of edits that follow each other in a trial.
	appliedEdits = 8
)

func tablesByWorkers() []slope {
	return tablesBy("worker", workerSizes, func(n int) *operator.Tables { return newTables(n, tablesRoutes) })
}

// tablesByRoutes stops at the largest number of routes that the tables take.
func tablesByRoutes() []slope {
	sizes := []int{1, 16, 65, 130, operator.MaxRoutes}
	return tablesBy("route", sizes, func(n int) *operator.Tables { return newTables(tablesWorkers, n) })
}

// tablesBy measures an edit and a snapshot of tables of each size.
func tablesBy(by string, sizes []int, tables func(int) *operator.Tables) []slope {
	edit := slope{Name: "edit-bytes-by-" + by + "s", What: "operator.Edit.Encode: an edit's record in the log", Unit: "bytes", By: by}
	apply := slope{Name: "edit-apply-by-" + by + "s", What: "operator.History.Apply of an accepted edit", Unit: "ns", By: by}
	bytes := slope{Name: "snapshot-bytes-by-" + by + "s", What: "operator.History.Snapshot after one edit", Unit: "bytes", By: by}
	encode := slope{Name: "snapshot-encode-by-" + by + "s", What: "operator.History.Snapshot", Unit: "ns", By: by}
	adopt := slope{Name: "snapshot-adopt-by-" + by + "s", What: "operator.History.Adopt", Unit: "ns", By: by}
	memory := slope{Name: "history-memory-by-" + by + "s", What: "heap of an operator.History after one edit", Unit: "bytes", By: by}
	for _, n := range sizes {
		t := tables(n)
		edits := make([][]byte, appliedEdits)
		for base := range edits {
			edits[base] = newEdit(t, uint64(base))
		}
		edit.add(n, float64(len(edits[0])))
		apply.add(n, nanosOf(func() { replay(edits) })/appliedEdits)
		snapshot := replay(edits[:1]).Snapshot()
		bytes.add(n, float64(len(snapshot)))
		h := replay(edits[:1])
		encode.add(n, nanosOf(func() { h.Snapshot() }))
		adopt.add(n, nanosOf(func() {
			if err := operator.NewState().Adopt(snapshot); err != nil {
				panic(err)
			}
		}))
		memory.add(n, heapOf(func() *operator.State { return replay(edits[:1]) }))
		runtime.KeepAlive(edits)
		runtime.KeepAlive(snapshot)
	}
	return []slope{edit, apply, bytes, encode, adopt, memory}
}

// replay applies records to a new history. Each is to be accepted.
func replay(records [][]byte) *operator.State {
	h := operator.NewState()
	for at, body := range records {
		v, err := h.Apply(uint64(at+1), body)
		if err != nil || v.Outcome != operator.Accepted {
			panic(v.Detail)
		}
	}
	return h
}

// historyByEdits measures what a day's edits leave behind.
func historyByEdits() []slope {
	bytes := slope{Name: "snapshot-bytes-by-edits", What: "operator.History.Snapshot of small tables after edits, up to the MaxRecentEdits that are kept", Unit: "bytes", By: "edit"}
	memory := slope{Name: "history-memory-by-edits", What: "heap of an operator.History of small tables after edits", Unit: "bytes", By: "edit"}
	apply := slope{Name: "edit-apply-by-edits", What: "operator.History.Apply of small tables, mean over the edits before", Unit: "ns", By: "edit"}
	t := newTables(1, 1)
	for _, n := range []int{1, 64, 128, operator.MaxRecentEdits} {
		edits := make([][]byte, n)
		for base := range edits {
			edits[base] = newEdit(t, uint64(base))
		}
		bytes.add(n, float64(len(replay(edits).Snapshot())))
		memory.add(n, heapOf(func() *operator.State { return replay(edits) }))
		runtime.KeepAlive(edits)
		apply.add(n, nanosOf(func() { replay(edits) })/float64(n))
	}
	return []slope{bytes, memory, apply}
}

// replayByRecords measures a start that reads edits of the whole fleet's tables.
func replayByRecords() []slope {
	s := slope{Name: "replay-by-records", What: "operator.History.Apply of records of 1,700 workers and 256 routes in a row", Unit: "ns", By: "record"}
	t := newTables(fleetWorkers, operator.MaxRoutes)
	edits := make([][]byte, 54)
	for base := range edits {
		edits[base] = newEdit(t, uint64(base))
	}
	for _, n := range []int{1, 9, 27, len(edits)} {
		s.add(n, nanosOf(func() { replay(edits[:n]) }))
	}
	return []slope{s}
}
