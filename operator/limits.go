package operator

import "time"

// Limits of the tables.
const (
	// MaxRoutes is the largest number of routes.
	MaxRoutes = 256
	// MaxPools is the largest number of pools.
	MaxPools = 64
	// MaxServers is the largest number of backend servers over all pools.
	MaxServers = 2048
	// MaxNameBytes is the largest length of a name in bytes.
	MaxNameBytes = 64
	// MaxUrgency is the largest urgency of a route.
	MaxUrgency = 100
	// MaxShare is the largest share of a route.
	MaxShare = 1000
	// MaxTimeout is the largest timeout of a route.
	MaxTimeout = 24 * time.Hour
	// MaxCores is the largest number of cores of a task or a server.
	MaxCores = 4096
	// MaxMemoryMiB is the largest memory of a task or a server in MiB.
	MaxMemoryMiB = 1 << 26
	// MaxSlots is the largest number of slots of a server.
	MaxSlots = 4096
	// MaxConnections is the largest number of connections of a server.
	MaxConnections = 65536
)
