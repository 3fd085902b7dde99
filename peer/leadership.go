package peer

import (
	"net/netip"
	"slices"
	"time"
)

// LeadershipConfig configures a Leadership.
type LeadershipConfig struct {
	// Self is this instance's address for its peers.
	Self netip.AddrPort
	// Zone is this instance's availability zone, and Zones are all zones.
	Zone  string
	Zones []string
	// Weight is the capacity of this instance's machine as a leader, in
	// thousandths of a core. Heavier instances are preferred as leaders.
	Weight int
	// Unfenced is set if workers accept commands of any term. A leader then has
	// to stop by itself before another one can replace it.
	Unfenced bool
	// Wall is the wall-clock time at the start. The first term is derived from
	// it so that it is above the terms of earlier processes.
	Wall time.Time
}

// Claim is the leadership of an availability zone by one instance.
type Claim struct {
	Leader netip.AddrPort
	// Term is higher for each later claim. A worker refuses commands with a
	// lower term than the highest that it has seen.
	Term uint64
	// LastSeen is when the leader was last seen by this instance or by the one
	// that reported the claim. It is zero if the leader left without naming a
	// successor, and the time of the release if this instance gave the claim
	// up.
	LastSeen time.Time
}

// Leadership decides which instance dispatches the jobs of an availability
// zone. Instances that can reach each other have one leader for all zones,
// unless SetLeaderPerZone is set; each part of a partitioned network has its
// own. Two instances may lead a zone for a moment, but workers accept commands
// only from the one with the higher term.
//
// A Leadership is not safe for concurrent use: the control goroutine owns it.
type Leadership struct {
	cfg   LeadershipConfig
	start time.Time
	division
	claims  map[string]Claim
	members map[netip.AddrPort]*instanceInfo
	// fencedTerm is the highest term of this instance that workers have refused
	// as outdated. It is reset to 0 by the next claim.
	fencedTerm uint64
	// termAdvance is how far terms are ahead of this instance's clock.
	termAdvance time.Duration
	// idleAt is when a polled worker of a zone last had no tasks, and busyAt
	// when one last had tasks or served a later leader.
	idleAt, busyAt map[string]time.Time
	// replaced holds, for each zone that this instance leads in place of a live
	// leader, the address of that leader.
	replaced map[string]netip.AddrPort
	// membersListedAt is when a heartbeat last contained the member list.
	membersListedAt time.Time
	// leaderlessSince is when this instance noticed that its zone has no live
	// leader. It is zero while there is one.
	leaderlessSince time.Time
	queriedAt       time.Time
	// queries counts the queries since the start.
	queries     int
	heartbeatAt time.Time
	// remoteHeartbeatAt is when the instances of zones without a known leader
	// were last among the recipients of a heartbeat.
	remoteHeartbeatAt time.Time
	// leadingSince is when this instance last began to lead, or zero.
	leadingSince  time.Time
	leaving       bool
	leaderPerZone bool
	// foreignReceivers are the instances of other zones whose jobs were redirected
	// to this leader.
	foreignReceivers map[netip.AddrPort]bool
	// tableRevision is the newest revision of this instance's worker table. It
	// is 0 if the table is empty.
	tableRevision uint64
	standbyState
}

// instanceInfo is what this process knows about another instance.
type instanceInfo struct {
	// zone is the instance's shard, as it declared it or, until then, as assigned here.
	zone string
	// declared is the shard that the instance declared last, or "".
	declared string
	// withoutShards is set if the instance's version does not know shards.
	withoutShards bool
	lastSeen      time.Time
	// repliedAt is when the instance's last reply to a heartbeat of this
	// process arrived.
	repliedAt time.Time
	// confirmedAt is when this process sent the latest heartbeat that the
	// instance has answered.
	confirmedAt time.Time
	// seenSince is the start of the current period without a pause longer than
	// LeaderTimeout between heartbeats. It is zero after this process was
	// paused.
	seenSince time.Time
	// listedAt is when the instance became known or was last listed by another
	// one.
	listedAt time.Time
	// knownLeaders holds the terms of the zones of which the instance knew a
	// live leader other than itself, by its last heartbeat.
	knownLeaders map[string]uint64
	// leads holds the zones that the instance leads.
	leads   map[string]bool
	leaving bool
	// weight is the capacity of the instance's machine in thousandths of a
	// core.
	weight int
	// leaderPerZone is set if the instance wants a leader for each zone.
	leaderPerZone bool
	// noWorkers is set if the instance's worker table is empty.
	noWorkers bool
	// tableAhead is set if the instance has entries of the worker table that
	// this process lacks.
	tableAhead bool
}

// NewLeadership returns a Leadership that knows no other instance.
func NewLeadership(now time.Time, cfg LeadershipConfig) *Leadership {
	l := &Leadership{
		cfg:             cfg,
		start:           now,
		claims:          make(map[string]Claim),
		members:         make(map[netip.AddrPort]*instanceInfo),
		idleAt:          make(map[string]time.Time),
		busyAt:          make(map[string]time.Time),
		replaced:        make(map[string]netip.AddrPort),
		leaderlessSince: now,
		division:        division{sharding: sharding{count: 1}, shard: cfg.Zone, emptySince: make(map[string]time.Time)},
	}
	l.nameShards()
	return l
}

// AddMember records that the instance at addr exists. The zone of an instance
// that is already known does not change.
func (l *Leadership) AddMember(now time.Time, addr netip.AddrPort, zone string) {
	if addr == l.cfg.Self {
		return
	}
	if m := l.members[addr]; m != nil {
		m.listedAt = now
		return
	}
	l.members[addr] = &instanceInfo{zone: l.shardOfNew(zone), listedAt: now}
}

// SetWeight records the weight of the known instance at addr, as another
// instance or the store's list reports it.
func (l *Leadership) SetWeight(addr netip.AddrPort, weight int) {
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

// Claim returns the latest known claim to zone, and whether its leader is this
// instance or was seen within LeaderTimeout.
func (l *Leadership) Claim(now time.Time, zone string) (Claim, bool) {
	c, ok := l.claims[zone]
	return c, ok && l.isLive(now, c)
}

// isLive reports whether the leader of c is this instance or was seen within
// LeaderTimeout.
func (l *Leadership) isLive(now time.Time, c Claim) bool {
	return c.Leader == l.cfg.Self || now.Sub(c.LastSeen) < LeaderTimeout
}

// LastSeen returns the time of the last heartbeat from addr. It returns now for
// this instance and the zero time for an unknown one.
func (l *Leadership) LastSeen(now time.Time, addr netip.AddrPort) time.Time {
	if addr == l.cfg.Self {
		return now
	}
	if m := l.members[addr]; m != nil {
		return m.lastSeen
	}
	return time.Time{}
}

// Zone returns the shard of the instance at addr, which is its availability zone
// if that is not divided, or "" if the instance is not known.
func (l *Leadership) Zone(addr netip.AddrPort) string {
	if addr == l.cfg.Self {
		return l.shard
	}
	if m := l.members[addr]; m != nil {
		return m.zone
	}
	return ""
}

// Members returns the addresses of the known instances without this one, in
// ascending order.
func (l *Leadership) Members() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(l.members))
	for addr := range l.members {
		all = append(all, addr)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// Fenced gives up the leadership of zone because a worker has accepted a later
// claim.
func (l *Leadership) Fenced(now time.Time, zone string) {
	c, ok := l.claims[zone]
	if !ok || c.Leader != l.cfg.Self {
		return
	}
	l.fencedTerm = max(l.fencedTerm, c.Term)
	l.release(now, zone)
}

// Resumed gives up the leadership of all zones because this process was paused.
func (l *Leadership) Resumed(now time.Time) {
	for zone, c := range l.claims {
		if c.Leader == l.cfg.Self {
			l.release(now, zone)
		}
	}
	for _, m := range l.members {
		m.seenSince = time.Time{}
	}
	l.leaderlessSince = now
}

// release gives up the claim to zone. Its LastSeen becomes now, which leaves
// time for another leader to appear.
func (l *Leadership) release(now time.Time, zone string) {
	c := l.claims[zone]
	c.Leader = netip.AddrPort{}
	c.LastSeen = now
	l.claims[zone] = c
}

// Leave stops this instance from claiming zones and makes its heartbeats name a
// successor.
func (l *Leadership) Leave() { l.leaving = true }

// SetForeignReceivers sets the instances of other zones whose jobs were
// redirected to this leader. They receive its heartbeats.
func (l *Leadership) SetForeignReceivers(addrs []netip.AddrPort) {
	l.foreignReceivers = make(map[netip.AddrPort]bool, len(addrs))
	for _, addr := range addrs {
		l.foreignReceivers[addr] = true
	}
}

// SetLeaderPerZone sets whether each zone is to have a leader of its own,
// because one instance could not lead all zones.
func (l *Leadership) SetLeaderPerZone(enabled bool) {
	l.leaderPerZone = enabled || l.sharding.count > 1
}

// LeaderPerZone reports whether each zone is to have a leader of its own.
func (l *Leadership) LeaderPerZone() bool { return l.leaderPerZone }

// HighestWeight returns the weight of the heaviest known instance, or 0 if no
// weight is known.
func (l *Leadership) HighestWeight() int {
	highest := l.cfg.Weight
	for _, m := range l.members {
		highest = max(highest, m.weight)
	}
	return highest
}

// SetTableRevision sets the newest revision of this instance's worker table. An
// instance with revision 0 knows no workers, and leads only if no other
// instance knows any.
func (l *Leadership) SetTableRevision(revision uint64) { l.tableRevision = revision }

// Tick applies the passing of time. It returns the heartbeat that is due to all
// members, or nil.
func (l *Leadership) Tick(now time.Time) *Beat {
	for addr, m := range l.members {
		if now.Sub(m.lastSeen) > forgetAfter && now.Sub(m.listedAt) > forgetAfter {
			delete(l.members, addr)
		}
	}
	if len(l.announceTo) > 0 {
		return l.Heartbeat(now)
	}
	l.joinEmptyShard(now)
	claimed := l.seekLeadership(now)
	if l.Leading() && !l.leaving {
		claimed = l.takeOverZones(now) || claimed
	}
	if l.Leading() {
		if !claimed && now.Sub(l.heartbeatAt) < LeaderHeartbeatEvery {
			return nil
		}
		l.heartbeatAt = now
		heartbeat := l.Heartbeat(now)
		l.addMemberList(now, heartbeat)
		return heartbeat
	}
	if l.queryDue(now) {
		l.queriedAt = now
		l.queries++
		heartbeat := l.Heartbeat(now)
		heartbeat.Seeking = true
		return heartbeat
	}
	return nil
}

// SetTableAhead sets whether the instance at addr has entries of the worker
// table that this instance lacks. Zones of such an instance are not taken over.
func (l *Leadership) SetTableAhead(addr netip.AddrPort, ahead bool) {
	if m := l.members[addr]; m != nil {
		m.tableAhead = ahead
	}
}
