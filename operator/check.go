package operator

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"time"
)

// namePattern matches a name in kebab case.
var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// located is a row with its file, table and position.
type located[T any] struct {
	file  string
	table string
	// number is the position among the file's rows of the table, from 1.
	number int
	row    T
}

// locatedRows holds the rows of one or more files.
type locatedRows struct {
	routes []located[routeRow]
	pools  []located[poolRow]
}

// locateRows returns the rows of the document d, which was read from file.
func locateRows(file string, d document) locatedRows {
	return locatedRows{
		routes: locateEach(file, "routes", d.Routes),
		pools:  locateEach(file, "pools", d.Pools),
	}
}

func locateEach[T any](file, table string, rows []T) []located[T] {
	var out []located[T]
	for i, row := range rows {
		out = append(out, located[T]{file: file, table: table, number: i + 1, row: row})
	}
	return out
}

func (r locatedRows) append(more locatedRows) locatedRows {
	return locatedRows{
		routes: append(r.routes, more.routes...),
		pools:  append(r.pools, more.pools...),
	}
}

// checker collects the problems of rows.
//
// The texts of problems must stay the same in all versions of the program, because
// State.Digest covers the problems of refused edits. If a text changed, instances
// of different versions would report each other's snapshots as mismatching.
type checker struct {
	problems []Problem
	// partial is set when a file could not be decoded. Missing rows and
	// unknown pools are then not reported.
	partial bool
}

// location names a row in problems.
type location struct {
	file, row string
}

// locationOf returns the location of a row by its name, or by its number if the name
// is invalid.
func locationOf(file, table string, number int, name string) location {
	if nameProblem(name) != "" {
		return location{file: file, row: fmt.Sprintf("%s[%d]", table, number)}
	}
	return location{file: file, row: table + "." + name}
}

// addProblem adds a problem of the value of key in the row at p, or of the whole row if
// key is empty.
func (c *checker) addProblem(loc location, key, format string, args ...any) {
	if key != "" {
		key = loc.row + "." + key
	} else {
		key = loc.row
	}
	c.problems = append(c.problems, Problem{File: loc.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// checkRange adds a problem to c unless value is in [low, high].
func checkRange[T cmp.Ordered](c *checker, loc location, key string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	c.addProblem(loc, key, "%v is not in [%v, %v]", value, low, high)
}

// checkName adds a problem if name is not a valid name.
func (c *checker) checkName(loc location, key, name string) {
	if reason := nameProblem(name); reason != "" {
		c.addProblem(loc, key, "%s", reason)
	}
}

// nameProblem returns the reason why name is invalid, or "" if it is valid.
func nameProblem(name string) string {
	if name == "" {
		return "missing"
	}
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("longer than %d bytes", MaxNameBytes)
	}
	if !namePattern.MatchString(name) {
		return fmt.Sprintf("%q is not in kebab case", name)
	}
	return ""
}

// checkDocument returns the tables of d, or a *CheckError if d has problems.
func checkDocument(d document) (*Tables, error) {
	c := &checker{}
	return c.tables(locateRows("", d))
}

// tables returns the tables of rows, or a *CheckError with the problems found
// so far and those of rows.
func (c *checker) tables(rows locatedRows) (*Tables, error) {
	t := &Tables{}
	pools := c.pools(rows.pools, t)
	c.routes(rows.routes, pools, t)
	if len(c.problems) > 0 {
		return nil, &CheckError{Problems: c.problems}
	}
	slices.SortFunc(t.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return t, nil
}

// routes checks the routes and adds them to t. The keys of pools are the names of the
// pools that exist.
func (c *checker) routes(rows []located[routeRow], pools map[string]bool, t *Tables) {
	if len(rows) == 0 && !c.partial {
		c.addProblem(location{row: "routes"}, "", "no route")
	}
	if len(rows) > MaxRoutes {
		c.addProblem(location{row: "routes"}, "", "%d routes are more than %d", len(rows), MaxRoutes)
	}
	seen := make(map[string]bool)
	for _, r := range rows {
		loc := locationOf(r.file, r.table, r.number, r.row.Name)
		c.checkName(loc, "name", r.row.Name)
		if seen[r.row.Name] && r.row.Name != "" {
			c.addProblem(loc, "name", "a second route of this name")
		}
		seen[r.row.Name] = true
		if r.row.Pool == "" {
			c.addProblem(loc, "pool", "missing")
		} else if !pools[r.row.Pool] && !c.partial {
			c.addProblem(loc, "pool", "no pool is named %q", r.row.Pool)
		}
		t.Routes = append(t.Routes, c.route(loc, r.row))
	}
}

func (c *checker) route(loc location, row routeRow) Route {
	checkRange(c, loc, "urgency", row.Urgency, 0, MaxUrgency)
	checkRange(c, loc, "share", row.Share, 1, MaxShare)
	checkRange(c, loc, "memory-mib", row.MemoryMiB, 0, MaxMemoryMiB)
	if math.Signbit(row.Cores) {
		c.addProblem(loc, "cores", "%v is below 0", row.Cores)
	} else {
		checkRange(c, loc, "cores", row.Cores, 0, MaxCores)
	}
	return Route{
		Name:       row.Name,
		Pool:       row.Pool,
		Urgency:    row.Urgency,
		Share:      row.Share,
		Idempotent: row.Idempotent,
		Timeout:    c.timeout(loc, row.Timeout),
		Cores:      row.Cores,
		MemoryMiB:  row.MemoryMiB,
	}
}

// timeout parses a route's timeout. It adds a problem if text is missing, malformed or
// out of range.
func (c *checker) timeout(loc location, text string) time.Duration {
	if text == "" {
		c.addProblem(loc, "timeout", "missing")
		return 0
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		c.addProblem(loc, "timeout", "%q is not a duration such as \"5s\"", text)
		return 0
	}
	checkRange(c, loc, "timeout", timeout, time.Millisecond, MaxTimeout)
	return timeout
}

// pools checks the pools and adds them to t. The keys of the returned map are their
// names.
func (c *checker) pools(rows []located[poolRow], t *Tables) map[string]bool {
	if len(rows) > MaxPools {
		c.addProblem(location{row: "pools"}, "", "%d pools are more than %d", len(rows), MaxPools)
	}
	names := make(map[string]bool)
	addresses := make(map[netip.AddrPort]string)
	for _, r := range rows {
		loc := locationOf(r.file, r.table, r.number, r.row.Name)
		c.checkName(loc, "name", r.row.Name)
		if names[r.row.Name] && r.row.Name != "" {
			c.addProblem(loc, "name", "a second pool of this name")
		}
		names[r.row.Name] = true
		if len(r.row.Servers) == 0 {
			c.addProblem(loc, "servers", "no server")
		}
		t.Pools = append(t.Pools, Pool{
			Name:         r.row.Name,
			Servers:      c.servers(loc, r.row.Servers, addresses),
			DrainedZones: c.drainedZones(loc, r.row),
		})
	}
	if len(addresses) > MaxServers {
		c.addProblem(location{row: "pools"}, "", "%d servers are more than %d", len(addresses), MaxServers)
	}
	return names
}

// drainedZones checks the drained zones of a pool: each is the zone of a server of the
// pool, and is listed once.
func (c *checker) drainedZones(loc location, row poolRow) []string {
	zones := slices.Sorted(slices.Values(row.DrainedZones))
	for i, zone := range zones {
		switch {
		case i > 0 && zones[i-1] == zone:
			c.addProblem(loc, "drained-zones", "%q is listed twice", zone)
		case !slices.ContainsFunc(row.Servers, func(s serverRow) bool { return s.Zone == zone }):
			c.addProblem(loc, "drained-zones", "no server of the pool is in zone %q", zone)
		}
	}
	return zones
}

// servers checks the servers of one pool. It adds each new address to addresses,
// which maps an address to its first row over all pools.
func (c *checker) servers(pool location, rows []serverRow, addresses map[netip.AddrPort]string) []Server {
	var servers []Server
	for i, row := range rows {
		loc := location{file: pool.file, row: fmt.Sprintf("%s.servers[%d]", pool.row, i+1)}
		s := c.server(loc, row)
		if first, ok := addresses[s.Address]; ok && s.Address.IsValid() {
			c.addProblem(loc, "address", "%v stands at %s too", s.Address, first)
		} else if s.Address.IsValid() {
			addresses[s.Address] = loc.row
		}
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b Server) int { return a.Address.Compare(b.Address) })
	return servers
}

func (c *checker) server(loc location, row serverRow) Server {
	c.checkName(loc, "zone", row.Zone)
	c.checkName(loc, "rack", row.Rack)
	checkRange(c, loc, "slots", row.Slots, 1, MaxSlots)
	checkRange(c, loc, "connections", row.Connections, 1, MaxConnections)
	checkRange(c, loc, "cores", row.Cores, 1, MaxCores)
	checkRange(c, loc, "memory-mib", row.MemoryMiB, 1, MaxMemoryMiB)
	return Server{
		Address:     c.address(loc, "address", row.Address),
		Zone:        row.Zone,
		Rack:        row.Rack,
		Slots:       row.Slots,
		Connections: row.Connections,
		Cores:       row.Cores,
		MemoryMiB:   row.MemoryMiB,
	}
}

// address parses text. It adds a problem and returns the zero AddrPort if text
// is not the unicast address and port of one server.
func (c *checker) address(loc location, key, text string) netip.AddrPort {
	if text == "" {
		c.addProblem(loc, key, "missing")
		return netip.AddrPort{}
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		c.addProblem(loc, key, "%q is not an IP address and port", text)
		return netip.AddrPort{}
	}
	addr := parsed.Addr().Unmap()
	if addr.IsUnspecified() || addr.IsMulticast() || parsed.Port() == 0 {
		c.addProblem(loc, key, "%q is not the address of one server", text)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr, parsed.Port())
}
