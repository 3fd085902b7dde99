package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// Sizes of the fleet that is expected in two years.
const (
	fleetWorkers   = 1700
	fleetZones     = 20
	serversPerRack = 8
	slotsPerServer = 8
)

// start is the time that all simulated clocks show at first.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Sizes at which the slopes are measured.
var (
	workerCounts = []int{10, 85, 340, 850, 1700}
	peerCounts   = []int{8, 12, 60, 200, 400}
	routeCounts  = []int{1, 16, 65, 130, 260}
	taskCounts   = []int{1, 10, 100, 400, 1300}
)

// instanceAddress returns the peer address of the n-th entry instance.
func instanceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n / 250), byte(n%250 + 1)}), 7000)
}

// serverAddress returns the address of the n-th backend server.
func serverAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n / 250), byte(n%250 + 1)}), 9000)
}

func zoneName(n int) string {
	return fmt.Sprintf("hr-north-%c", 'a'+n%fleetZones)
}

func routeName(n int) string { return fmt.Sprintf("team-%03d-previews", n) }

// newTables returns tables with one pool and the given number of routes to it. The pool
// has the given number of workers, which are distributed over the availability zones.
func newTables(workers, routes int) *operator.Tables {
	t := &operator.Tables{Pools: []operator.Pool{{Name: "editing"}}}
	for n := range routes {
		t.Routes = append(t.Routes, operator.Route{
			Name: routeName(n), Pool: "editing", Urgency: 50, Share: 50, Idempotent: true,
			Timeout: 20 * time.Second, Cores: 1, MemoryMiB: 512,
		})
	}
	for n := range workers {
		t.Pools[0].Servers = append(t.Pools[0].Servers, operator.Server{
			Address: serverAddress(n), Zone: zoneName(n / serversPerRack), Rack: fmt.Sprintf("rack-%d", n/serversPerRack),
			Slots: slotsPerServer, Connections: 64, Cores: 16, MemoryMiB: 65536,
		})
	}
	return t
}

// moveToZone puts all workers of t into one availability zone and returns t.
func moveToZone(t *operator.Tables, zone string) *operator.Tables {
	for n := range t.Pools[0].Servers {
		t.Pools[0].Servers[n].Zone = zone
	}
	return t
}

// encodeEdit returns the log record of an edit that was made from revision base and whose
// tables are t.
func encodeEdit(t *operator.Tables, base uint64) []byte {
	var id uuid.UUID
	id[0], id[1], id[15] = byte(base), byte(base>>8), 1
	body, err := operator.Edit{ID: id, Author: "workshop", Base: base, At: start, Tables: t}.Encode()
	if err != nil {
		panic(err)
	}
	return body
}

// newInstance returns the n-th entry instance, in the given zone. Its instance list holds
// the instances 0 to peers-1, in the zones that zoneOf returns.
func newInstance(n int, zone string, peers int, zoneOf func(int) string) *entry.Instance {
	i, err := entry.New(entry.Config{
		Self: instanceAddress(n), Zone: zone, Incarnation: uint64(n + 1), Start: start,
		Random: rand.New(rand.NewPCG(1, uint64(n))),
	})
	if err != nil {
		panic(err)
	}
	i.SetList(start, newInstanceList(peers, zoneOf))
	return i
}

// newInstanceList returns a list of the entry instances 0 to peers-1, in the zones that
// zoneOf returns.
func newInstanceList(peers int, zoneOf func(int) string) peer.InstanceList {
	var l peer.InstanceList
	for n := range peers {
		l.Instances = append(l.Instances, peer.Instance{
			Address: instanceAddress(n), Kind: peer.EntryInstance, Zone: zoneOf(n),
		})
	}
	return l
}

// heartbeat returns an envelope of the n-th instance that carries no work.
func heartbeat(n int, zone string, sequence uint64) *peer.Envelope {
	return &peer.Envelope{
		From: instanceAddress(n).String(), Incarnation: uint64(n + 1), Session: uint64(n + 1),
		Sequence: sequence, Zone: zone,
	}
}
