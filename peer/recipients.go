package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// witnesses is the number of instances of other zones that are queried, beside those of
// the own zone, if each zone has its own leader. The first query of a process goes to as
// many instances of its zone.
const witnesses = 3

// Recipients returns the addresses of the instances to which a heartbeat is sent at now.
//
// If one instance leads all zones, these are all. Otherwise the heartbeats of all leaders
// together would load every instance with the size of the whole system. A leader then
// sends its heartbeats to the instances of its own zone and of the zones that it leads, to
// the other leaders and, less often, to the instances of a zone of which it knows no live
// leader. An instance that looks for a leader queries its zone and a few others; while it
// lets preferred instances look first, it queries only the heaviest of these.
func (l *Leadership) Recipients(now time.Time) []netip.AddrPort {
	all := l.Members()
	if !l.leaderPerZone {
		return all
	}
	if preferred := l.preferredInstances(); !l.Leading() && now.Sub(l.leaderlessSince) < l.queryDelay() {
		return preferred[:min(len(preferred), witnesses)]
	}
	near := map[string]bool{l.cfg.Zone: true}
	leaders := make(map[netip.AddrPort]bool)
	unled := make(map[string]bool)
	for _, zone := range l.cfg.Zones {
		c, known := l.claims[zone]
		switch {
		case known && c.Leader == l.cfg.Self:
			near[zone] = true
		case known && c.Leader.IsValid():
			leaders[c.Leader] = true
			unled[zone] = !l.isLive(now, c)
		default:
			unled[zone] = true
		}
	}
	remote := l.Leading() && now.Sub(l.remoteHeartbeatAt) >= remoteHeartbeatEvery
	if remote {
		l.remoteHeartbeatAt = now
	}
	var to, others []netip.AddrPort
	for _, addr := range all {
		zone := l.members[addr].zone
		switch {
		case near[zone], leaders[addr], remote && unled[zone]:
			to = append(to, addr)
		default:
			others = append(others, addr)
		}
	}
	if !l.Leading() {
		to = append(to, l.chooseWitnesses(others)...)
	}
	return to
}

// chooseWitnesses returns a few of others, and different ones for each query.
func (l *Leadership) chooseWitnesses(others []netip.AddrPort) []netip.AddrPort {
	if len(others) <= witnesses {
		return others
	}
	chosen := make([]netip.AddrPort, witnesses)
	for n := range chosen {
		chosen[n] = others[(l.queries*witnesses+n)%len(others)]
	}
	return chosen
}

// queryDue reports whether this instance has no leader and is to query others now.
func (l *Leadership) queryDue(now time.Time) bool {
	if l.leaderlessSince.IsZero() || now.Sub(l.queriedAt) < queryEvery {
		return false
	}
	return l.firstQuery() || now.Sub(l.leaderlessSince) >= l.queryDelay()
}

// firstQuery reports whether this process has sent no query and known no leader of its
// zone yet. It then queries the instances that are most likely to lead.
func (l *Leadership) firstQuery() bool {
	return l.queries == 0 && l.claims[l.cfg.Zone].Term == 0 && len(l.members) > 0
}

// Prospective reports whether this instance is to be the first leader of its zone, as far
// as it knows: it knows other instances, but no leader yet, and none that is preferred.
func (l *Leadership) Prospective() bool {
	return l.claims[l.cfg.Zone].Term == 0 && len(l.members) > 0 && !l.leaving && len(l.preferredInstances()) == 0
}

// queryDelay returns the time for which this instance lets those that are preferred as
// leaders look for a leader first.
func (l *Leadership) queryDelay() time.Duration {
	return min(time.Duration(len(l.preferredInstances()))*queryStagger, maxQueryDelay)
}

// preferredInstances returns the known instances that are preferred to this one as leader
// of its zone, by what is known of their machines, the heaviest first.
func (l *Leadership) preferredInstances() []netip.AddrPort {
	var preferred []netip.AddrPort
	for addr, m := range l.members {
		if m.leaving || (l.leaderPerZone && m.zone != l.cfg.Zone) || l.claims[l.cfg.Zone].Leader == addr {
			continue
		}
		if m.weight > l.cfg.Weight || (m.weight == l.cfg.Weight && addr.Compare(l.cfg.Self) < 0) {
			preferred = append(preferred, addr)
		}
	}
	slices.SortFunc(preferred, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(l.members[b].weight, l.members[a].weight), a.Compare(b))
	})
	return preferred
}
