package peer

import "net/netip"

// A InstanceKind says what an instance of the List is.
type InstanceKind string

// The kinds of instance.
const (
	// EntryInstance is an entry instance of the system.
	EntryInstance InstanceKind = "entry"
	// BackendServer is a backend server of a pool.
	BackendServer InstanceKind = "backend"
)

// A InstanceList is the platform's list of live and leaving instances. It lags behind
// what is the case.
type InstanceList struct {
	// Instances holds the listed instances, in no particular order.
	Instances []Instance
}

// An Instance is one entry of the List.
type Instance struct {
	// Address identifies the instance: an entry instance's address for its
	// peers, or a backend server's address for tasks.
	Address netip.AddrPort
	// Kind says what the instance is.
	Kind InstanceKind
	// Zone names the instance's availability zone.
	Zone string
	// Leaving says that the instance is about to end.
	Leaving bool
}
