package entry_test

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// instanceAddress returns the address of the n-th entry instance, from 0.
func instanceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(n + 1)}), 7000)
}

// serverAddress returns the address of the n-th backend server, from 0.
func serverAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n + 1)}), 9000)
}

// zoneOf returns the availability zone of the n-th entry instance or backend server.
func zoneOf(n int) string { return string(rune('a' + n%3)) }

// simulationTables returns tables with two routes to one pool of backend servers.
func simulationTables(servers int) *operator.Tables {
	t := &operator.Tables{
		Routes: []operator.Route{
			{Name: "previews", Pool: "editing", Urgency: 90, Share: 50, Timeout: 5 * time.Second},
			{Name: "thumbnails", Pool: "editing", Urgency: 10, Share: 50, Timeout: 20 * time.Second},
		},
		Pools: []operator.Pool{{Name: "editing"}},
	}
	for n := range servers {
		t.Pools[0].Servers = append(t.Pools[0].Servers, operator.Server{
			Address: serverAddress(n), Zone: zoneOf(n), Rack: "r1", Slots: 8, Connections: 64,
			Cores: 16, MemoryMiB: 65536,
		})
	}
	return t
}

// simulationList returns a platform's list in which no entry instance is leaving.
func simulationList(instances int) peer.InstanceList {
	var list peer.InstanceList
	for n := range instances {
		list.Instances = append(list.Instances, peer.Instance{
			Address: instanceAddress(n), Kind: peer.EntryInstance, Zone: zoneOf(n),
		})
	}
	return list
}
