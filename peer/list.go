package peer

import "net/netip"

// A Kind says what an instance of the List is.
type Kind string

// The kinds of instance.
const (
	// EntryInstance is an entry instance of the system.
	EntryInstance Kind = "entry"
	// BackendServer is a backend server of a pool.
	BackendServer Kind = "backend"
)

// A List is the platform's list of live and leaving instances. It lags behind
// what is the case.
type List struct {
	// Instances holds the listed instances, in no particular order.
	Instances []Instance
}

// An Instance is one entry of the List.
type Instance struct {
	// Address identifies the instance: an entry instance's address for its
	// peers, or a backend server's address for tasks.
	Address netip.AddrPort
	// Kind says what the instance is.
	Kind Kind
	// Zone names the instance's availability zone.
	Zone string
	// Leaving says that the instance is about to end.
	Leaving bool
}
