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

// Sizes of the fleet two years on.
const (
	fleetWorkers = 1700
	fleetZones   = 20
	fleetRack    = 8
	fleetSlots   = 8
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// workerSizes, peerSizes and routeSizes are the sizes that are measured.
var (
	workerSizes = []int{10, 85, 340, 850, 1700}
	peerSizes   = []int{8, 12, 60, 200, 400}
	routeSizes  = []int{1, 16, 65, 130, 260}
	taskSizes   = []int{1, 10, 100, 400, 1300}
)

func instanceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n / 250), byte(n%250 + 1)}), 7000)
}

func serverAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n / 250), byte(n%250 + 1)}), 9000)
}

func zoneName(n int) string {
	return fmt.Sprintf("hr-north-%c", 'a'+n%fleetZones)
}

func routeName(n int) string { return fmt.Sprintf("team-%03d-previews", n) }

// newTables returns one pool of workers over the zones, and routes to it.
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
			Address: serverAddress(n), Zone: zoneName(n / fleetRack), Rack: fmt.Sprintf("rack-%d", n/fleetRack),
			Slots: fleetSlots, Connections: 64, Cores: 16, MemoryMiB: 65536,
		})
	}
	return t
}

// inZone puts all workers of t into one availability zone.
func inZone(t *operator.Tables, zone string) *operator.Tables {
	for n := range t.Pools[0].Servers {
		t.Pools[0].Servers[n].Zone = zone
	}
	return t
}

// newEdit returns the record of an edit that follows the revision base.
func newEdit(t *operator.Tables, base uint64) []byte {
	var id uuid.UUID
	id[0], id[1], id[15] = byte(base), byte(base>>8), 1
	body, err := operator.Edit{ID: id, Author: "workshop", Base: base, At: start, Tables: t}.Encode()
	if err != nil {
		panic(err)
	}
	return body
}

// newInstance returns an instance at the n-th address that knows peers others.
func newInstance(n int, zone string, peers int, zoneOf func(int) string) *entry.Instance {
	i, err := entry.New(entry.Config{
		Self: instanceAddress(n), Zone: zone, Incarnation: uint64(n + 1), Start: start,
		Random: rand.New(rand.NewPCG(1, uint64(n))),
	})
	if err != nil {
		panic(err)
	}
	i.SetList(start, newList(peers, zoneOf))
	return i
}

func newList(peers int, zoneOf func(int) string) peer.InstanceList {
	var l peer.InstanceList
	for n := range peers {
		l.Instances = append(l.Instances, peer.Instance{
			Address: instanceAddress(n), Kind: peer.EntryInstance, Zone: zoneOf(n),
		})
	}
	return l
}

// hello returns the envelope by which the n-th instance is heard.
func hello(n int, zone string, sequence uint64) *peer.Envelope {
	return &peer.Envelope{
		From: instanceAddress(n).String(), Incarnation: uint64(n + 1), Session: uint64(n + 1),
		Sequence: sequence, Zone: zone,
	}
}
