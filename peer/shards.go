package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxShards is the largest number of shards of a zone. A heartbeat has eight bits for it.
const MaxShards = 32

const (
	// emptyShardTimeout is the time for which a shard must have had no instance before an
	// instance of another shard joins it, and emptyShardCheckInterval the time between two
	// checks.
	emptyShardTimeout       = 5 * time.Second
	emptyShardCheckInterval = time.Second
)

// shardCountBits is the number of low bits of Beat.shards that hold the number of shards.
// The others hold the revision.
const shardCountBits = 8

// A sharding is a decision on the number of shards of each zone.
//
// Decisions are ordered: the one with the higher revision is the later, and of two with the
// same revision, which two leaders made without knowing of each other, the one with more
// shards counts. Revision 0 is what an instance assumes by itself.
type sharding struct {
	revision uint32
	count    int
}

// encode returns s as Beat.shards.
func (s sharding) encode() uint32 { return s.revision<<shardCountBits | uint32(s.count) }

// decodeSharding decodes Beat.shards, which is 0 if the sender's version does not know shards.
// It returns false if the number of shards is not valid.
func decodeSharding(encoded uint32) (sharding, bool) {
	if encoded == 0 {
		return sharding{count: 1}, true
	}
	s := sharding{revision: encoded >> shardCountBits, count: int(encoded & (1<<shardCountBits - 1))}
	return s, s.count >= 1 && s.count <= MaxShards && s.count&(s.count-1) == 0
}

// A division is the division of the zones into shards. Shards are led as zones are: where a
// Leadership claims, leads or looks up a zone, it is a shard.
type division struct {
	sharding sharding
	// shard is the shard of this instance, shards are those of all zones, and shardsOfZone
	// the same by zone.
	shard        string
	shards       []string
	shardsOfZone map[string][]string
	// pastTerm is the highest term of the claims to shards that do not exist any more.
	pastTerm uint64
	// announceTo are the instances that are to be told of a new number of shards at once.
	announceTo []netip.AddrPort
	// emptySince is since when the shards of the own zone without instances are empty, and
	// emptyCheckedAt when that was last determined.
	emptySince     map[string]time.Time
	emptyCheckedAt time.Time
	// memberLists counts the member lists since the start.
	memberLists int
}

// shardName returns the name of a shard of zone. It contains the number of shards, so that
// claims of instances that know different numbers do not concern each other. The name of the
// only shard of a zone is that of the zone.
func shardName(zone string, index, count int) string {
	if count == 1 {
		return zone
	}
	return zone + "/" + strconv.Itoa(index) + "of" + strconv.Itoa(count)
}

// availabilityZone returns the zone of the shard with the given name, or the name itself if
// it is that of a zone.
func (l *Leadership) availabilityZone(shard string) string {
	if slices.Contains(l.cfg.Zones, shard) {
		return shard
	}
	if i := strings.LastIndexByte(shard, '/'); i >= 0 {
		return shard[:i]
	}
	return shard
}

// ShardCount returns the number of shards into which this instance divides the workers of
// each zone, and the revision of the decision on it.
func (l *Leadership) ShardCount() (count int, revision uint32) {
	return l.sharding.count, l.sharding.revision
}

// Shard returns the name of the shard to which this instance belongs. It is that of the
// zone if the zone has one shard.
func (l *Leadership) Shard() string { return l.shard }

// Shards returns the names of the shards of all zones.
func (l *Leadership) Shards() []string { return l.shards }

// ShardOfWorker returns the name of the shard of the worker with the given ID in zone.
func (l *Leadership) ShardOfWorker(zone, id string) string {
	names := l.shardsOfZone[zone]
	if len(names) == 0 {
		return zone
	}
	return names[xxhash.Sum64String(id)%uint64(len(names))]
}

// AssumesShards reports whether this instance assumes the number of shards by itself, because
// it knows neither a leader nor a decision.
func (l *Leadership) AssumesShards() bool {
	return l.sharding.revision == 0 && len(l.claims) == 0 && !l.cfg.Unfenced
}

// AssumeShards sets the number of shards if AssumesShards is true.
func (l *Leadership) AssumeShards(now time.Time, count int) {
	if l.AssumesShards() {
		l.setSharding(now, sharding{count: count})
	}
}

// DecidesShards reports whether this instance is the one that decides on the number of
// shards: the leader of the first shard that has a live leader. Unfenced workers are not
// divided, because instances that know different numbers may command the same worker.
func (l *Leadership) DecidesShards(now time.Time) bool {
	if l.cfg.Unfenced || l.leaving || l.hasPeerWithoutShards(now, true) {
		return false
	}
	for _, shard := range l.shards {
		if c, ok := l.claims[shard]; ok && l.isLive(now, c) {
			return c.Leader == l.cfg.Self
		}
	}
	return false
}

// hasPeerWithoutShards reports whether an instance is live whose version does not know
// shards: it would replace the leaders of the shards of its zone. A leader says in its
// heartbeats whether one of its followers is such an instance. Other leaders count only if
// leaders is set, so that two of them do not refer to each other.
func (l *Leadership) hasPeerWithoutShards(now time.Time, leaders bool) bool {
	for _, m := range l.members {
		if m.withoutShards && now.Sub(m.lastSeen) < LeaderTimeout && (leaders || len(m.leads) == 0) {
			return true
		}
	}
	return false
}

// encodedSharding returns Beat.shards of a heartbeat that is sent at now.
func (l *Leadership) encodedSharding(now time.Time) uint32 {
	if l.sharding == (sharding{count: 1}) && l.Leading() && l.hasPeerWithoutShards(now, false) {
		return 0
	}
	return l.sharding.encode()
}

// DecideShards sets the number of shards for all instances. They learn of it from
// heartbeats.
func (l *Leadership) DecideShards(now time.Time, count int) {
	l.setSharding(now, sharding{revision: l.sharding.revision + 1, count: count})
}

// followSharding adopts the number of shards of the sender of b if its decision is later
// than the one known here. A number that the sender assumed by itself counts only if the
// sender leads.
func (l *Leadership) followSharding(now time.Time, b *Beat) {
	theirs, ok := decodeSharding(b.Shards)
	if !ok || l.cfg.Unfenced {
		return
	}
	equal := theirs.revision == l.sharding.revision && len(b.Leads) > 0
	if theirs.revision > l.sharding.revision || (equal && (theirs.count > l.sharding.count || !l.Leading())) {
		l.setSharding(now, theirs)
	}
}

// setSharding divides the zones as s says. Unless the number of shards stays, this instance
// gives up all that it leads, because its claims are to shards that do not exist any more.
func (l *Leadership) setSharding(now time.Time, s sharding) {
	if s.count == l.sharding.count {
		l.sharding = s
		return
	}
	if l.Leading() {
		l.announceTo = l.Recipients(now)
	}
	for _, c := range l.claims {
		l.pastTerm = max(l.pastTerm, c.Term)
	}
	l.sharding = s
	l.nameShards()
	l.leaderPerZone = l.leaderPerZone || s.count > 1
	clear(l.claims)
	clear(l.replaced)
	clear(l.emptySince)
	l.assignInstances()
	l.leaderlessSince, l.queriedAt = now, time.Time{}
}

// nameShards sets the names of the shards of all zones.
func (l *Leadership) nameShards() {
	l.shards = l.shards[:0:0]
	l.shardsOfZone = make(map[string][]string, len(l.cfg.Zones))
	for _, zone := range l.cfg.Zones {
		for n := range l.sharding.count {
			name := shardName(zone, n, l.sharding.count)
			l.shards = append(l.shards, name)
			l.shardsOfZone[zone] = append(l.shardsOfZone[zone], name)
		}
	}
}

// assignInstances assigns a shard to this instance and to each known one, anew except to
// those that have declared theirs. Instances with the same list of others assign alike.
func (l *Leadership) assignInstances() {
	var open []netip.AddrPort
	for addr, m := range l.members {
		if slices.Contains(l.shards, m.declared) {
			m.zone = m.declared
			continue
		}
		m.zone = l.availabilityZone(m.zone)
		open = append(open, addr)
	}
	l.shard = l.cfg.Zone
	open = append(open, l.cfg.Self)
	slices.SortFunc(open, l.compareCandidates)
	sizes := l.shardSizes()
	for _, addr := range open {
		if addr == l.cfg.Self {
			l.shard = l.smallestShard(l.cfg.Zone, sizes)
			sizes.add(l.shard, l.cfg.Weight)
			continue
		}
		m := l.members[addr]
		m.zone = l.smallestShard(m.zone, sizes)
		sizes.add(m.zone, m.weight)
	}
}

// shardSizes holds, by shard, the number of known instances and the sum of their weights.
type shardSizes struct{ counts, weights map[string]int }

func (s shardSizes) add(shard string, weight int) {
	s.counts[shard]++
	s.weights[shard] += weight
}

// shardSizes returns the sizes of all shards, with this instance.
func (l *Leadership) shardSizes() shardSizes {
	sizes := shardSizes{counts: make(map[string]int), weights: make(map[string]int)}
	sizes.add(l.shard, l.cfg.Weight)
	for _, m := range l.members {
		sizes.add(m.zone, m.weight)
	}
	return sizes
}

// compareCandidates orders instances for the assignment to shards: by weight, so that the
// heavy ones, which lead, are spread over the shards, then by a hash of the address.
func (l *Leadership) compareCandidates(a, b netip.AddrPort) int {
	return cmp.Or(
		cmp.Compare(l.weightOf(b), l.weightOf(a)),
		cmp.Compare(xxhash.Sum64String(a.String()), xxhash.Sum64String(b.String())),
		a.Compare(b),
	)
}

func (l *Leadership) weightOf(addr netip.AddrPort) int {
	if addr == l.cfg.Self {
		return l.cfg.Weight
	}
	return l.members[addr].weight
}

// smallestShard returns the shard of zone with the fewest instances and, of several, the one
// whose instances have the least weight together. It returns zone itself if that is not
// divided. Instances receive jobs, so that shards with equally many receive alike.
func (l *Leadership) smallestShard(zone string, sizes shardSizes) string {
	names := l.shardsOfZone[zone]
	if len(names) < 2 {
		return zone
	}
	return slices.MinFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(sizes.counts[a], sizes.counts[b]), cmp.Compare(sizes.weights[a], sizes.weights[b]))
	})
}

// shardOfNew returns the shard of an instance that becomes known and that is listed with
// the name of a zone or of a shard.
func (l *Leadership) shardOfNew(listed string) string {
	if l.sharding.count == 1 || slices.Contains(l.shards, listed) {
		return listed
	}
	return l.smallestShard(l.availabilityZone(listed), l.shardSizes())
}

// DeclareShard records the shard to which the instance at addr says that it belongs.
func (l *Leadership) DeclareShard(addr netip.AddrPort, shard string) {
	m := l.members[addr]
	if m == nil {
		return
	}
	m.declared = shard
	zone := l.availabilityZone(shard)
	switch {
	case l.sharding.count == 1:
		m.zone = zone
	case slices.Contains(l.shards, shard):
		m.zone = shard
	case l.availabilityZone(m.zone) != zone:
		m.zone = l.shardOfNew(zone)
	}
}

// joinEmptyShard lets this instance join a shard of its zone that has had no instance for
// emptyShardTimeout, if it is the one to do so: the first in the order of preference, apart
// from leaders, of the shard with the most instances.
func (l *Leadership) joinEmptyShard(now time.Time) {
	names := l.shardsOfZone[l.cfg.Zone]
	if len(names) < 2 || now.Sub(l.emptyCheckedAt) < emptyShardCheckInterval || l.Leading() || l.leaving {
		return
	}
	l.emptyCheckedAt = now
	counts := l.shardSizes().counts
	largest := slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
	for _, name := range names {
		if counts[name] > 0 {
			delete(l.emptySince, name)
			continue
		}
		since, known := l.emptySince[name]
		if !known {
			l.emptySince[name] = now
		} else if now.Sub(since) >= emptyShardTimeout && l.shard == largest && counts[largest] > 1 && l.firstToMove() {
			delete(l.emptySince, name)
			l.shard = name
			l.leaderlessSince, l.queriedAt = now, time.Time{}
			return
		}
	}
}

// firstToMove reports whether no other instance of this instance's shard, apart from the
// leader, comes before this one in the order of preference.
func (l *Leadership) firstToMove() bool {
	for addr, m := range l.members {
		if m.zone == l.shard && l.claims[l.shard].Leader != addr && l.compareCandidates(addr, l.cfg.Self) < 0 {
			return false
		}
	}
	return true
}

// InstancesOfSmallestZone returns the number of known instances, with this one, of the zone
// with the fewest, apart from zones without any and from instances that are leaving. Nothing is
// received from an instance of another shard that has restarted, so that one counts as leaving
// only for unattendedAfter.
func (l *Leadership) InstancesOfSmallestZone(now time.Time) int {
	counts := map[string]int{l.cfg.Zone: 1}
	for _, m := range l.members {
		if !m.leaving || now.Sub(m.lastSeen) > unattendedAfter {
			counts[l.availabilityZone(m.zone)]++
		}
	}
	smallest := counts[l.cfg.Zone]
	for _, zone := range l.cfg.Zones {
		if n := counts[zone]; n > 0 {
			smallest = min(smallest, n)
		}
	}
	return smallest
}
