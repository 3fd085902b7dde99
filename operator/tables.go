package operator

import (
	"net/netip"
	"slices"
	"time"
)

// Tables is one whole configuration: the routes and the pools. Each route refers
// to its pool by name. Published Tables are never changed.
type Tables struct {
	// Routes holds the kinds of request, sorted by name.
	Routes []Route
	// Pools holds the groups of backend servers, sorted by name.
	Pools []Pool
}

// A Route is a kind of request, with the pool that runs it and its scheduling
// parameters.
type Route struct {
	// Name identifies the route.
	Name string
	// Pool names the pool whose backend servers run the route's tasks.
	Pool string
	// Urgency orders routes within their guaranteed shares; a larger number
	// is more urgent. It is in [0, 100].
	Urgency int
	// Share is the weight of the route when a busy pool is divided among its
	// routes: the route is guaranteed Share out of the sum of the Shares of all
	// routes of the pool. It is in [1, 1000].
	Share int
	// Idempotent declares that running a task twice is harmless. A task is
	// nevertheless never started twice under one key.
	Idempotent bool
	// Timeout is the largest time from a job's arrival to its answer. It is in
	// [1ms, MaxTimeout].
	Timeout time.Duration
	// Cores is the declared number of cores that a task uses. It is in
	// [0, MaxCores]; 0 declares nothing.
	Cores float64
	// MemoryMiB is the declared memory that a task uses, in MiB. It is in
	// [0, MaxMemoryMiB]; 0 declares nothing.
	MemoryMiB int
}

// A Pool is a group of backend servers.
type Pool struct {
	// Name identifies the pool.
	Name string
	// Servers holds the backend servers, sorted by address.
	Servers []Server
	// DrainedZones holds the availability zones, sorted, on whose servers of the
	// pool no task is started. Tasks that run there end normally.
	DrainedZones []string
}

// Drained reports whether no task is started on the pool's servers in zone.
func (p Pool) Drained(zone string) bool {
	return slices.Contains(p.DrainedZones, zone)
}

// A Server is a backend server and its capacity.
type Server struct {
	// Address is where the server accepts tasks.
	Address netip.AddrPort
	// Zone names the server's availability zone.
	Zone string
	// Rack names the server's rack.
	Rack string
	// Slots is the number of tasks that the server runs at once. It is in
	// [1, MaxSlots].
	Slots int
	// Connections is the number of connections that the server accepts. It
	// is in [1, MaxConnections].
	Connections int
	// Cores is the number of the server's processor cores. It is in
	// [1, MaxCores].
	Cores int
	// MemoryMiB is the server's memory in MiB. It is in [1, MaxMemoryMiB].
	MemoryMiB int
}

// Route returns the route named name and whether there is one.
func (t *Tables) Route(name string) (Route, bool) {
	for _, r := range t.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

// Pool returns the pool named name and whether there is one.
func (t *Tables) Pool(name string) (Pool, bool) {
	for _, p := range t.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}
