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

// namePattern is the form of a name: kebab case.
var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// placed is a row and the file and number that it stands at.
type placed[T any] struct {
	file  string
	table string
	// number counts the file's rows of the table from 1.
	number int
	row    T
}

type placedRows struct {
	routes []placed[routeRow]
	pools  []placed[poolRow]
}

func placeRows(file string, d document) placedRows {
	return placedRows{
		routes: placeEach(file, "routes", d.Routes),
		pools:  placeEach(file, "pools", d.Pools),
	}
}

func placeEach[T any](file, table string, rows []T) []placed[T] {
	var out []placed[T]
	for i, row := range rows {
		out = append(out, placed[T]{file: file, table: table, number: i + 1, row: row})
	}
	return out
}

func (r placedRows) append(more placedRows) placedRows {
	return placedRows{
		routes: append(r.routes, more.routes...),
		pools:  append(r.pools, more.pools...),
	}
}

// checker gathers the faults of rows.
type checker struct {
	faults []Problem
	// partial says that rows are missing, so that none is looked for.
	partial bool
}

// place names a row in faults.
type place struct {
	file, row string
}

func placeOf(file, table string, number int, name string) place {
	if checkName(name) != "" {
		return place{file: file, row: fmt.Sprintf("%s[%d]", table, number)}
	}
	return place{file: file, row: table + "." + name}
}

func (c *checker) fault(p place, key, format string, args ...any) {
	if key != "" {
		key = p.row + "." + key
	} else {
		key = p.row
	}
	c.faults = append(c.faults, Problem{File: p.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// between records a fault unless value is in [low, high].
func between[T cmp.Ordered](c *checker, p place, key string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	c.fault(p, key, "%v is not in [%v, %v]", value, low, high)
}

func (c *checker) name(p place, key, name string) {
	if reason := checkName(name); reason != "" {
		c.fault(p, key, "%s", reason)
	}
}

// checkName returns what is wrong with a name, or nothing.
func checkName(name string) string {
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

// checkDocument returns the tables of a whole document, or a *CheckError.
func checkDocument(d document) (*Tables, error) {
	c := &checker{}
	return c.tables(placeRows("", d))
}

// tables returns the tables of rows, or a *CheckError with the faults found
// before and all those of rows.
func (c *checker) tables(rows placedRows) (*Tables, error) {
	t := &Tables{}
	pools := c.pools(rows.pools, t)
	c.routes(rows.routes, pools, t)
	if len(c.faults) > 0 {
		return nil, &CheckError{Problems: c.faults}
	}
	slices.SortFunc(t.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.Pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return t, nil
}

func (c *checker) routes(rows []placed[routeRow], pools map[string]bool, t *Tables) {
	if len(rows) == 0 && !c.partial {
		c.fault(place{row: "routes"}, "", "no route")
	}
	if len(rows) > MaxRoutes {
		c.fault(place{row: "routes"}, "", "%d routes are more than %d", len(rows), MaxRoutes)
	}
	seen := make(map[string]bool)
	for _, r := range rows {
		p := placeOf(r.file, r.table, r.number, r.row.Name)
		c.name(p, "name", r.row.Name)
		if seen[r.row.Name] && r.row.Name != "" {
			c.fault(p, "name", "a second route of this name")
		}
		seen[r.row.Name] = true
		if r.row.Pool == "" {
			c.fault(p, "pool", "missing")
		} else if !pools[r.row.Pool] && !c.partial {
			c.fault(p, "pool", "no pool is named %q", r.row.Pool)
		}
		t.Routes = append(t.Routes, c.route(p, r.row))
	}
}

func (c *checker) route(p place, row routeRow) Route {
	between(c, p, "urgency", row.Urgency, 0, MaxUrgency)
	between(c, p, "share", row.Share, 1, MaxShare)
	between(c, p, "memory-mib", row.MemoryMiB, 0, MaxMemoryMiB)
	if math.Signbit(row.Cores) {
		c.fault(p, "cores", "%v is below 0", row.Cores)
	} else {
		between(c, p, "cores", row.Cores, 0, MaxCores)
	}
	return Route{
		Name:       row.Name,
		Pool:       row.Pool,
		Urgency:    row.Urgency,
		Share:      row.Share,
		Idempotent: row.Idempotent,
		Timeout:    c.timeout(p, row.Timeout),
		Cores:      row.Cores,
		MemoryMiB:  row.MemoryMiB,
	}
}

func (c *checker) timeout(p place, text string) time.Duration {
	if text == "" {
		c.fault(p, "timeout", "missing")
		return 0
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		c.fault(p, "timeout", "%q is not a duration such as \"5s\"", text)
		return 0
	}
	between(c, p, "timeout", timeout, time.Millisecond, MaxTimeout)
	return timeout
}

// pools checks the pools and returns their names.
func (c *checker) pools(rows []placed[poolRow], t *Tables) map[string]bool {
	if len(rows) > MaxPools {
		c.fault(place{row: "pools"}, "", "%d pools are more than %d", len(rows), MaxPools)
	}
	names := make(map[string]bool)
	addresses := make(map[netip.AddrPort]string)
	for _, r := range rows {
		p := placeOf(r.file, r.table, r.number, r.row.Name)
		c.name(p, "name", r.row.Name)
		if names[r.row.Name] && r.row.Name != "" {
			c.fault(p, "name", "a second pool of this name")
		}
		names[r.row.Name] = true
		if len(r.row.Servers) == 0 {
			c.fault(p, "servers", "no server")
		}
		t.Pools = append(t.Pools, Pool{
			Name:    r.row.Name,
			Servers: c.servers(p, r.row.Servers, addresses),
		})
	}
	if len(addresses) > MaxServers {
		c.fault(place{row: "pools"}, "", "%d servers are more than %d", len(addresses), MaxServers)
	}
	return names
}

// servers checks the servers of one pool; addresses holds where each address
// stood first, over all pools.
func (c *checker) servers(pool place, rows []serverRow, addresses map[netip.AddrPort]string) []Server {
	var servers []Server
	for i, row := range rows {
		p := place{file: pool.file, row: fmt.Sprintf("%s.servers[%d]", pool.row, i+1)}
		s := c.server(p, row)
		if first, ok := addresses[s.Address]; ok && s.Address.IsValid() {
			c.fault(p, "address", "%v stands at %s too", s.Address, first)
		} else if s.Address.IsValid() {
			addresses[s.Address] = p.row
		}
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b Server) int { return a.Address.Compare(b.Address) })
	return servers
}

func (c *checker) server(p place, row serverRow) Server {
	c.name(p, "zone", row.Zone)
	c.name(p, "rack", row.Rack)
	between(c, p, "slots", row.Slots, 1, MaxSlots)
	between(c, p, "connections", row.Connections, 1, MaxConnections)
	between(c, p, "cores", row.Cores, 1, MaxCores)
	between(c, p, "memory-mib", row.MemoryMiB, 1, MaxMemoryMiB)
	return Server{
		Address:     c.address(p, "address", row.Address),
		Zone:        row.Zone,
		Rack:        row.Rack,
		Slots:       row.Slots,
		Connections: row.Connections,
		Cores:       row.Cores,
		MemoryMiB:   row.MemoryMiB,
	}
}

// address returns the address that text gives, or the zero AddrPort.
func (c *checker) address(p place, key, text string) netip.AddrPort {
	if text == "" {
		c.fault(p, key, "missing")
		return netip.AddrPort{}
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		c.fault(p, key, "%q is not an IP address and port", text)
		return netip.AddrPort{}
	}
	addr := parsed.Addr().Unmap()
	if addr.IsUnspecified() || addr.IsMulticast() || parsed.Port() == 0 {
		c.fault(p, key, "%q is not the address of one server", text)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(addr, parsed.Port())
}
