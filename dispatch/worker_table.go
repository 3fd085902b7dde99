package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// table is the worker table. It keeps the revision of the last change of each entry,
// so that a peer is sent only the entries that it lacks. Entries of one worker arrive from
// several sources in any order; the one with the highest version counts.
type table struct {
	entries  map[string]*tableEntry
	revision uint64
	// newest is the newest revision of the entries of each zone.
	newest map[string]uint64
}

type tableEntry struct {
	worker   Worker
	gone     bool
	revision uint64
}

func newTable() *table {
	return &table{entries: make(map[string]*tableEntry), newest: make(map[string]uint64)}
}

// advance gives an entry a new revision.
func (t *table) advance(e *tableEntry) {
	t.revision++
	e.revision = t.revision
	t.newest[e.worker.Zone] = t.revision
}

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
	e = &tableEntry{worker: w}
	t.entries[w.ID] = e
	t.advance(e)
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
	e.gone = true
	t.advance(e)
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

// newestOf returns the newest revision of the entries of zones.
func (t *table) newestOf(zones []string) uint64 {
	var newest uint64
	for _, zone := range zones {
		newest = max(newest, t.newest[zone])
	}
	return newest
}

// renew gives the entries of zone new revisions, so that they are sent to all peers.
func (t *table) renew(zone string) {
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[id]; e.worker.Zone == zone {
			t.advance(e)
		}
	}
}

// changedSince returns the entries of zones that changed after revision, the oldest first.
func (t *table) changedSince(revision uint64, zones []string) []*tableEntry {
	var changed []*tableEntry
	if revision >= t.newestOf(zones) {
		return nil
	}
	for _, e := range t.entries {
		if e.revision > revision && slices.Contains(zones, e.worker.Zone) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *tableEntry) int { return cmp.Compare(a.revision, b.revision) })
	return changed
}
