package peer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxStandbys is the number of instances of other zones that a leader without a fit
	// successor in its own zone sends heartbeats to, and standbyHeartbeatEvery the time
	// between these heartbeats: below LeaderTimeout, so that the standbys count as live.
	maxStandbys           = 2
	standbyHeartbeatEvery = 200 * time.Millisecond
)

// standbyState is what a Leadership knows about the weights that leaders need.
type standbyState struct {
	// requiredWeights are the weights that leaders of the shards need, by shard.
	requiredWeights map[string]int
	// standbyHeartbeatAt is when heartbeats were last sent to standbys, and standbyTries
	// counts those to standbys that are not known to be live.
	standbyHeartbeatAt time.Time
	standbyTries       int
}

// SetRequiredWeights sets the weight that a leader of each shard needs for the number of its
// workers. No more is required than replaceWeightRatio below the heaviest instance.
func (l *Leadership) SetRequiredWeights(required map[string]int) { l.requiredWeights = required }

// fits reports whether an instance of the given weight can command the workers of all zones.
func (l *Leadership) fits(weight int, zones ...string) bool {
	required := 0
	for _, zone := range zones {
		required += l.requiredWeights[zone]
	}
	return weight >= required || float64(weight)*replaceWeightRatio >= float64(l.HighestWeight())
}

// ledZones returns the zones that this instance leads.
func (l *Leadership) ledZones() []string {
	var led []string
	for _, zone := range l.shards {
		if c, ok := l.claims[zone]; ok && c.Leader == l.cfg.Self {
			led = append(led, zone)
		}
	}
	return led
}

// Fitness of an instance as successor of a leader of single zones, the higher the better.
const (
	// notFit is an instance of another zone that is light or leads already.
	notFit = iota
	// homeLeader is an instance of one of the zones that leads a zone already.
	homeLeader
	// homeLight is one that is too light.
	homeLight
	// remoteFit is one of another zone that is heavy enough and leads none.
	remoteFit
	// homeFit is one of the zones that is heavy enough and leads none.
	homeFit
)

// fitness returns the fitness of m as successor of this instance, which leads zones.
func (l *Leadership) fitness(m *instanceInfo, zones []string) int {
	home, idle := slices.Contains(zones, m.zone), len(m.leads) == 0
	fit := !m.noWorkers && l.fits(m.weight, zones...)
	switch {
	case home && !idle:
		return homeLeader
	case home && fit:
		return homeFit
	case home:
		return homeLight
	case idle && fit && l.needsStandby(zones):
		return remoteFit
	default:
		return notFit
	}
}

// needsStandby reports whether zones, which this instance leads, may need a leader of another
// zone: their workers call for a certain weight, and check fencing tokens.
func (l *Leadership) needsStandby(zones []string) bool {
	return !l.cfg.Unfenced && l.leaderPerZone && !l.fits(0, zones...)
}

// zoneSuccessor returns the instance that is to lead the zones of this instance in its place if
// each zone has its own leader, or an invalid address.
func (l *Leadership) zoneSuccessor(now time.Time) netip.AddrPort {
	zones := l.ledZones()
	var best netip.AddrPort
	fitness := notFit
	for _, addr := range l.Members() {
		m := l.members[addr]
		if m.leaving || now.Sub(m.lastSeen) > LeaderTimeout {
			continue
		}
		f := l.fitness(m, zones)
		if f > fitness || (f == fitness && best.IsValid() && m.ranksBefore(l.members[best])) {
			best, fitness = addr, f
		}
	}
	return best
}

// standbys returns the instances of other zones to which this leader sends a heartbeat at now,
// so that one of them can be its successor. There are none while an instance of its own zone
// is a fit one. Some known to be live stay the same, and another one is tried in turn.
func (l *Leadership) standbys(now time.Time) []netip.AddrPort {
	zones := l.ledZones()
	if !l.needsStandby(zones) || now.Sub(l.standbyHeartbeatAt) < standbyHeartbeatEvery {
		return nil
	}
	var live, others []netip.AddrPort
	for _, addr := range l.Members() {
		m := l.members[addr]
		seen := now.Sub(m.lastSeen) <= LeaderTimeout
		if m.leaving && seen {
			continue
		}
		switch f := l.fitness(m, zones); {
		case f == homeFit && seen:
			return nil
		case f == remoteFit && seen:
			live = append(live, addr)
		case f == remoteFit:
			others = append(others, addr)
		}
	}
	l.standbyHeartbeatAt = now
	slices.SortFunc(live, l.compareStandbys)
	chosen := live[:min(len(live), maxStandbys)]
	if len(chosen) < maxStandbys && len(others) > 0 {
		l.standbyTries++
		chosen = append(chosen, others[l.standbyTries%len(others)])
	}
	return chosen
}

// compareStandbys orders standbys differently for each leader, so that leaders that leave at
// once name different ones.
func (l *Leadership) compareStandbys(a, b netip.AddrPort) int {
	key := func(addr netip.AddrPort) uint64 { return xxhash.Sum64String(l.cfg.Self.String() + addr.String()) }
	if key(a) < key(b) {
		return -1
	}
	return 1
}

// servesBetter reports whether the leader of this instance's zone, m, is one of another zone
// that can command the workers while this instance cannot. A leader of several zones doesn't.
func (l *Leadership) servesBetter(m *instanceInfo) bool {
	return m.zone != l.shard && len(m.leads) <= 1 && l.fits(m.weight, l.shard) && !l.fits(l.cfg.Weight, l.shard)
}
