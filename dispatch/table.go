package dispatch

import "slices"

// table is the worker table with the revision of each entry's last change, so
// that a peer can be sent what it lacks.
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

// set reports whether w is new or says something new.
func (t *table) set(w Worker) bool {
	e := t.entries[w.ID]
	if e != nil && !e.gone && e.worker.same(w) {
		return false
	}
	t.revision++
	t.entries[w.ID] = &tableEntry{worker: w, revision: t.revision}
	return true
}

// remove reports whether the worker was listed.
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

// since returns the entries that changed after revision, the oldest first.
func (t *table) since(revision uint64) []*tableEntry {
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
