package peer

import (
	"net/netip"
	"slices"
	"time"
)

// Times of a Leadership.
const (
	// LeaderHeartbeatEvery is the time between a leader's beats to each instance.
	LeaderHeartbeatEvery = 100 * time.Millisecond
	// LeaderTimeout is the time without a beat after which a leader is taken for
	// gone.
	LeaderTimeout = 450 * time.Millisecond
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

// muchHeavier is the factor by which an instance must outweigh a leader of its own
// zone to replace it.
const muchHeavier = 1.5

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
	// LastSeen is when the leader was last heard.
	LastSeen time.Time
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
	// table is the revision of this instance's worker table, or 0.
	table uint64
}

// standing is what is known of another instance.
type standing struct {
	zone  string
	heard time.Time
	// replied is when it last answered a question of this instance.
	replied time.Time
	// steadySince is when it was first heard after its last silence.
	steadySince time.Time
	// listed is when it became known, or another instance last named it.
	listed time.Time
	// hears are the zones whose leaders it hears, by the time of its beat.
	hears map[string]uint64
	// leads are the zones that it leads.
	leads   map[string]bool
	leaving bool
	// weight is what its machine can do, in thousandths of a core.
	weight int
	// blank says that it knows no worker.
	blank bool
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
	return c.Leader == l.cfg.Self || now.Sub(c.LastSeen) < LeaderTimeout
}

// LastSeen returns when addr was last heard. This instance hears itself.
func (l *Leadership) LastSeen(now time.Time, addr netip.AddrPort) time.Time {
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

// Resumed gives up all zones after this process stood still.
func (l *Leadership) Resumed(now time.Time) {
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
	c.LastSeen = now
	l.claims[zone] = c
}

// Leave makes this instance claim no zone any more, and tell the others that
// they are to replace it.
func (l *Leadership) Leave() { l.leaving = true }

// SetLeaderPerZone sets whether each zone is to have a leader of its own, because one
// instance could not lead all.
func (l *Leadership) SetLeaderPerZone(apart bool) { l.apart = apart }

// SetTableRevision sets the newest revision of this instance's worker table. An instance
// that knows no worker, at revision 0, leads only if all others know none.
func (l *Leadership) SetTableRevision(revision uint64) { l.table = revision }

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
		if !claimed && now.Sub(l.beatAt) < LeaderHeartbeatEvery {
			return nil
		}
		l.beatAt = now
		beat := l.Heartbeat(now)
		l.list(now, beat)
		return beat
	}
	if !l.silentSince.IsZero() && now.Sub(l.polledAt) >= pollEvery {
		l.polledAt = now
		beat := l.Heartbeat(now)
		beat.Seeking = true
		return beat
	}
	return nil
}

// SetTableAhead notes whether the instance at addr has entries of the worker table
// that this one lacks. Its zones are not taken over meanwhile.
func (l *Leadership) SetTableAhead(addr netip.AddrPort, is bool) {
	if m := l.members[addr]; m != nil {
		m.outdated = is
	}
}
