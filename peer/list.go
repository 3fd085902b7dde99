package peer

import "net/netip"

// InstanceKind is the kind of an instance in an InstanceList.
type InstanceKind string

// The kinds of instance.
const (
	// EntryInstance is an entry instance of this system.
	EntryInstance InstanceKind = "entry"
	// BackendServer is a backend server of a pool.
	BackendServer InstanceKind = "backend"
)

// InstanceList is the platform's list of live and leaving instances. It lags
// behind their actual state.
type InstanceList struct {
	// Instances holds the listed instances, in no particular order.
	Instances []Instance
}

// Instance is one entry of an InstanceList.
type Instance struct {
	// Address identifies the instance. It is the address at which an entry
	// instance receives from its peers, or at which a backend server receives
	// tasks.
	Address netip.AddrPort
	// Kind is the kind of the instance.
	Kind InstanceKind
	// Zone is the name of the instance's availability zone.
	Zone string
	// Leaving reports whether the instance is about to end.
	Leaving bool
}
