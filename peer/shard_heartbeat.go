package peer

import "net/netip"

// listAllEvery is the number of member lists of which one contains all instances, and not
// only those of the sender's shards, if the zones are divided. An instance is forgotten if it
// is not listed for forgetAfter, which is several times as long.
const listAllEvery = 5

// Abridge returns the claims and the members of heartbeat that are to be sent to the instance
// at to.
//
// If the zones are divided, there are many shards and leaders, and what each heartbeat says
// of all of them would be most of the traffic. The instances of the sender's shard need the
// claims to all shards; any other one receives these claims from the leader of its own.
func (l *Leadership) Abridge(to netip.AddrPort, heartbeat *Beat) (hears []*Lead, members []*Member) {
	if l.sharding.count == 1 || heartbeat.Seeking {
		return heartbeat.Hears, heartbeat.Members
	}
	shard := l.Zone(to)
	if l.isNear(shard) {
		return heartbeat.Hears, heartbeat.Members
	}
	for _, m := range heartbeat.Members {
		if l.isNear(m.Zone) {
			members = append(members, m)
		}
	}
	if len(heartbeat.Members) > 0 {
		return heartbeat.Hears, members
	}
	return claimsTo(shard, heartbeat.Hears), members
}

// isNear reports whether shard is this instance's or one that it leads.
func (l *Leadership) isNear(shard string) bool {
	return shard == l.shard || l.claims[shard].Leader == l.cfg.Self
}

// claimsTo returns those of claims that are to shard. An instance that looks for a leader
// counts on them in every heartbeat.
func claimsTo(shard string, claims []*Lead) []*Lead {
	var some []*Lead
	for _, c := range claims {
		if c.Zone == shard {
			some = append(some, c)
		}
	}
	return some
}

// listed reports whether m is part of the member list that is due.
func (l *Leadership) listed(m *instanceInfo) bool {
	return l.sharding.count == 1 || l.memberLists%listAllEvery == 0 || l.isNear(m.zone)
}
