package operator

import (
	"fmt"
	"strings"
)

// maxNamesShown is the largest number of names that a summary lists for each
// table and kind of change.
const maxNamesShown = 4

// RowChanges names the rows of one table that differ between two Tables.
type RowChanges struct {
	Added, Changed, Removed []string
}

// Changes names the rows that differ between two Tables.
type Changes struct {
	// Routes and Pools hold names, Servers holds addresses, and DrainedZones
	// holds pools with zones, as "pool/zone". A pool is listed only when it is
	// added or removed; its servers and drained zones are listed separately.
	Routes, Pools, Servers, DrainedZones RowChanges
}

// Diff returns what changed from before to after. A nil Tables has no rows.
func Diff(before, after *Tables) Changes {
	var c Changes
	c.Routes = diffRows(routesOf(before), routesOf(after))
	c.Pools = diffRows(poolsOf(before), poolsOf(after))
	c.Servers = diffRows(serversOf(before), serversOf(after))
	c.DrainedZones = diffRows(drainedZonesOf(before), drainedZonesOf(after))
	return c
}

// namedRow is a row that can be compared with ==, and its name. The row is nil if
// only the names are compared.
type namedRow struct {
	name string
	row  any
}

func routesOf(t *Tables) []namedRow {
	var rows []namedRow
	if t == nil {
		return rows
	}
	for _, r := range t.Routes {
		rows = append(rows, namedRow{name: r.Name, row: r})
	}
	return rows
}

func poolsOf(t *Tables) []namedRow {
	var rows []namedRow
	if t == nil {
		return rows
	}
	for _, p := range t.Pools {
		rows = append(rows, namedRow{name: p.Name})
	}
	return rows
}

func serversOf(t *Tables) []namedRow {
	type pooledServer struct {
		pool   string
		server Server
	}
	var rows []namedRow
	if t == nil {
		return rows
	}
	for _, p := range t.Pools {
		for _, s := range p.Servers {
			rows = append(rows, namedRow{name: s.Address.String(), row: pooledServer{p.Name, s}})
		}
	}
	return rows
}

func drainedZonesOf(t *Tables) []namedRow {
	var rows []namedRow
	if t == nil {
		return rows
	}
	for _, p := range t.Pools {
		for _, zone := range p.DrainedZones {
			rows = append(rows, namedRow{name: p.Name + "/" + zone})
		}
	}
	return rows
}

// diffRows returns the names of the rows that are only in after, differ, or are only
// in before.
func diffRows(before, after []namedRow) RowChanges {
	var c RowChanges
	old := make(map[string]any)
	for _, r := range before {
		old[r.name] = r.row
	}
	kept := make(map[string]bool)
	for _, r := range after {
		row, ok := old[r.name]
		switch {
		case !ok:
			c.Added = append(c.Added, r.name)
		case row != r.row:
			c.Changed = append(c.Changed, r.name)
		}
		kept[r.name] = true
	}
	for _, r := range before {
		if !kept[r.name] {
			c.Removed = append(c.Removed, r.name)
		}
	}
	return c
}

// String returns the changes on one line, with "+" before each added row, "~"
// before each changed row and "-" before each removed row. Like the texts of
// problems, this text must stay the same in all versions of the program, because
// State.Digest covers it.
func (c Changes) String() string {
	var parts []string
	for _, table := range []struct {
		name string
		rows RowChanges
	}{{"routes", c.Routes}, {"pools", c.Pools}, {"servers", c.Servers}, {"drained-zones", c.DrainedZones}} {
		if text := table.rows.String(); text != "" {
			parts = append(parts, table.name+" "+text)
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, "; ")
}

// String returns the changes of one table's rows, or "" if there is none.
func (c RowChanges) String() string {
	var parts []string
	for _, list := range []struct {
		sign  string
		names []string
	}{{"+", c.Added}, {"~", c.Changed}, {"-", c.Removed}} {
		if len(list.names) > 0 {
			parts = append(parts, summarize(list.sign, list.names))
		}
	}
	return strings.Join(parts, " ")
}

// summarize returns the first maxNamesShown names, each after sign, and the number of
// the other names.
func summarize(sign string, names []string) string {
	shown := names[:min(len(names), maxNamesShown)]
	text := sign + strings.Join(shown, " "+sign)
	if more := len(names) - len(shown); more > 0 {
		text += fmt.Sprintf(" and %s%d more", sign, more)
	}
	return text
}
