package dispatch

import "slices"

// table is the worker table. It keeps the revision of the last change of each entry,
// so that a peer is sent only the entries that it lacks. Entries of one worker arrive from
// several sources in any order; the one with the highest version counts.
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

// set lists w. It returns the latest known entry of the worker, which is not w if a later
// one is known, and whether the table has changed.
func (t *table) set(w Worker) (latest Worker, changed bool) {
	e := t.entries[w.ID]
	if e != nil && w.Version < e.worker.Version {
		w = e.worker
	}
	if e != nil && !e.gone && e.worker.equal(w) {
		e.worker.Version = w.Version
		return w, false
	}
	t.revision++
	t.entries[w.ID] = &tableEntry{worker: w, revision: t.revision}
	return w, true
}

// lacks reports whether version is later than that of the known entry of a worker, if any.
func (t *table) lacks(id string, version int64) bool {
	e := t.entries[id]
	return version > 0 && (e == nil || version > e.worker.Version)
}

// remove removes a worker, unless an entry later than version is known. It reports
// whether the worker was listed.
func (t *table) remove(id string, version int64) bool {
	e := t.entries[id]
	if e == nil || e.gone || version < e.worker.Version {
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
