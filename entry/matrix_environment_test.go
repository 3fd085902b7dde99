package entry_test

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// networkFaults returns the faults that cut the availability zone of a role's instance
// off from the others for cutFor.
func networkFaults() []fault {
	var faults []fault
	for _, r := range []struct {
		name string
		addr netip.AddrPort
	}{{"owner", ownerRole}, {"relay instance", relayRole}, {"holder", holderRole}} {
		faults = append(faults, fault{name: "cut of the " + r.name + "'s availability zone", apply: func(c *matrixCase) {
			zone := c.nodes[r.addr].zone
			c.cutZones[zone] = true
			c.after(cutFor, func() { delete(c.cutZones, zone) })
		}})
	}
	return faults
}

// listFaults returns the faults of the platform's list of instances. In the list with
// two holders, only the joiner learns that the holder is leaving, so that both act as
// holders of the same servers.
func listFaults() []fault {
	return []fault{
		{name: "cut of the holder from the platform", harmless: true, apply: func(c *matrixCase) { c.hideListAndTables(holderRole) }},
		{name: "cut of the owner from the platform", harmless: true, apply: func(c *matrixCase) { c.hideListAndTables(ownerRole) }},
		{name: "list with two holders", harmless: true, apply: func(c *matrixCase) {
			list := c.list
			c.hideList(instancesExcept(joinerRole))
			c.changeList(holderRole, peer.EntryInstance, true)
			c.after(listLag, func() { c.showList(list) })
		}},
		{name: "list with a live holder leaving", harmless: true, apply: func(c *matrixCase) {
			list := c.list
			c.changeList(holderRole, peer.EntryInstance, true)
			c.after(listLag, func() { c.setList(list) })
		}},
		{name: "list without the live holder", harmless: true, apply: func(c *matrixCase) { c.unlist(holderRole) }},
		{name: "list without the live owner", harmless: true, apply: func(c *matrixCase) { c.unlist(ownerRole) }},
	}
}

// instancesExcept returns the addresses of all entry instances but addr.
func instancesExcept(addr netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for n := range caseInstances {
		if a := instanceAddress(n); a != addr {
			others = append(others, a)
		}
	}
	return others
}

// changeList makes the platform's list report the entry instance or backend server at
// addr, according to kind, as leaving or as not leaving.
func (c *matrixCase) changeList(addr netip.AddrPort, kind peer.InstanceKind, leaving bool) {
	list := c.list
	list.Instances = slices.DeleteFunc(slices.Clone(list.Instances), func(i peer.Instance) bool { return i.Address == addr })
	list.Instances = append(list.Instances, peer.Instance{
		Address: addr, Kind: kind, Zone: zoneOfAddress(addr), Leaving: leaving,
	})
	c.setList(list)
}

// zoneOfAddress returns the availability zone of an entry instance or backend server.
func zoneOfAddress(addr netip.AddrPort) string { return zoneOf(int(addr.Addr().As4()[3]) - 1) }

// unlist removes the instance at addr from the platform's list permanently.
func (c *matrixCase) unlist(addr netip.AddrPort) {
	list := c.list
	list.Instances = slices.DeleteFunc(slices.Clone(list.Instances), func(i peer.Instance) bool { return i.Address == addr })
	c.setList(list)
}

// hideList keeps later lists from the entry instances at addrs until showList is
// called.
func (c *matrixCase) hideList(addrs []netip.AddrPort) {
	for _, addr := range addrs {
		c.withoutList[addr] = true
	}
}

// showList ends the effect of hideList and sets the list at all nodes.
func (c *matrixCase) showList(list peer.InstanceList) {
	clear(c.withoutList)
	c.setList(list)
}

// hideListAndTables changes the platform's list and the tables, and keeps both changes
// from the instance at addr for listLag.
func (c *matrixCase) hideListAndTables(addr netip.AddrPort) {
	c.hideList([]netip.AddrPort{addr})
	c.changeList(serverAddress(2), peer.BackendServer, true)
	tables := *c.tables
	tables.Routes = append([]operator.Route(nil), tables.Routes...)
	tables.Routes[0].Share, tables.Routes[1].Share = 60, 40
	c.tables = &tables
	for _, a := range sortedNodes(c.simulation) {
		if a != addr {
			c.deliver(c.nodes[a], func(now time.Time, i *entry.Instance) { i.SetTables(now, &tables, 2, []byte("snapshot-2")) })
		}
	}
	c.after(listLag, func() {
		c.showList(c.list)
		c.deliver(c.nodes[addr], func(now time.Time, i *entry.Instance) { i.SetTables(now, &tables, 2, []byte("snapshot-2")) })
	})
}

// serverFaults returns the faults of the backend servers in the holder's availability
// zone.
func serverFaults() []fault {
	faults := []fault{
		{name: "servers that fail everything", mustAffect: true, apply: func(c *matrixCase) { c.failStarts(backend.Failed) }},
		{name: "servers that refuse everything", mustAffect: true, apply: func(c *matrixCase) { c.failStarts(backend.NotStarted) }},
		{name: "servers that break every connection", mustAffect: true, apply: func(c *matrixCase) { c.failStarts(backend.Lost) }},
		{name: "servers that start late", mustAffect: true, apply: func(c *matrixCase) {
			c.startDelay = func(s entry.Start) time.Duration {
				if zoneOfAddress(s.Server) != zoneOfAddress(holderRole) {
					return 0
				}
				c.affected++
				return lateStart
			}
		}},
		{name: "server leaving", harmless: true, apply: func(c *matrixCase) {
			c.changeList(serverAddress(2), peer.BackendServer, true)
			c.generateLoad()
		}},
		{name: "server leaving, listed 2 s late", harmless: true, apply: func(c *matrixCase) {
			c.after(2*time.Second, func() { c.changeList(serverAddress(2), peer.BackendServer, true) })
			c.generateLoad()
		}},
	}
	return faults
}

// failStarts makes all starts on servers of the holder's availability zone end with the
// outcome kind, and all others succeed.
func (c *matrixCase) failStarts(kind backend.OutcomeKind) {
	c.outcome = func(s entry.Start) backend.OutcomeKind {
		if zoneOfAddress(s.Server) != zoneOfAddress(holderRole) {
			return backend.Done
		}
		c.affected++
		return kind
	}
}

// loadJobTasks is the number of tasks in each job of generateLoad. It is so small that
// most slots stay idle.
const loadJobTasks = 10

// generateLoad submits jobs for 10 s, so that every usable backend server gets tasks.
func (c *matrixCase) generateLoad() {
	for n := range 20 {
		c.after(time.Duration(n)*500*time.Millisecond, func() { c.submitAnother(loadJobTasks) })
	}
}

// shutdownFaults returns the graceful shutdowns of the instances of each role.
func shutdownFaults() []fault {
	return []fault{
		{name: "shutdown of the owner", harmless: true, shutsDown: true, target: ownerRole, apply: func(c *matrixCase) { c.shutDown(ownerRole) }},
		{name: "shutdown of the holder", harmless: true, shutsDown: true, target: holderRole, apply: func(c *matrixCase) { c.shutDown(holderRole) }},
		{name: "shutdown of the relay instance", harmless: true, shutsDown: true, target: relayRole, apply: func(c *matrixCase) { c.shutDown(relayRole) }},
	}
}
