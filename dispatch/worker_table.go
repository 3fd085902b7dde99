package dispatch

import "slices"

// table is the worker table. It keeps the revision of the last change of each entry,
// so that a peer is sent only the entries that it lacks.
type table struct {
	entries  map[string]*tableEntry
	revision uint64
}

type tableEntry struct {
	worker   Worker
	gone     bool
	revision uint64
}

func newTable() *table { return &table{entries: make(map[string]*tableEntry)} }

// set sets the entry of w and reports whether it changed.
func (t *table) set(w Worker) bool {
	e := t.entries[w.ID]
	if e != nil && !e.gone && e.worker.equal(w) {
		return false
	}
	t.revision++
	t.entries[w.ID] = &tableEntry{worker: w, revision: t.revision}
	return true
}

// remove removes a worker and reports whether it was listed.
func (t *table) remove(id string) bool {
	e := t.entries[id]
	if e == nil || e.gone {
		return false
	}
	t.revision++
	e.gone, e.revision = true, t.revision
	return true
}

// ids returns the IDs of the listed workers, in order.
func (t *table) ids() []string {
	var ids []string
	for id, e := range t.entries {
		if !e.gone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// changedSince returns the entries that changed after revision, the oldest first.
func (t *table) changedSince(revision uint64) []*tableEntry {
	var changed []*tableEntry
	if revision >= t.revision {
		return nil
	}
	for _, e := range t.entries {
		if e.revision > revision {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *tableEntry) int { return int(a.revision) - int(b.revision) })
	return changed
}
