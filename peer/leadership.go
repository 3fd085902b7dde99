package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of a Leadership.
const (
	// BeatEvery is the time between a leader's beats to each instance.
	BeatEvery = 100 * time.Millisecond
	// Silence is the time without a beat after which a leader is taken for
	// gone.
	Silence = 450 * time.Millisecond
	// pollEvery is the time between the questions of an instance that seeks a
	// leader.
	pollEvery = 60 * time.Millisecond
	// pollFor is the time for which an instance collects answers before it
	// claims to lead, and rankDelay what each better candidate adds to it.
	pollFor   = 120 * time.Millisecond
	rankDelay = 100 * time.Millisecond
	// alone is the silence of everybody after which an instance may claim to
	// lead although nobody confirms that the leader is gone: it may be the
	// one that is cut off. Leases of a leader that has ended lapse meanwhile.
	alone = 2 * time.Second
	// fencedFor is the silence after which an instance that never knew a
	// leader claims to lead although workers have served one.
	fencedFor = 10 * time.Second
	// steady is the time for which another leader must have been heard before
	// its availability zones are taken over, and orphaned the time without a
	// leader after which a zone without live instances is.
	steady   = time.Second
	orphaned = time.Second
	// listEvery is the time between a leader's lists of the instances.
	listEvery = time.Second
	// forgetAfter is the silence after which an instance is no longer written
	// to. It makes itself known again if it lives.
	forgetAfter = 15 * time.Second
)

// termBits is the number of low bits of a term that tell claims of the same
// millisecond apart.
const termBits = 10

// fencedLead is how far beyond the present time a claim begins after a worker
// refused an earlier one: another process's clock may be ahead.
const fencedLead = 10 * time.Second

// LeadershipConfig configures a Leadership.
type LeadershipConfig struct {
	// Self is this instance's address for its peers.
	Self netip.AddrPort
	// Zone is this instance's availability zone, and Zones are all zones.
	Zone  string
	Zones []string
	// Weight is what this instance's machine can do, in thousandths of a core.
	// Heavier instances come before others.
	Weight int
	// Wall is the time of day at the start, for the first term, which must be
	// above those of earlier processes.
	Wall time.Time
}

// A Claim says who leads an availability zone.
type Claim struct {
	Leader netip.AddrPort
	// Term is higher for each later claim. Workers do nothing for a lower
	// term than the highest that they have seen.
	Term uint64
	// Heard is when the leader was last heard.
	Heard time.Time
}

// A Leadership decides which instance dispatches the jobs of an availability
// zone: one for all zones where instances hear each other, and one for each
// part that is cut off. Two may lead a zone for a moment; workers serve only
// the later one.
//
// A Leadership is not safe for concurrent use: the control goroutine owns it.
type Leadership struct {
	cfg     LeadershipConfig
	start   time.Time
	claims  map[string]Claim
	members map[netip.AddrPort]*standing
	// lostTerm is the term of the claim that workers last refused as outdated,
	// until the next claim.
	lostTerm uint64
	// ahead is how far terms run ahead of the time of day.
	ahead time.Duration
	// free and busy are when a worker of a zone was last found without tasks,
	// and with a later leader or tasks.
	free, busy map[string]time.Time
	// listedAt is when the members were last listed in a beat.
	listedAt time.Time
	// silentSince is when this instance began to seek a leader of its zone.
	silentSince time.Time
	polledAt    time.Time
	beatAt      time.Time
	leaving     bool
	apart       bool
}

// standing is what is known of another instance.
type standing struct {
	zone  string
	heard time.Time
	// steadySince is when it was first heard after its last silence.
	steadySince time.Time
	// listed is when it became known, or another instance last named it.
	listed time.Time
	// hears are the zones whose leaders it hears, by the time of its beat.
	hears   map[string]uint64
	leaving bool
	// weight is what its machine can do, in thousandths of a core.
	weight int
	// outdated says that the instance has entries of the worker table that
	// this one lacks.
	outdated bool
}

// NewLeadership returns a Leadership that knows no other instance.
func NewLeadership(now time.Time, cfg LeadershipConfig) *Leadership {
	l := &Leadership{
		cfg:         cfg,
		start:       now,
		claims:      make(map[string]Claim),
		members:     make(map[netip.AddrPort]*standing),
		free:        make(map[string]time.Time),
		busy:        make(map[string]time.Time),
		silentSince: now,
	}
	return l
}

// AddMember makes an instance known.
func (l *Leadership) AddMember(now time.Time, addr netip.AddrPort, zone string) {
	if addr == l.cfg.Self {
		return
	}
	if m := l.members[addr]; m != nil {
		m.listed = now
		return
	}
	l.members[addr] = &standing{zone: zone, listed: now}
}

// setWeight notes the weight of an instance, as another one has heard it.
func (l *Leadership) setWeight(addr netip.AddrPort, weight int) {
	if m := l.members[addr]; m != nil {
		m.weight = weight
	}
}

// Leads returns the term with which this instance leads zone.
func (l *Leadership) Leads(zone string) (uint64, bool) {
	c, ok := l.claims[zone]
	return c.Term, ok && c.Leader == l.cfg.Self
}

// Leading reports whether this instance leads any zone.
func (l *Leadership) Leading() bool {
	for _, c := range l.claims {
		if c.Leader == l.cfg.Self {
			return true
		}
	}
	return false
}

// Claim returns the latest known claim to zone, and whether its leader was
// heard within Silence.
func (l *Leadership) Claim(now time.Time, zone string) (Claim, bool) {
	c, ok := l.claims[zone]
	return c, ok && l.fresh(now, c)
}

func (l *Leadership) fresh(now time.Time, c Claim) bool {
	return c.Leader == l.cfg.Self || now.Sub(c.Heard) < Silence
}

// Heard returns when addr was last heard. This instance hears itself.
func (l *Leadership) Heard(now time.Time, addr netip.AddrPort) time.Time {
	if addr == l.cfg.Self {
		return now
	}
	if m := l.members[addr]; m != nil {
		return m.heard
	}
	return time.Time{}
}

// Zone returns the availability zone of the instance at addr, or nothing if it
// is not known.
func (l *Leadership) Zone(addr netip.AddrPort) string {
	if addr == l.cfg.Self {
		return l.cfg.Zone
	}
	if m := l.members[addr]; m != nil {
		return m.zone
	}
	return ""
}

// Members returns the addresses of the known instances but this one, in order.
func (l *Leadership) Members() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(l.members))
	for addr := range l.members {
		all = append(all, addr)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// Fenced gives zone up, because a worker has served a later claim.
func (l *Leadership) Fenced(now time.Time, zone string) {
	c, ok := l.claims[zone]
	if !ok || c.Leader != l.cfg.Self {
		return
	}
	l.lostTerm = max(l.lostTerm, c.Term)
	l.giveUp(now, zone)
}

// Woke gives up all zones after this process stood still.
func (l *Leadership) Woke(now time.Time) {
	for zone, c := range l.claims {
		if c.Leader == l.cfg.Self {
			l.giveUp(now, zone)
		}
	}
	for _, m := range l.members {
		m.steadySince = time.Time{}
	}
	l.silentSince = now
}

// giveUp waits for another leader of zone, from now.
func (l *Leadership) giveUp(now time.Time, zone string) {
	c := l.claims[zone]
	c.Leader = netip.AddrPort{}
	c.Heard = now
	l.claims[zone] = c
}

// Leave makes this instance claim no zone any more, and tell the others that
// they are to replace it.
func (l *Leadership) Leave() { l.leaving = true }

// Receive takes a beat from an instance of zone, and returns the answer to it
// or nil.
func (l *Leadership) Receive(now time.Time, from netip.AddrPort, zone string, leaving bool, b *Beat) *Beat {
	if from == l.cfg.Self {
		return nil
	}
	l.AddMember(now, from, zone)
	m := l.members[from]
	if now.Sub(m.heard) > Silence {
		m.steadySince = now
	}
	m.zone, m.heard, m.leaving, m.weight = zone, now, leaving, int(b.Weight)
	m.hears = make(map[string]uint64, len(b.Hears))
	for _, h := range b.Hears {
		m.hears[h.Zone] = h.Term
		l.takeHeard(now, h)
	}
	for _, lead := range b.Leads {
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
	reply := l.beat(now)
	reply.Reply = true
	return reply
}

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
		if m.leaving || now.Sub(m.heard) > Silence || (l.apart && m.zone != l.cfg.Zone) {
			continue
		}
		if !best.IsValid() || m.weight > l.members[best].weight {
			best = addr
		}
	}
	if !best.IsValid() {
		return ""
	}
	return best.String()
}

// outranked reports whether the instance at addr comes before this one.
func (l *Leadership) outranked(addr netip.AddrPort, m *standing) bool {
	if m.weight != l.cfg.Weight {
		return m.weight > l.cfg.Weight
	}
	return addr.Compare(l.cfg.Self) < 0
}

// SetApart sets whether each zone is to have a leader of its own, because one
// instance could not lead all.
func (l *Leadership) SetApart(apart bool) { l.apart = apart }

// comeHome claims this instance's zone from a leader of another zone, if zones
// are led apart and no other instance of the zone comes first. It reports whether
// it did.
func (l *Leadership) comeHome(now time.Time) bool {
	c := l.claims[l.cfg.Zone]
	outsider := l.members[c.Leader]
	if !l.apart || l.leaving || outsider == nil || outsider.zone == l.cfg.Zone || outsider.outdated {
		return false
	}
	if outsider.steadySince.IsZero() || now.Sub(outsider.steadySince) < steady {
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
	l.claims[lead.Zone] = Claim{Leader: from, Term: lead.Term, Heard: heard}
}

// takeHeard takes a claim that another instance has heard.
func (l *Leadership) takeHeard(now time.Time, h *Lead) {
	leader, err := netip.ParseAddrPort(h.Leader)
	if err != nil || leader == l.cfg.Self || h.Term <= l.claims[h.Zone].Term {
		return
	}
	l.claims[h.Zone] = Claim{Leader: leader, Term: h.Term, Heard: now.Add(-time.Duration(h.AgeNanos))}
}

// Tick moves what depends on the time. It returns the beat that is due to all
// members, or nil.
func (l *Leadership) Tick(now time.Time) *Beat {
	for addr, m := range l.members {
		if now.Sub(m.heard) > forgetAfter && now.Sub(m.listed) > forgetAfter {
			delete(l.members, addr)
		}
	}
	claimed := l.seek(now)
	if l.Leading() && !l.leaving {
		claimed = l.merge(now) || claimed
	}
	if l.Leading() {
		if !claimed && now.Sub(l.beatAt) < BeatEvery {
			return nil
		}
		l.beatAt = now
		beat := l.beat(now)
		l.list(now, beat)
		return beat
	}
	if !l.silentSince.IsZero() && now.Sub(l.polledAt) >= pollEvery {
		l.polledAt = now
		beat := l.beat(now)
		beat.Seeking = true
		return beat
	}
	return nil
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
		same := ok && !l.apart && former.IsValid() && c.Leader == former && l.answered(zone)
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
		confirmed = true
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
		if orphan || l.yields(now, c, led) {
			l.claim(now, zone)
			claimed = true
		}
	}
	return claimed
}

// ledBy counts the zones of each leader.
func (l *Leadership) ledBy() map[netip.AddrPort]int {
	led := make(map[netip.AddrPort]int)
	for _, c := range l.claims {
		led[c.Leader]++
	}
	return led
}

// Doubtful returns the zones that this instance would lead if it knew that
// nobody else does: the zone, or this instance, may be cut off from a leader that
// is at work. The zone's workers tell.
func (l *Leadership) Doubtful(now time.Time) []string {
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

// Found notes whether a worker of zone that was asked has tasks, or a leader
// later than the last one known here.
func (l *Leadership) Found(now time.Time, zone string, busy bool) {
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

// Outdated notes whether the instance at addr has entries of the worker table
// that this one lacks. Its zones are not taken over meanwhile.
func (l *Leadership) Outdated(addr netip.AddrPort, is bool) {
	if m := l.members[addr]; m != nil {
		m.outdated = is
	}
}

// orphan reports whether zone has neither a leader nor a live instance.
func (l *Leadership) orphan(now time.Time, zone string, c Claim) bool {
	if now.Sub(l.start) < orphaned+pollFor || (!c.Heard.IsZero() && now.Sub(c.Heard) < orphaned) {
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
	m := l.members[c.Leader]
	if m == nil || l.apart || m.outdated || !l.fresh(now, c) || m.steadySince.IsZero() || now.Sub(m.steadySince) < steady || now.Sub(m.heard) > Silence {
		return false
	}
	order := cmp.Compare(led[c.Leader], led[l.cfg.Self])
	if order == 0 {
		return !l.outranked(c.Leader, m)
	}
	return order < 0
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
	l.claims[zone] = Claim{Leader: l.cfg.Self, Term: term, Heard: now}
	if zone == l.cfg.Zone {
		l.silentSince = time.Time{}
	}
}

// Beat returns this instance's view, to be sent at once.
func (l *Leadership) Beat(now time.Time) *Beat { return l.beat(now) }

// beat returns this instance's view.
func (l *Leadership) beat(now time.Time) *Beat {
	b := &Beat{Weight: uint32(l.cfg.Weight)}
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
				Zone: zone, Term: c.Term, Leader: c.Leader.String(), AgeNanos: int64(now.Sub(c.Heard)),
			})
		}
	}
	return b
}
