package peer

import (
	"net/netip"
	"slices"
	"time"
)

// witnesses is the number of instances of other zones that are queried, beside those of
// the own zone, if each zone has its own leader.
const witnesses = 3

// Recipients returns the addresses of the instances to which a heartbeat is sent at now.
//
// If one instance leads all zones, these are all. Otherwise the heartbeats of all leaders
// together would load every instance with the size of the whole system. A leader then
// sends its heartbeats to the instances of its own zone and of the zones that it leads, to
// the other leaders, to the receivers of jobs that were redirected to it and, less often, to
// the instances of a zone of which it knows no live leader and to its standbys. An instance
// that looks for a leader queries its zone and a few others.
func (l *Leadership) Recipients(now time.Time) []netip.AddrPort {
	if len(l.announceTo) > 0 {
		to := l.announceTo
		l.announceTo = nil
		return to
	}
	all := l.Members()
	if !l.leaderPerZone {
		return all
	}
	near := map[string]bool{l.shard: true}
	leaders := make(map[netip.AddrPort]bool)
	unled := make(map[string]bool)
	for _, zone := range l.shards {
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
	standbys := l.standbys(now)
	var to, others []netip.AddrPort
	for _, addr := range all {
		zone := l.members[addr].zone
		switch {
		case near[zone], leaders[addr], l.foreignReceivers[addr], remote && unled[zone],
			slices.Contains(standbys, addr):
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
	delay := min(time.Duration(l.preferredInstances())*queryStagger, maxQueryDelay)
	return now.Sub(l.leaderlessSince) >= delay
}

// preferredInstances returns the number of known instances that are preferred to this one
// as leader of its zone, by what is known of their machines.
func (l *Leadership) preferredInstances() int {
	preferred := 0
	for addr, m := range l.members {
		if m.leaving || (l.leaderPerZone && m.zone != l.shard) || l.claims[l.shard].Leader == addr {
			continue
		}
		if m.weight > l.cfg.Weight || (m.weight == l.cfg.Weight && addr.Compare(l.cfg.Self) < 0) {
			preferred++
		}
	}
	return preferred
}
