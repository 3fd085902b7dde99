package peer

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// inherit claims the zones of a leader that is leaving, and that are still its.
func (l *Leadership) inherit(now time.Time, from netip.AddrPort, leads []*Lead) {
	for _, lead := range leads {
		if c := l.claims[lead.Zone]; c.Leader == from && c.Term == lead.Term {
			l.claim(now, lead.Zone)
		}
	}
	l.beatAt = time.Time{}
}

// successor returns the instance that is to lead after this one, or nothing.
func (l *Leadership) successor(now time.Time) string {
	var best netip.AddrPort
	for _, addr := range l.Members() {
		m := l.members[addr]
		if m.leaving || now.Sub(m.heard) > LeaderTimeout || (l.apart && m.zone != l.cfg.Zone) {
			continue
		}
		if !best.IsValid() || m.before(l.members[best]) {
			best = addr
		}
	}
	if !best.IsValid() {
		return ""
	}
	return best.String()
}

// before reports whether m is to lead rather than other, if not by address.
func (m *standing) before(other *standing) bool {
	if m.blank != other.blank {
		return other.blank
	}
	return m.weight > other.weight
}

// outranked reports whether the instance at addr comes before this one.
func (l *Leadership) outranked(addr netip.AddrPort, m *standing) bool {
	self := &standing{weight: l.cfg.Weight, blank: l.table == 0}
	if m.before(self) || self.before(m) {
		return m.before(self)
	}
	return addr.Compare(l.cfg.Self) < 0
}

// comeHome claims this instance's zone from a leader of another zone, or one whose
// machine can do far less, if zones are led apart and no other instance of the zone
// comes first. It reports whether it did.
func (l *Leadership) comeHome(now time.Time) bool {
	c := l.claims[l.cfg.Zone]
	leader := l.members[c.Leader]
	if !l.apart || l.leaving || leader == nil || leader.outdated {
		return false
	}
	light := float64(leader.weight)*muchHeavier <= float64(l.cfg.Weight)
	if leader.zone == l.cfg.Zone && !light {
		return false
	}
	if leader.steadySince.IsZero() || now.Sub(leader.steadySince) < steady {
		return false
	}
	for addr, m := range l.members {
		if m.zone == l.cfg.Zone && !m.leaving && now.Sub(m.listed) < 2*listEvery && l.outranked(addr, m) {
			return false
		}
	}
	l.claim(now, l.cfg.Zone)
	return true
}

// seek claims this instance's zone if its leader is gone and it is the one to
// replace it. It reports whether it did.
func (l *Leadership) seek(now time.Time) bool {
	if c, ok := l.claims[l.cfg.Zone]; ok && l.fresh(now, c) {
		l.silentSince = time.Time{}
		return l.comeHome(now)
	}
	if l.silentSince.IsZero() {
		l.silentSince = now
		l.polledAt = time.Time{}
		return false
	}
	if l.leaving {
		return false
	}
	asked := now.Sub(l.silentSince)
	rank, confirmed := l.poll()
	if !confirmed {
		unknown := l.claims[l.cfg.Zone].Term == 0 && asked > fencedFor
		if asked < alone || !(l.deserted(now, l.cfg.Zone) || unknown) {
			return false
		}
		l.claim(now, l.cfg.Zone)
		return true
	}
	if asked < pollFor+time.Duration(rank)*rankDelay {
		return false
	}
	l.succeed(now, l.claims[l.cfg.Zone].Leader)
	return true
}

// succeed claims this instance's zone, and those that the former leader led as
// well and that an instance has answered from.
func (l *Leadership) succeed(now time.Time, former netip.AddrPort) {
	for _, zone := range l.cfg.Zones {
		c, ok := l.claims[zone]
		same := !l.apart && (!ok || c.Leader == former) && l.answered(zone)
		if zone == l.cfg.Zone || same {
			l.claim(now, zone)
		}
	}
}

// answered reports whether an instance of zone has answered since this one began
// to seek, and hears no leader of the zone.
func (l *Leadership) answered(zone string) bool {
	for _, m := range l.members {
		if _, hears := m.hears[zone]; m.zone == zone && m.heard.After(l.silentSince) && !hears {
			return true
		}
	}
	return false
}

// poll looks at the answers since this instance began to seek. It returns the
// number of instances that are to claim the zone before this one, and whether
// somebody answered and nobody hears a leader of the zone.
func (l *Leadership) poll() (rank int, confirmed bool) {
	for addr, m := range l.members {
		if !m.heard.After(l.silentSince) {
			continue
		}
		if _, hears := m.hears[l.cfg.Zone]; hears {
			return 0, false
		}
		// What another one asks may be from before it found a leader.
		confirmed = confirmed || m.replied.After(l.silentSince)
		rival := m.zone == l.cfg.Zone || !l.apart
		if rival && !m.leaving && l.outranked(addr, m) {
			rank++
		}
	}
	return rank, confirmed
}

// merge takes over the zones of other leaders that this one comes before, and
// those without live instances. It reports whether it did.
func (l *Leadership) merge(now time.Time) bool {
	claimed := false
	led := l.ledBy()
	for _, zone := range l.cfg.Zones {
		c, ok := l.claims[zone]
		if ok && c.Leader == l.cfg.Self {
			continue
		}
		orphan := l.orphan(now, zone, c) && l.deserted(now, zone)
		if orphan || l.unled(now, zone) || l.yields(now, c, led) || l.outlived(now, zone, c, led) {
			l.claim(now, zone)
			claimed = true
		}
	}
	return claimed
}

// unled reports whether live instances of zone answer this one, and nobody hears
// a leader of the zone.
func (l *Leadership) unled(now time.Time, zone string) bool {
	if c, ok := l.claims[zone]; l.apart || (ok && l.fresh(now, c)) {
		return false
	}
	lives := false
	for _, m := range l.members {
		if now.Sub(m.heard) >= LeaderTimeout {
			continue
		}
		if _, hears := m.hears[zone]; hears {
			return false
		}
		lives = lives || m.zone == zone
	}
	return lives
}

// ledBy counts the zones of each leader.
func (l *Leadership) ledBy() map[netip.AddrPort]int {
	led := make(map[netip.AddrPort]int)
	for _, c := range l.claims {
		led[c.Leader]++
	}
	return led
}

// UnconfirmedZones returns the zones that this instance would lead if it knew that
// nobody else does: the zone, or this instance, may be cut off from a leader that
// is at work. The zone's workers tell.
func (l *Leadership) UnconfirmedZones(now time.Time) []string {
	if l.leaving {
		return nil
	}
	var zones []string
	for _, zone := range l.cfg.Zones {
		c := l.claims[zone]
		orphan := l.Leading() && c.Leader != l.cfg.Self && l.orphan(now, zone, c)
		own := zone == l.cfg.Zone && !l.silentSince.IsZero() && now.Sub(l.silentSince) > alone/2
		if orphan || own {
			zones = append(zones, zone)
		}
	}
	return zones
}

// RecordPoll notes whether a worker of zone that was asked has tasks, or a leader
// later than the last one known here.
func (l *Leadership) RecordPoll(now time.Time, zone string, busy bool) {
	if busy {
		l.busy[zone] = now
	} else {
		l.free[zone] = now
	}
}

// deserted reports whether the workers of zone were found to be without tasks
// and without a later leader.
func (l *Leadership) deserted(now time.Time, zone string) bool {
	return now.Sub(l.free[zone]) < orphaned && now.Sub(l.busy[zone]) > orphaned
}

// orphan reports whether zone has neither a leader nor a live instance.
func (l *Leadership) orphan(now time.Time, zone string, c Claim) bool {
	if now.Sub(l.start) < orphaned+pollFor || (!c.LastSeen.IsZero() && now.Sub(c.LastSeen) < orphaned) {
		return false
	}
	for _, m := range l.members {
		if m.zone == zone && now.Sub(m.heard) < orphaned {
			return false
		}
	}
	return true
}

// yields reports whether the leader of c is live and comes after this one.
func (l *Leadership) yields(now time.Time, c Claim, led map[netip.AddrPort]int) bool {
	return l.fresh(now, c) && l.precedes(now, c.Leader, led[c.Leader], led[l.cfg.Self])
}

// outlived reports whether an instance that comes after this one leads zone by an
// earlier claim than that of a leader that is gone since.
func (l *Leadership) outlived(now time.Time, zone string, c Claim, led map[netip.AddrPort]int) bool {
	if l.fresh(now, c) {
		return false
	}
	for addr, m := range l.members {
		if m.leads[zone] && l.precedes(now, addr, len(m.leads), led[l.cfg.Self]) {
			return true
		}
	}
	return false
}

// precedes reports whether the leader at addr, which leads some zones, is live and
// comes after this one, which leads own zones.
func (l *Leadership) precedes(now time.Time, addr netip.AddrPort, zones, own int) bool {
	m := l.members[addr]
	if m == nil || l.apart || m.outdated || m.steadySince.IsZero() || now.Sub(m.steadySince) < steady || now.Sub(m.heard) > LeaderTimeout {
		return false
	}
	if zones == own {
		return !l.outranked(addr, m)
	}
	return zones < own
}

// claim makes this instance the leader of zone.
func (l *Leadership) claim(now time.Time, zone string) {
	var highest uint64
	for _, c := range l.claims {
		highest = max(highest, c.Term)
	}
	if l.lostTerm > 0 && highest <= l.lostTerm {
		// Nobody knows the claim that workers put before this one.
		l.ahead = max(2*l.ahead, fencedLead)
	}
	l.lostTerm = 0
	wall := l.cfg.Wall.Add(now.Sub(l.start) + l.ahead)
	term := max(uint64(wall.UnixMilli()), highest>>termBits+1) << termBits
	term |= xxhash.Sum64String(l.cfg.Self.String()) & (1<<termBits - 1)
	l.claims[zone] = Claim{Leader: l.cfg.Self, Term: term, LastSeen: now}
	if zone == l.cfg.Zone {
		l.silentSince = time.Time{}
	}
}
