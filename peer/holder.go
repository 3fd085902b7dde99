package peer

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holder returns the instance that starts tasks on the backend server at
// address server in zone. It is chosen by rendezvous hashing over the live
// instances of the zone, or over all live instances if the zone has none.
// Holder returns false if this instance knows no live instance at all.
//
// Instances with different views of their peers choose different holders. That
// costs time only, although two holders together can start up to twice as many
// tasks as a server has slots.
func (m *Members) Holder(server netip.AddrPort, zone string) (netip.AddrPort, bool) {
	if addr, ok := m.rendezvous(server, zone, false); ok {
		return addr, true
	}
	return m.rendezvous(server, zone, true)
}

// HolderWithoutSelf returns the holder of the backend server as it would be
// without this instance, which is the one before this instance joined.
func (m *Members) HolderWithoutSelf(server netip.AddrPort, zone string) (netip.AddrPort, bool) {
	leaving := m.leaving
	m.leaving = true
	defer func() { m.leaving = leaving }()
	return m.Holder(server, zone)
}

// SeenRecently reports whether an envelope from the peer at addr arrived within
// MembersConfig.SuspectAfter, so that the peer may be starting tasks.
func (m *Members) SeenRecently(now time.Time, addr netip.AddrPort) bool {
	p := m.peers[addr]
	return p != nil && p.incarnation != 0 && now.Sub(p.lastSeen) < m.cfg.SuspectAfter
}

// rendezvous returns the live instance of the highest hash weight for server,
// of zone only unless anyZone is set. Equal weights go to the lower address.
func (m *Members) rendezvous(server netip.AddrPort, zone string, anyZone bool) (best netip.AddrPort, ok bool) {
	var highest uint64
	consider := func(addr netip.AddrPort) {
		w := hashWeight(addr, server)
		if !ok || w > highest || (w == highest && addr.Compare(best) < 0) {
			best, highest, ok = addr, w, true
		}
	}
	if !m.leaving && (anyZone || m.cfg.Zone == zone) {
		consider(m.cfg.Self)
	}
	for addr, p := range m.peers {
		if p.state == stateLive && (anyZone || p.zone == zone) {
			consider(addr)
		}
	}
	return best, ok
}

// hashWeight returns the rendezvous weight of an instance for a backend server.
func hashWeight(instance, server netip.AddrPort) uint64 {
	var buf [64]byte
	b := instance.AppendTo(buf[:0])
	b = append(b, '|')
	b = server.AppendTo(b)
	return xxhash.Sum64(b)
}
