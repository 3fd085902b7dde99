package main

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Sizes of a fleet. Both fleets have the same sizes.
const (
	serverCount    = 50
	slotsPerServer = 8
	connections    = 64
	serversPerRack = 8
	entryCount     = 8
	fleetSlots     = serverCount * slotsPerServer
	slowestSpeed   = 0.5
	fastestSpeed   = 2.0
	entryZoneCount = 3
)

// Ports of the fleet's processes on their loopback addresses.
const (
	serverPort   = 6000
	peerPort     = 7000
	callerPort   = 8080
	operatorPort = 9090
	storePort    = 7100
	controlPort  = 7300
)

// speedSeed is the seed of the server speeds. It is fixed so that a fleet has the
// same speeds in every run.
const speedSeed = 50

// A fleet describes the backend servers, the entry instances and the routes that
// a scenario uses. Each fleet is modeled on one user.
type fleet struct {
	name    string
	pool    string
	routes  []route
	servers []server
	entries []entryInstance
	// platform is the loopback address of the stand-ins of the platform.
	platform netip.Addr
}

// A route is one row of the routes table and the route's fraction of the load.
type route struct {
	name       string
	urgency    int
	share      int
	idempotent bool
	timeout    time.Duration
	// loadFraction is the route's fraction of the steady load, in [0, 1].
	loadFraction float64
}

// A server is one backend server and its actual speed.
type server struct {
	address   netip.AddrPort
	zone      string
	rack      string
	cores     int
	memoryMiB int
	// speed is the factor by which the server is faster than the nominal
	// speed. The run time of a task is its nominal run time divided by speed.
	speed float64
}

// An entryInstance holds the addresses and the zone of one entry instance.
type entryInstance struct {
	peer     netip.AddrPort
	caller   netip.AddrPort
	operator netip.AddrPort
	zone     string
}

// newSapicaFleet returns the fleet of Šapica's editing service on 127.network.0.0/16.
func newSapicaFleet(network byte) *fleet {
	f := newFleet("sapica", network, 16, 65536, []string{"hr-north-a", "hr-north-b", "hr-north-c"})
	f.pool = "editing"
	f.routes = []route{
		{name: "previews", urgency: 90, share: 50, idempotent: true, loadFraction: 0.5},
		{name: "retouches", urgency: 50, share: 30, idempotent: true, loadFraction: 0.3},
		{name: "thumbnails", urgency: 10, share: 20, idempotent: true, loadFraction: 0.2},
	}
	f.setTimeouts()
	return f
}

// newKwenaFleet returns the fleet of Kwena's loan desk on 127.network.0.0/16.
func newKwenaFleet(network byte) *fleet {
	f := newFleet("kwena", network, 64, 131072, []string{"gauteng-a", "gauteng-b", "gauteng-c"})
	f.pool = "loan-desk"
	f.routes = []route{
		{name: "return-bookings", urgency: 90, share: 30, loadFraction: 0.2},
		{name: "fitting-matches", urgency: 50, share: 40, idempotent: true, loadFraction: 0.4},
		{name: "availability-checks", urgency: 10, share: 30, idempotent: true, loadFraction: 0.4},
	}
	f.setTimeouts()
	return f
}

func newFleet(name string, network byte, cores, memoryMiB int, zones []string) *fleet {
	f := &fleet{name: name, platform: netip.AddrFrom4([4]byte{127, network, 0, 1})}
	speeds := geometricSpeeds(serverCount)
	for i := range serverCount {
		rack := i / serversPerRack
		host := netip.AddrFrom4([4]byte{127, network, byte(1 + rack), byte(1 + i%serversPerRack)})
		zone := zones[rack%len(zones)]
		f.servers = append(f.servers, server{
			address:   netip.AddrPortFrom(host, serverPort),
			zone:      zone,
			rack:      zone + "-" + string(rune('1'+rack/len(zones))),
			cores:     cores,
			memoryMiB: memoryMiB,
			speed:     speeds[i],
		})
	}
	for i := range entryCount {
		host := netip.AddrFrom4([4]byte{127, network, 100, byte(1 + i)})
		f.entries = append(f.entries, entryInstance{
			peer:     netip.AddrPortFrom(host, peerPort),
			caller:   netip.AddrPortFrom(host, callerPort),
			operator: netip.AddrPortFrom(host, operatorPort),
			zone:     zones[i%entryZoneCount],
		})
	}
	return f
}

// setTimeouts sets the timeout of every route to jobTimeout.
func (f *fleet) setTimeouts() {
	for i := range f.routes {
		f.routes[i].timeout = jobTimeout
	}
}

// geometricSpeeds returns n speeds from slowestSpeed to fastestSpeed in a geometric
// progression, shuffled so that every rack has fast and slow servers.
func geometricSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	step := math.Pow(fastestSpeed/slowestSpeed, 1/float64(n-1))
	for i := range speeds {
		speeds[i] = slowestSpeed * math.Pow(step, float64(i))
	}
	r := rand.New(rand.NewPCG(speedSeed, speedSeed))
	r.Shuffle(n, func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
	return speeds
}

// meanSpeed returns the mean speed of the fleet's servers. It is also the mean over all
// slots, because all servers have the same number of slots.
func (f *fleet) meanSpeed() float64 {
	sum := 0.0
	for _, s := range f.servers {
		sum += s.speed
	}
	return sum / float64(len(f.servers))
}

// capacity returns how much run time of tasks, at the nominal speed, the fleet completes
// per second.
func (f *fleet) capacity() time.Duration {
	return time.Duration(fleetSlots * f.meanSpeed() * float64(time.Second))
}

// leastUrgentRoute returns the name of the route with the lowest urgency.
func (f *fleet) leastUrgentRoute() string {
	least := f.routes[0]
	for _, r := range f.routes {
		if r.urgency < least.urgency {
			least = r
		}
	}
	return least.name
}

// mostUrgentRoute returns the name of the route with the highest urgency.
func (f *fleet) mostUrgentRoute() string {
	most := f.routes[0]
	for _, r := range f.routes {
		if r.urgency > most.urgency {
			most = r
		}
	}
	return most.name
}
