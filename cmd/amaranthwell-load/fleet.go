package main

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Sizes of both users' fleets.
const (
	serverCount       = 50
	slotsPerServer    = 8
	connections       = 64
	serversPerRack    = 8
	entryCount        = 8
	fleetSlots        = serverCount * slotsPerServer
	slowestSpeed      = 0.5
	fastestSpeed      = 2.0
	entriesZoneSpread = 3
)

// Ports of the fleet's processes on their loopback numbers.
const (
	serverPort   = 6000
	peerPort     = 7000
	callerPort   = 8080
	operatorPort = 9090
	storePort    = 7100
	controlPort  = 7300
)

// speedSeed makes the speeds of a fleet the same in every run.
const speedSeed = 50

// A fleet is what a scenario runs on: the backend servers, the entry instances
// and the routes of one user.
type fleet struct {
	name    string
	pool    string
	routes  []route
	servers []server
	entries []entryInstance
	// platform is the loopback number of the platform's stand-ins.
	platform netip.Addr
}

// A route is one row of the routes table with the route's part of the load.
type route struct {
	name       string
	urgency    int
	share      int
	idempotent bool
	timeout    time.Duration
	// part is the route's part of the steady load, in [0, 1].
	part float64
}

// A server is one backend server and its true speed.
type server struct {
	address   netip.AddrPort
	zone      string
	rack      string
	cores     int
	memoryMiB int
	// speed divides the run time of a task; 1 is the nominal speed.
	speed float64
}

// An entryInstance is where one entry instance listens.
type entryInstance struct {
	peer     netip.AddrPort
	caller   netip.AddrPort
	operator netip.AddrPort
	zone     string
}

// newSapica returns the fleet of Šapica's editing service on 127.network.0.0/16.
func newSapica(network byte) *fleet {
	f := newFleet("sapica", network, 16, 65536, []string{"hr-north-a", "hr-north-b", "hr-north-c"})
	f.pool = "editing"
	f.routes = []route{
		{name: "previews", urgency: 90, share: 50, idempotent: true, part: 0.5},
		{name: "retouches", urgency: 50, share: 30, idempotent: true, part: 0.3},
		{name: "thumbnails", urgency: 10, share: 20, idempotent: true, part: 0.2},
	}
	f.setTimeouts()
	return f
}

// newKwena returns the fleet of Kwena's loan desk on 127.network.0.0/16.
func newKwena(network byte) *fleet {
	f := newFleet("kwena", network, 64, 131072, []string{"gauteng-a", "gauteng-b", "gauteng-c"})
	f.pool = "loan-desk"
	f.routes = []route{
		{name: "return-bookings", urgency: 90, share: 30, part: 0.2},
		{name: "fitting-matches", urgency: 50, share: 40, idempotent: true, part: 0.4},
		{name: "availability-checks", urgency: 10, share: 30, idempotent: true, part: 0.4},
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
			zone:     zones[i%entriesZoneSpread],
		})
	}
	return f
}

// setTimeouts gives every route the same timeout.
func (f *fleet) setTimeouts() {
	for i := range f.routes {
		f.routes[i].timeout = jobTimeout
	}
}

// geometricSpeeds returns n speeds spaced evenly in their logarithm between
// slowestSpeed and fastestSpeed, in an order that mixes them over the racks.
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

// meanSpeed returns the slot-weighted mean speed of the fleet's servers.
func (f *fleet) meanSpeed() float64 {
	sum := 0.0
	for _, s := range f.servers {
		sum += s.speed
	}
	return sum / float64(len(f.servers))
}

// capacity returns the nominal task time that the fleet runs a second.
func (f *fleet) capacity() time.Duration {
	return time.Duration(fleetSlots * f.meanSpeed() * float64(time.Second))
}

// leastUrgent returns the route of the lowest urgency.
func (f *fleet) leastUrgent() string {
	least := f.routes[0]
	for _, r := range f.routes {
		if r.urgency < least.urgency {
			least = r
		}
	}
	return least.name
}

// mostUrgent returns the route of the highest urgency.
func (f *fleet) mostUrgent() string {
	most := f.routes[0]
	for _, r := range f.routes {
		if r.urgency > most.urgency {
			most = r
		}
	}
	return most.name
}
