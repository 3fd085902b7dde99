package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

const (
	// shardCheckInterval is the time between comparisons of the number of shards with the
	// one that the workers call for.
	shardCheckInterval = time.Second
	// shardSettleTime is the time for which another number must have been called for before
	// it is decided on. Each change ends all leadership and holds up all jobs for a second, and
	// the worker table of a new leader is incomplete at first.
	shardSettleTime = 5 * time.Second
)

// shardState is the division of the zones as an Instance has applied it.
type shardState struct {
	count int
	// own is the shard of this instance.
	own string
	// checkedAt is when the number of shards was last compared with the one called for.
	// wantedSince is since when wanted has been called for, or zero.
	checkedAt, wantedSince time.Time
	wanted                 int
}

// Shards describes the division of the zones as an instance knows it.
type Shards struct {
	// Count is the number of shards of each zone.
	Count int
	// Own is the name of the shard to which the instance belongs, and Index its number
	// within its zone, from 0.
	Own   string
	Index int
	// Led are the names of the shards that it leads, in order.
	Led []string
}

// Shards returns the division of the zones.
func (i *Instance) Shards() Shards {
	index := max(slices.Index(i.leadership.Shards(), i.shards.own), 0) % i.shards.count
	return Shards{Count: i.shards.count, Own: i.shards.own, Index: index, Led: slices.Sorted(maps.Keys(i.dispatcher.terms))}
}

// Equal reports whether s and t are equal.
func (s Shards) Equal(t Shards) bool {
	return s.Count == t.Count && s.Own == t.Own && slices.Equal(s.Led, t.Led)
}

// HasLeader reports whether this instance's shard has a known leader from which a
// heartbeat was received recently.
func (i *Instance) HasLeader(now time.Time) bool {
	_, ok := i.leadership.Claim(now, i.leadership.Shard())
	return ok
}

// checkShards compares the number of shards with the one that the workers call for. The
// instance that decides changes it if it has read the worker table lately; one that has just
// started, and knows no decision, assumes it.
func (i *Instance) checkShards(now time.Time) {
	if !i.leadership.AssumesShards() && now.Sub(i.shards.checkedAt) < shardCheckInterval {
		return
	}
	i.shards.checkedAt = now
	i.leadership.SetRequiredWeights(i.requiredWeights())
	count, _ := i.leadership.ShardCount()
	wanted := shardsFor(i.workersOfLargestZone(), i.leadership.InstancesOfSmallestZone(now), i.leadership.HighestWeight(), count)
	if wanted == count {
		i.shards.wantedSince = time.Time{}
		return
	}
	i.leadership.AssumeShards(now, wanted)
	if !i.leadership.DecidesShards(now) || now.Sub(i.workersReadAt) > shardSettleTime {
		i.shards.wantedSince = time.Time{}
		return
	}
	if i.shards.wanted != wanted || i.shards.wantedSince.IsZero() {
		i.shards.wanted, i.shards.wantedSince = wanted, now
		return
	}
	if now.Sub(i.shards.wantedSince) >= shardSettleTime {
		i.decideShards(now, wanted)
	}
}

// decideShards changes the number of shards for all instances.
func (i *Instance) decideShards(now time.Time, count int) {
	before, _ := i.leadership.ShardCount()
	i.effects.decide("shards-decided", i.leadership.Shard(), "shards", count, "before", before, "workers", i.workersOfLargestZone(),
		"instances", i.leadership.InstancesOfSmallestZone(now), "heaviest", i.leadership.HighestWeight())
	i.leadership.DecideShards(now, count)
	i.shards.wantedSince = time.Time{}
	i.followTerms(now)
}

// workersOfLargestZone returns the number of workers of the zone with most workers. While
// this instance knows no worker, it assumes that the zones are of equal size.
func (i *Instance) workersOfLargestZone() int {
	if len(i.dispatcher.sortedWorkers) == 0 {
		return (i.expectedWorkers + len(i.cfg.Zones) - 1) / max(len(i.cfg.Zones), 1)
	}
	counts := make(map[string]int)
	largest := 0
	for _, w := range i.dispatcher.sortedWorkers {
		counts[w.Zone]++
		largest = max(largest, counts[w.Zone])
	}
	return largest
}

// followShards applies a change of the number of shards or of this instance's shard. The
// dispatcher has given up the shards that do not exist any more.
func (i *Instance) followShards(now time.Time) {
	count, revision := i.leadership.ShardCount()
	own := i.leadership.Shard()
	if count == i.shards.count && own == i.shards.own {
		return
	}
	i.effects.decide("shard", own, "shards", count, "revision", revision, "before", i.shards.own)
	changed := count != i.shards.count
	i.shards.count, i.shards.own = count, own
	i.receiver.changeShard(now, own)
	if !changed {
		return
	}
	i.receiver.leaveShards(now)
	i.dispatcher.assignShards()
	for _, p := range i.peers {
		if len(p.ignoredZones) > 0 {
			// The ignored entries may belong to a shard of the peer now.
			clear(p.ignoredZones)
			p.receivedRevision = 0
		}
	}
}

// followDeclaredShard records the shard that a peer names in an envelope. The receiver of a
// job is an instance of the shard whose leader it forwards the job to.
func (i *Instance) followDeclaredShard(from netip.AddrPort, shard string) {
	if i.shards.count > 1 && shard != "" {
		i.leadership.DeclareShard(from, shard)
	}
}

// assignShards assigns all workers to the present shards.
func (d *dispatcher) assignShards() {
	for _, w := range d.sortedWorkers {
		w.shard = d.shardOf(w.Zone, w.ID)
	}
	d.led, d.pollAny = nil, true
}

// changeShard makes r look for the leader of another shard. When it last received something
// from the leaders of that shard does not matter for the runs of its jobs, because the leader
// of the former shard started them.
func (r *receiver) changeShard(now time.Time, shard string) {
	for _, o := range r.jobsOf(r.home) {
		if o.job.Zone != "" {
			o.job.Zone = shard
		}
	}
	r.home.name = shard
	r.home.leader = peer.Claim{}
	r.home.formerLastSeen = time.Time{}
	if r.home.leaderlessSince.IsZero() {
		r.home.leaderlessSince = now
	}
}

// requiredWeights returns the weight that the leader of each shard needs for its workers, as
// far as this instance knows them.
func (i *Instance) requiredWeights() map[string]int {
	workers := make(map[string]int)
	for _, w := range i.dispatcher.sortedWorkers {
		workers[w.shard]++
	}
	for shard, n := range workers {
		workers[shard] = requiredWeight(n)
	}
	return workers
}

// leaveShards returns the redirected jobs to the home zone, because the shards to whose
// leaders they are forwarded do not exist any more.
func (r *receiver) leaveShards(now time.Time) {
	for _, z := range r.zones[1:] {
		for _, o := range r.jobsOf(z) {
			r.returnHome(now, o, "shards-changed", o.forwards > 0)
		}
	}
	r.zones = r.zones[:1]
}
