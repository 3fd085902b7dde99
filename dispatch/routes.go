package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A Route is a row of the operators' table of routes.
type Route struct {
	Name string
	// Host and Prefix select the requests that the route is for.
	Host, Prefix string
	// Pool is the pool of the workers that run its tasks.
	Pool string
	// Urgency orders the jobs of different routes: those with the lower value get
	// resources first.
	Urgency int
	// MaxAttempts is the number of failed runs after which a task has failed.
	MaxAttempts int
	// Timeout is the time for which a caller waits if its request has no timeout.
	Timeout time.Duration
	// Stretch and Slack define the objectives of its jobs.
	Stretch float64
	Slack   time.Duration
	// Advised is set if a policy service must approve the workers of each step.
	Advised bool
}

// Tables are one version of the operators' tables.
type Tables struct {
	Version uint64
	// BodyBytes bounds the body of a caller's request, unless it is 0.
	BodyBytes int
	// byHost holds the routes of each host, sorted by descending length of their
	// prefixes.
	byHost map[string][]Route
}

// NewTables returns the tables of a version, with the given routes and the bound of
// request bodies in bytes.
func NewTables(version uint64, routes []Route, bodyBytes int) *Tables {
	t := &Tables{Version: version, BodyBytes: bodyBytes, byHost: make(map[string][]Route)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of a request for path at host, and whether there is one.
func (t *Tables) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Named returns the route with the given name, and whether there is one.
func (t *Tables) Named(name string) (Route, bool) {
	for _, routes := range t.byHost {
		if n := slices.IndexFunc(routes, func(r Route) bool { return r.Name == name }); n >= 0 {
			return routes[n], true
		}
	}
	return Route{}, false
}
