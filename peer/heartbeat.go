package peer

import (
	"net/netip"
	"time"
)

// Receive takes a beat from an instance of zone, and returns the answer to it
// or nil.
func (l *Leadership) Receive(now time.Time, from netip.AddrPort, zone string, leaving bool, b *Beat) *Beat {
	if from == l.cfg.Self {
		return nil
	}
	l.AddMember(now, from, zone)
	m := l.members[from]
	if now.Sub(m.heard) > LeaderTimeout {
		m.steadySince = now
	}
	m.zone, m.heard, m.leaving, m.weight, m.blank = zone, now, leaving, int(b.Weight), b.TableRevision == 0
	if b.Reply {
		m.replied = now
	}
	m.hears = make(map[string]uint64, len(b.Hears))
	for _, h := range b.Hears {
		m.hears[h.Zone] = h.Term
		l.takeHeard(now, h)
	}
	m.leads = make(map[string]bool, len(b.Leads))
	for _, lead := range b.Leads {
		m.leads[lead.Zone] = true
		l.takeLead(now, from, leaving && b.Successor == "", lead)
	}
	if leaving && b.Successor == l.cfg.Self.String() && !l.leaving {
		l.inherit(now, from, b.Leads)
	}
	for _, other := range b.Members {
		if addr, err := netip.ParseAddrPort(other.Address); err == nil {
			l.AddMember(now, addr, other.Zone)
			l.setWeight(addr, int(other.Weight))
		}
	}
	if b.Reply || (len(b.Leads) == 0 && !b.Seeking) {
		return nil
	}
	reply := l.Heartbeat(now)
	reply.Reply = true
	return reply
}

// takeLead takes the claim of the instance that sent it.
func (l *Leadership) takeLead(now time.Time, from netip.AddrPort, leaving bool, lead *Lead) {
	c := l.claims[lead.Zone]
	if lead.Term < c.Term {
		return
	}
	heard := now
	if leaving {
		heard = time.Time{}
	}
	l.claims[lead.Zone] = Claim{Leader: from, Term: lead.Term, LastSeen: heard}
}

// takeHeard takes a claim that another instance has heard.
func (l *Leadership) takeHeard(now time.Time, h *Lead) {
	leader, err := netip.ParseAddrPort(h.Leader)
	if err != nil || leader == l.cfg.Self || h.Term <= l.claims[h.Zone].Term {
		return
	}
	l.claims[h.Zone] = Claim{Leader: leader, Term: h.Term, LastSeen: now.Add(-time.Duration(h.AgeNanos))}
}

// list names the instances that were heard lately in a beat, at times.
func (l *Leadership) list(now time.Time, beat *Beat) {
	if now.Sub(l.listedAt) < listEvery {
		return
	}
	l.listedAt = now
	for _, addr := range l.Members() {
		if m := l.members[addr]; now.Sub(m.heard) < forgetAfter {
			beat.Members = append(beat.Members, &Member{Address: addr.String(), Zone: m.zone, Weight: uint32(m.weight)})
		}
	}
}

// Heartbeat returns this instance's view, to be sent at once.
func (l *Leadership) Heartbeat(now time.Time) *Beat {
	b := &Beat{Weight: uint32(l.cfg.Weight), TableRevision: l.table}
	if l.leaving && l.Leading() {
		b.Successor = l.successor(now)
	}
	for _, zone := range l.cfg.Zones {
		c, ok := l.claims[zone]
		switch {
		case !ok || !c.Leader.IsValid():
		case c.Leader == l.cfg.Self:
			b.Leads = append(b.Leads, &Lead{Zone: zone, Term: c.Term})
		case l.fresh(now, c):
			b.Hears = append(b.Hears, &Lead{
				Zone: zone, Term: c.Term, Leader: c.Leader.String(), AgeNanos: int64(now.Sub(c.LastSeen)),
			})
		}
	}
	return b
}
