package main

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// oneZone places all instances in one availability zone.
func oneZone(int) string { return zoneName(0) }

// newMembers returns a peer.Members with the given number of peers, all live, in the
// zones that zoneOf returns.
func newMembers(peers int, zoneOf func(int) string) *peer.Members {
	m := peer.NewMembers(peer.MembersConfig{Self: instanceAddress(peers), Zone: zoneName(0), Incarnation: 1})
	m.SetList(start, newInstanceList(peers, zoneOf))
	for n := range peers {
		m.Receive(start, instanceAddress(n), heartbeat(n, zoneOf(n), 1))
	}
	return m
}

// membersByPeers measures the memory and the methods of a peer.Members by its number of
// peers.
func membersByPeers() []slope {
	memory := slope{Name: "members-memory-by-peers", What: "heap of a peer.Members in which all peers live", Unit: "bytes", By: "peer"}
	tick := slope{Name: "members-tick-by-peers", What: "peer.Members.Tick and HeartbeatsDue with none due", Unit: "ns", By: "peer"}
	list := slope{Name: "members-list-by-peers", What: "peer.Members.SetList", Unit: "ns", By: "peer"}
	for _, n := range peerCounts {
		memory.add(n, retainedBytes(func() *peer.Members { return newMembers(n, oneZone) }))
		m := newMembers(n, oneZone)
		for at := range n {
			m.SetHeader(start, instanceAddress(at), &peer.Envelope{})
		}
		now := start.Add(time.Millisecond)
		tick.add(n, cpuNanos(func() {
			m.Tick(now)
			m.HeartbeatsDue(now)
		}))
		l := newInstanceList(n, oneZone)
		list.add(n, cpuNanos(func() { m.SetList(now, l) }))
	}
	return []slope{memory, tick, list}
}

// assignmentByPeers measures the time to select the holders of all 1,700 workers, by the
// number of peers.
func assignmentByPeers() []slope {
	one := slope{Name: "assignment-one-zone-by-peers", What: "peer.Members.Holder for 1,700 workers, all instances and workers in one zone", Unit: "ns", By: "peer"}
	many := slope{Name: "assignment-20-zones-by-peers", What: "peer.Members.Holder for 1,700 workers over 20 zones", Unit: "ns", By: "peer"}
	t := newTables(fleetWorkers, 1)
	for _, n := range peerCounts {
		m := newMembers(n, oneZone)
		one.add(n, cpuNanos(func() {
			for _, s := range t.Pools[0].Servers {
				m.Holder(s.Address, zoneName(0))
			}
		}))
		m = newMembers(n, zoneName)
		many.add(n, cpuNanos(func() {
			for _, s := range t.Pools[0].Servers {
				m.Holder(s.Address, s.Zone)
			}
		}))
	}
	return []slope{one, many}
}

// idleInstance returns an instance without jobs that has tables with the given numbers of
// workers and routes, and whose peers are all live.
func idleInstance(peers, workers, routes int, zoneOf func(int) string) *entry.Instance {
	i := newInstance(peers, zoneName(0), peers, zoneOf)
	i.SetTables(start, newTables(workers, routes), 1, nil)
	for n := range peers {
		i.Receive(start, instanceAddress(n), heartbeat(n, zoneOf(n), 1))
	}
	i.Take(start)
	i.Take(start)
	return i
}

// instanceByPeers measures the memory, the tick and the heartbeats of an instance without
// jobs, by its number of peers.
func instanceByPeers() []slope {
	memory := slope{Name: "instance-memory-by-peers", What: "heap of an entry.Instance with 1,700 workers and 16 routes in 20 zones, without work", Unit: "bytes", By: "peer"}
	idle := slope{Name: "instance-tick-by-peers", What: "entry.Instance.Tick and Take without work and without heartbeats due", Unit: "ns", By: "peer"}
	receive := slope{Name: "instance-heartbeats-by-peers", What: "entry.Instance.Receive of a heartbeat of every peer, and one Take that answers all", Unit: "ns", By: "peer"}
	for _, n := range peerCounts {
		memory.add(n, retainedBytes(func() *entry.Instance { return idleInstance(n, fleetWorkers, fixedRoutes, zoneName) }))
		i := idleInstance(n, fleetWorkers, fixedRoutes, zoneName)
		now := start.Add(time.Millisecond)
		idle.add(n, cpuNanos(func() {
			i.Tick(now)
			i.Take(now)
		}))
		sequence := uint64(1)
		receive.add(n, cpuNanos(func() {
			sequence++
			now = now.Add(time.Second)
			for at := range n {
				i.Receive(now, instanceAddress(at), heartbeat(at, zoneName(at), sequence))
			}
			i.Take(now)
		}))
	}
	return []slope{memory, idle, receive}
}

// heartbeatByRoutes measures the size of an envelope without work by the number
// of routes in its load report.
func heartbeatByRoutes() []slope {
	s := slope{Name: "heartbeat-bytes-by-routes", What: "proto.Size of an envelope without work, whose load tells of the routes of one pool and three speeds of server", Unit: "bytes", By: "route"}
	for _, n := range append([]int{0}, routeCounts...) {
		env := heartbeat(0, zoneName(0), 1<<20)
		env.Incarnation, env.Session, env.ToSession = 1<<63, 1<<63, 1<<63
		env.Received, env.ConfigurationOffset = 1<<20, 1<<20
		l := &peer.PoolLoad{Pool: "editing", Slots: 680, Free: 200}
		for _, slowness := range []float32{0.8, 1, 1.25} {
			l.Idle = append(l.Idle, &peer.Idle{Free: 66, Slowness: slowness})
		}
		for r := range n {
			l.Routes = append(l.Routes, &peer.RouteLoad{Route: routeName(r), Queued: 5, TypicalNanos: 200e6})
		}
		env.Load = &peer.Load{Pools: []*peer.PoolLoad{l}}
		s.add(n, float64(proto.Size(env)))
	}
	return []slope{s}
}

// instanceByRoutes measures the memory, the tick and the heartbeats of an instance
// without jobs, by its number of routes. Each team has one route.
func instanceByRoutes() []slope {
	memory := slope{Name: "instance-memory-by-routes", What: "heap of an entry.Instance with 1,700 workers and 8 peers, without work", Unit: "bytes", By: "route"}
	idle := slope{Name: "instance-tick-by-routes", What: "entry.Instance.Tick and Take without work and without heartbeats due", Unit: "ns", By: "route"}
	send := slope{Name: "instance-heartbeats-by-routes", What: "entry.Instance.Receive of a heartbeat of each of 8 peers, and one Take that answers all", Unit: "ns", By: "route"}
	const peers = 8
	for _, n := range routeCounts {
		memory.add(n, retainedBytes(func() *entry.Instance { return idleInstance(peers, fleetWorkers, n, oneZone) }))
		i := idleInstance(peers, fleetWorkers, n, oneZone)
		now := start.Add(time.Millisecond)
		idle.add(n, cpuNanos(func() {
			i.Tick(now)
			i.Take(now)
		}))
		sequence := uint64(1)
		send.add(n, cpuNanos(func() {
			sequence++
			now = now.Add(time.Second)
			for at := range peers {
				i.Receive(now, instanceAddress(at), heartbeat(at, oneZone(at), sequence))
			}
			i.Take(now)
		}))
	}
	return []slope{memory, idle, send}
}
