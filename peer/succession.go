package peer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// claimFromLeaving claims those zones that a leaving leader still leads and for
// which it named this instance as its successor.
func (l *Leadership) claimFromLeaving(now time.Time, from netip.AddrPort, leads []*Lead) {
	for _, lead := range leads {
		if c := l.claims[lead.Zone]; c.Leader == from && c.Term == lead.Term && slices.Contains(l.shards, lead.Zone) {
			l.claim(now, lead.Zone)
		}
	}
	l.heartbeatAt = time.Time{}
}

// successor returns the address of the instance that is to lead in place of
// this one, or "" if there is none.
func (l *Leadership) successor(now time.Time) string {
	var best netip.AddrPort
	if l.leaderPerZone {
		best = l.zoneSuccessor(now)
	}
	for _, addr := range l.Members() {
		m := l.members[addr]
		if l.leaderPerZone || m.leaving || now.Sub(m.lastSeen) > LeaderTimeout {
			continue
		}
		if !best.IsValid() || m.ranksBefore(l.members[best]) {
			best = addr
		}
	}
	if !best.IsValid() {
		return ""
	}
	return best.String()
}

// ranksBefore reports whether m is preferred to other as a leader, apart from
// the order of addresses.
func (m *instanceInfo) ranksBefore(other *instanceInfo) bool {
	if m.noWorkers != other.noWorkers {
		return other.noWorkers
	}
	return m.weight > other.weight
}

// ranksBeforeSelf reports whether the instance at addr, which is m, is
// preferred to this instance as a leader.
func (l *Leadership) ranksBeforeSelf(addr netip.AddrPort, m *instanceInfo) bool {
	self := &instanceInfo{weight: l.cfg.Weight, noWorkers: l.tableRevision == 0}
	if m.ranksBefore(self) || self.ranksBefore(m) {
		return m.ranksBefore(self)
	}
	return addr.Compare(l.cfg.Self) < 0
}

// reclaimOwnZone claims this instance's zone if each zone has its own leader,
// the present leader is of another zone or of a far smaller weight, and no
// other instance of the zone ranks higher. A light instance leaves the zone to a
// heavy leader of another one: see servesBetter. It reports whether it made a claim.
//
// A leader that wants one leader for all zones, because it counts fewer workers,
// does not take the zone back: see shouldReplace.
func (l *Leadership) reclaimOwnZone(now time.Time) bool {
	c := l.claims[l.shard]
	leader := l.members[c.Leader]
	if !l.leaderPerZone || l.leaving || leader == nil || leader.tableAhead {
		return false
	}
	light := float64(leader.weight)*replaceWeightRatio <= float64(l.cfg.Weight)
	if leader.zone == l.shard && !light || l.servesBetter(leader) {
		return false
	}
	if leader.seenSince.IsZero() || now.Sub(leader.seenSince) < stableAfter {
		return false
	}
	for addr, m := range l.members {
		if m.zone == l.shard && !m.leaving && now.Sub(m.listedAt) < 2*listMembersEvery && l.ranksBeforeSelf(addr, m) {
			return false
		}
	}
	l.claim(now, l.shard)
	return true
}

// seekLeadership claims this instance's zone if the zone's leader is gone and
// this instance is to replace it, or if reclaimOwnZone applies. It reports
// whether it made a claim.
func (l *Leadership) seekLeadership(now time.Time) bool {
	if c, ok := l.claims[l.shard]; ok && l.isLive(now, c) {
		l.leaderlessSince = time.Time{}
		return l.reclaimOwnZone(now)
	}
	if l.leaderlessSince.IsZero() {
		l.leaderlessSince = now
		l.queriedAt = time.Time{}
		return false
	}
	if l.leaving {
		return false
	}
	waited := now.Sub(l.leaderlessSince)
	rank, confirmed := l.countReplies()
	if !confirmed {
		unknown := l.claims[l.shard].Term == 0 && waited > unknownLeaderAfter
		unused := len(l.members) == 0 || (!l.cfg.Unfenced && l.workersIdle(now, l.shard))
		if waited < unconfirmedAfter || !(unused || unknown) {
			return false
		}
		l.claim(now, l.shard)
		return true
	}
	if waited < queryFor+time.Duration(rank)*rankDelay {
		return false
	}
	l.replaceLeader(now, l.claims[l.shard].Leader)
	return true
}

// replaceLeader claims this instance's zone. Unless each zone has its own
// leader, it also claims the other zones that former led or that have no known
// leader, if confirmedLeaderless holds for them.
func (l *Leadership) replaceLeader(now time.Time, former netip.AddrPort) {
	for _, zone := range l.shards {
		c, ok := l.claims[zone]
		claimable := !l.leaderPerZone && (!ok || c.Leader == former) && l.confirmedLeaderless(zone)
		if zone == l.shard || claimable {
			l.claim(now, zone)
		}
	}
}

// confirmedLeaderless reports whether an instance of zone has sent a heartbeat
// since this instance began to look for a leader, and knows no leader of the
// zone.
func (l *Leadership) confirmedLeaderless(zone string) bool {
	for _, m := range l.members {
		if _, known := m.knownLeaders[zone]; m.zone == zone && m.lastSeen.After(l.leaderlessSince) && !known {
			return true
		}
	}
	return false
}

// countReplies evaluates the heartbeats received since this instance began to
// look for a leader. It returns the number of instances that rank before this
// one as leader of its zone, and whether at least one instance replied and none
// knows a leader of the zone.
func (l *Leadership) countReplies() (rank int, confirmed bool) {
	for addr, m := range l.members {
		if !m.lastSeen.After(l.leaderlessSince) {
			continue
		}
		if _, known := m.knownLeaders[l.shard]; known {
			return 0, false
		}
		// Only a reply confirms: a query may have been sent before its sender
		// found a leader.
		confirmed = confirmed || m.repliedAt.After(l.leaderlessSince)
		candidate := m.zone == l.shard || !l.leaderPerZone
		if candidate && !m.leaving && l.ranksBeforeSelf(addr, m) {
			rank++
		}
	}
	return rank, confirmed
}

// takeOverZones claims the zones of other leaders that this instance is to
// replace, and the zones without a leader that it may serve. It reports whether
// it made a claim.
func (l *Leadership) takeOverZones(now time.Time) bool {
	claimed := false
	for _, zone := range l.shards {
		c, ok := l.claims[zone]
		if ok && c.Leader == l.cfg.Self {
			continue
		}
		abandoned := l.unattended(now, zone, c) && l.certainlyUnused(now, zone)
		if abandoned || l.leaderless(now, zone) || l.outranksLeader(now, c) || l.heldByStaleClaim(now, zone, c) {
			l.claim(now, zone)
			claimed = true
		}
	}
	return claimed
}

// leaderless reports whether an instance of zone is live and no live instance
// knows a leader of the zone. It is false if each zone has its own leader.
func (l *Leadership) leaderless(now time.Time, zone string) bool {
	if c, ok := l.claims[zone]; l.leaderPerZone || (ok && l.isLive(now, c)) {
		return false
	}
	live := false
	for _, m := range l.members {
		if now.Sub(m.lastSeen) >= LeaderTimeout {
			continue
		}
		if _, known := m.knownLeaders[zone]; known {
			return false
		}
		live = live || m.zone == zone
	}
	return live
}

// zonesLed returns the number of zones that the instance at addr leads: for another
// instance, by its own last heartbeat. The claims that this instance knows may differ from
// that, for example if a leader that is gone has made the latest one. If two leaders counted
// each other's zones by them, each could find that it leads more zones than the other, and
// they would take the zones from each other without end.
func (l *Leadership) zonesLed(addr netip.AddrPort) int {
	n := 0
	for _, zone := range l.shards { // heartbeats with former shards may still arrive
		if addr == l.cfg.Self {
			if l.claims[zone].Leader == addr {
				n++
			}
			continue
		}
		if m := l.members[addr]; m != nil && m.leads[zone] {
			n++
		}
	}
	return n
}

// UnconfirmedZones returns the zones that this instance would lead if it were
// certain that no other instance does. The zone or this instance may be cut off
// from a leader that is still working, so the workers of these zones are to be
// polled and the outcomes passed to RecordPoll.
func (l *Leadership) UnconfirmedZones(now time.Time) []string {
	if l.leaving || l.cfg.Unfenced {
		// Unfenced workers take even a poll for the command of a leader.
		return nil
	}
	var zones []string
	for _, zone := range l.shards {
		c := l.claims[zone]
		unserved := l.Leading() && c.Leader != l.cfg.Self && l.unattended(now, zone, c)
		ownZone := zone == l.shard && !l.leaderlessSince.IsZero() && now.Sub(l.leaderlessSince) > unconfirmedAfter/2
		if unserved || ownZone {
			zones = append(zones, zone)
		}
	}
	return zones
}

// RecordPoll records the outcome of the poll of a worker of zone. The argument
// busy is true if the worker has tasks or serves a later leader than the last
// one known here.
func (l *Leadership) RecordPoll(now time.Time, zone string, busy bool) {
	if busy {
		l.busyAt[zone] = now
	} else {
		l.idleAt[zone] = now
	}
}

// workersIdle reports whether the polls of the last unattendedAfter found an
// idle worker of zone and none that had tasks or served a later leader.
func (l *Leadership) workersIdle(now time.Time, zone string) bool {
	return now.Sub(l.idleAt[zone]) < unattendedAfter && now.Sub(l.busyAt[zone]) > unattendedAfter
}

// certainlyUnused reports whether no other instance leads the workers of zone:
// they are idle or, if they may not be polled, no instance of the zone is known.
func (l *Leadership) certainlyUnused(now time.Time, zone string) bool {
	if !l.cfg.Unfenced {
		return l.workersIdle(now, zone)
	}
	for _, m := range l.members {
		if m.zone == zone {
			return false
		}
	}
	return true
}

// unattended reports whether zone has had neither a leader nor a live instance
// for unattendedAfter. It is always false shortly after the start.
func (l *Leadership) unattended(now time.Time, zone string, c Claim) bool {
	if now.Sub(l.start) < unattendedAfter+queryFor || now.Sub(l.leadingSince) < unattendedAfter || (!c.LastSeen.IsZero() && now.Sub(c.LastSeen) < unattendedAfter) {
		return false
	}
	for _, m := range l.members {
		if m.zone == zone && now.Sub(m.lastSeen) < unattendedAfter {
			return false
		}
	}
	return true
}

// outranksLeader reports whether the leader of c is live and this instance is
// to replace it.
func (l *Leadership) outranksLeader(now time.Time, c Claim) bool {
	return l.isLive(now, c) && l.shouldReplace(now, c.Leader)
}

// heldByStaleClaim reports whether the latest claim to zone, c, is of a leader
// that is gone, while another instance still leads the zone by an earlier claim
// and this instance is to replace that one.
func (l *Leadership) heldByStaleClaim(now time.Time, zone string, c Claim) bool {
	if l.isLive(now, c) {
		return false
	}
	for addr, m := range l.members {
		if m.leads[zone] && l.shouldReplace(now, addr) {
			return true
		}
	}
	return false
}

// shouldReplace reports whether the leader at addr is live, has been so for
// stableAfter, and is to be replaced by this instance. The leader of more zones
// stays. If both lead as many, the higher-ranked one stays. A leader that wants a
// leader for each zone stays, too: it would claim its zone back. Instances may
// count the workers differently.
func (l *Leadership) shouldReplace(now time.Time, addr netip.AddrPort) bool {
	m := l.members[addr]
	if m == nil || l.leaderPerZone || m.leaderPerZone || m.tableAhead || m.seenSince.IsZero() || now.Sub(m.seenSince) < stableAfter || now.Sub(m.lastSeen) > LeaderTimeout {
		return false
	}
	zones, own := l.zonesLed(addr), l.zonesLed(l.cfg.Self)
	if zones == own {
		return !l.ranksBeforeSelf(addr, m)
	}
	return zones < own
}

// claim makes this instance the leader of zone, with a term above all known
// ones.
func (l *Leadership) claim(now time.Time, zone string) {
	highest := l.pastTerm
	for _, c := range l.claims {
		highest = max(highest, c.Term)
	}
	if l.fencedTerm > 0 && highest <= l.fencedTerm {
		// No claim known here is as late as the one for which workers refused
		// the earlier term.
		l.termAdvance = max(2*l.termAdvance, fencedTermAdvance)
	}
	l.fencedTerm = 0
	wall := l.cfg.Wall.Add(now.Sub(l.start) + l.termAdvance)
	term := max(uint64(wall.UnixMilli()), highest>>termTieBits+1) << termTieBits
	term |= xxhash.Sum64String(l.cfg.Self.String()) & (1<<termTieBits - 1)
	if !l.Leading() {
		l.leadingSince = now
	}
	delete(l.replaced, zone)
	if former := l.claims[zone]; former.Leader.IsValid() && l.isLive(now, former) {
		l.replaced[zone] = former.Leader
	}
	l.claims[zone] = Claim{Leader: l.cfg.Self, Term: term, LastSeen: now}
	l.remoteHeartbeatAt = time.Time{}
	if zone == l.shard {
		l.leaderlessSince = time.Time{}
	}
}
