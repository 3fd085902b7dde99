package peer

import (
	"net/netip"
	"time"
)

// Receive handles a heartbeat from the instance at address from in zone. The
// argument leaving is true if that instance is shutting down. Receive returns
// the reply to send, or nil if none is due.
func (l *Leadership) Receive(now time.Time, from netip.AddrPort, zone string, leaving bool, b *Beat) *Beat {
	if from == l.cfg.Self {
		return nil
	}
	l.followSharding(now, b)
	l.AddMember(now, from, zone)
	l.DeclareShard(from, zone)
	m := l.members[from]
	if now.Sub(m.lastSeen) > LeaderTimeout {
		m.seenSince = now
	}
	m.lastSeen, m.leaving, m.weight, m.noWorkers = now, leaving, int(b.Weight), b.TableRevision == 0
	m.leaderPerZone, m.withoutShards = b.LeaderPerZone, b.Shards == 0
	if b.Reply {
		m.repliedAt = now
	}
	if sent := time.Unix(0, b.EchoNanos); b.EchoNanos != 0 && sent.After(m.confirmedAt) && !sent.After(now) {
		m.confirmedAt = sent
	}
	m.knownLeaders = make(map[string]uint64, len(b.Hears))
	for _, h := range b.Hears {
		m.knownLeaders[h.Zone] = h.Term
		l.applyReportedClaim(now, h)
	}
	m.leads = make(map[string]bool, len(b.Leads))
	for _, lead := range b.Leads {
		m.leads[lead.Zone] = true
		l.applyClaim(now, from, leaving && b.Successor == "", lead)
	}
	if leaving && b.Successor == l.cfg.Self.String() && !l.leaving {
		l.claimFromLeaving(now, from, b.Leads)
	}
	for _, other := range b.Members {
		if addr, err := netip.ParseAddrPort(other.Address); err == nil {
			l.AddMember(now, addr, other.Zone)
			l.SetWeight(addr, int(other.Weight))
		}
	}
	if b.Reply || (len(b.Leads) == 0 && !b.Seeking) {
		return nil
	}
	reply := l.Heartbeat(now)
	reply.Reply, reply.EchoNanos = true, b.SentNanos
	if l.sharding.count > 1 && !b.Seeking {
		reply.Hears = claimsTo(m.zone, reply.Hears)
	}
	return reply
}

// applyClaim records a claim that its leader sent itself, unless a claim of a
// higher term is known. The claim of a leader that leaves without a successor
// counts as expired at once.
func (l *Leadership) applyClaim(now time.Time, from netip.AddrPort, leaving bool, lead *Lead) {
	c := l.claims[lead.Zone]
	if lead.Term < c.Term {
		return
	}
	lastSeen := now
	if leaving {
		lastSeen = time.Time{}
	}
	l.claims[lead.Zone] = Claim{Leader: from, Term: lead.Term, LastSeen: lastSeen}
}

// applyReportedClaim records a claim that an instance other than its leader
// reported, if its term is higher than that of the known claim.
func (l *Leadership) applyReportedClaim(now time.Time, h *Lead) {
	leader, err := netip.ParseAddrPort(h.Leader)
	if err != nil || leader == l.cfg.Self || h.Term <= l.claims[h.Zone].Term {
		return
	}
	l.claims[h.Zone] = Claim{Leader: leader, Term: h.Term, LastSeen: now.Add(-time.Duration(h.AgeNanos))}
}

// addMemberList adds the instances that were seen within forgetAfter to
// heartbeat, at most once in listMembersEvery.
func (l *Leadership) addMemberList(now time.Time, heartbeat *Beat) {
	if now.Sub(l.membersListedAt) < listMembersEvery {
		return
	}
	l.membersListedAt = now
	l.memberLists++
	for _, addr := range l.Members() {
		if m := l.members[addr]; now.Sub(m.lastSeen) < forgetAfter && l.listed(m) {
			heartbeat.Members = append(heartbeat.Members, &Member{Address: addr.String(), Zone: m.zone, Weight: uint32(m.weight)})
		}
	}
}

// Heartbeat returns a heartbeat with this instance's current view. It is to be
// sent at once, because the ages in it refer to now.
func (l *Leadership) Heartbeat(now time.Time) *Beat {
	b := &Beat{Weight: uint32(l.cfg.Weight), TableRevision: l.tableRevision, LeaderPerZone: l.leaderPerZone, SentNanos: now.UnixNano(), Shards: l.encodedSharding(now)}
	if l.leaving && l.Leading() {
		b.Successor = l.successor(now)
	}
	for _, zone := range l.shards {
		c, ok := l.claims[zone]
		switch {
		case !ok || !c.Leader.IsValid():
		case c.Leader == l.cfg.Self:
			b.Leads = append(b.Leads, &Lead{Zone: zone, Term: c.Term})
		case l.isLive(now, c):
			b.Hears = append(b.Hears, &Lead{
				Zone: zone, Term: c.Term, Leader: c.Leader.String(), AgeNanos: int64(now.Sub(c.LastSeen)),
			})
		}
	}
	return b
}
