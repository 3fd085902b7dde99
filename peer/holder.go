package peer

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holder returns the instance that starts tasks on the backend server at
// server in zone, by rendezvous hash over the live instances of the zone, or
// over all live instances if the zone has none. It returns false if this
// instance believes that there is none at all.
//
// Instances with other beliefs name other holders. That costs time: two
// holders can together start up to twice a server's slots.
func (m *Members) Holder(server netip.AddrPort, zone string) (netip.AddrPort, bool) {
	if addr, ok := m.rendezvous(server, zone, false); ok {
		return addr, true
	}
	return m.rendezvous(server, zone, true)
}

// HolderWithoutSelf returns the instance that would start tasks on the backend
// server if this instance were not there, as it was before this one came.
func (m *Members) HolderWithoutSelf(server netip.AddrPort, zone string) (netip.AddrPort, bool) {
	leaving := m.leaving
	m.leaving = true
	defer func() { m.leaving = leaving }()
	return m.Holder(server, zone)
}

// SeenRecently reports whether the peer at addr was heard lately, so that it may be
// starting tasks.
func (m *Members) SeenRecently(now time.Time, addr netip.AddrPort) bool {
	p := m.peers[addr]
	return p != nil && p.incarnation != 0 && now.Sub(p.heard) < m.cfg.SuspectAfter
}

// rendezvous returns the live instance of the highest weight for server.
func (m *Members) rendezvous(server netip.AddrPort, zone string, anyZone bool) (best netip.AddrPort, ok bool) {
	var most uint64
	consider := func(addr netip.AddrPort) {
		w := weight(addr, server)
		if !ok || w > most || (w == most && addr.Compare(best) < 0) {
			best, most, ok = addr, w, true
		}
	}
	if !m.leaving && (anyZone || m.cfg.Zone == zone) {
		consider(m.cfg.Self)
	}
	for addr, p := range m.peers {
		if p.state == lifeLive && (anyZone || p.zone == zone) {
			consider(addr)
		}
	}
	return best, ok
}

// weight is the rendezvous weight of an instance for a backend server.
func weight(instance, server netip.AddrPort) uint64 {
	var buf [64]byte
	b := instance.AppendTo(buf[:0])
	b = append(b, '|')
	b = server.AppendTo(b)
	return xxhash.Sum64(b)
}
