package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

const (
	// maxLoadAge is the age above which a received load is not used: three heartbeats
	// of its sender were lost or late.
	maxLoadAge = 300 * time.Millisecond
	// unseenTime is the time before the receipt of a load within which jobs that were
	// redirected may not be contained in it yet.
	unseenTime = 30 * time.Millisecond
	// proportionTime is the time over which a leader without workers divides its jobs
	// among the other zones.
	proportionTime = time.Second
	// maxLoadPools bounds the pools in the load of a zone. Each takes some 20 bytes of
	// each heartbeat to another leader.
	maxLoadPools = 16
)

// poolRoom is the load of one pool as the leader of another zone has sent it.
type poolRoom struct {
	capacity, free, waiting int
	wait                    time.Duration
}

// needsCapacity reports whether the zone's leader may use the free capacity of other zones.
func (r poolRoom) needsCapacity() bool { return r.free == 0 || r.waiting > 0 }

// receivedLoad is the last load that the leader of a zone has sent.
type receivedLoad struct {
	at    time.Time
	pools map[string]poolRoom
}

// redirectedWork is the capacity that a redirected job needs.
type redirectedWork struct {
	at         time.Time
	zone, pool string
	millicores int
	// work is its expected processor time in core-seconds, and until the time by which it
	// is expected to have ended if it started at once.
	work  float64
	until time.Time
}

// receivedLoads are the loads of the other zones, and what this leader has redirected to
// them since.
type receivedLoads struct {
	zones map[string]receivedLoad
	// redirected are the latest redirected jobs, in the order of their times.
	redirected []redirectedWork
	// accepted is when the last job of each pool was redirected to this leader.
	accepted map[string]time.Time
}

// receive records a load of a zone that its leader has sent.
func (l *receivedLoads) receive(now time.Time, load *peer.ZoneLoad) {
	if l.zones == nil {
		l.zones = make(map[string]receivedLoad)
	}
	pools := make(map[string]poolRoom, len(load.Pools))
	for _, p := range load.Pools {
		pools[p.Pool] = poolRoom{capacity: int(p.Millicores), free: int(p.FreeMillicores), waiting: int(p.WaitingMillicores), wait: time.Duration(p.WaitNanos)}
	}
	l.zones[load.Zone] = receivedLoad{at: now, pools: pools}
}

// room returns the load of a pool in a zone and its age, unless it is too old.
func (l *receivedLoads) room(now time.Time, zone, pool string) (poolRoom, time.Duration, bool) {
	load, known := l.zones[zone]
	age := now.Sub(load.at)
	if !known || age > maxLoadAge {
		return poolRoom{}, age, false
	}
	room, known := load.pools[pool]
	return room, age, known
}

// record records that a job was redirected.
func (l *receivedLoads) record(now time.Time, work redirectedWork) {
	l.redirected = slices.DeleteFunc(l.redirected, func(r redirectedWork) bool { return now.Sub(r.at) > proportionTime })
	l.redirected = append(l.redirected, work)
}

// redirectedSince returns the capacity that the jobs of a pool need that were redirected
// after a time to a zone or, if zone is empty, to any zone.
func (l *receivedLoads) redirectedSince(since time.Time, zone, pool string) int {
	sum := 0
	for _, r := range l.redirected {
		if r.pool == pool && (zone == "" || r.zone == zone) && r.at.After(since) {
			sum += r.millicores
		}
	}
	return sum
}

// unseenBy returns the capacity that the jobs of a pool need that were redirected to a zone
// after a time and are not expected to have ended, and the work of all jobs since that time.
func (l *receivedLoads) unseenBy(now, since time.Time, zone, pool string) (millicores int, work float64) {
	for _, r := range l.redirected {
		if r.pool != pool || r.zone != zone || !r.at.After(since) {
			continue
		}
		work += r.work
		if r.until.After(now) {
			millicores += r.millicores
		}
	}
	return millicores, work
}

// leadersNeedingCapacity returns the number of leaders that share the free capacity of zone:
// this one, and those of the others that need capacity or have sent no recent load. The
// argument others is the number of all other leaders.
func (l *receivedLoads) leadersNeedingCapacity(now time.Time, zone, pool string, others int) int {
	n := max(others, 1)
	for other := range l.zones {
		if other == zone || now.Sub(l.zones[other].at) > maxLoadAge {
			continue
		}
		if room, _, _ := l.room(now, other, pool); !room.needsCapacity() {
			n--
		}
	}
	return max(n, 1)
}

// offers returns what the other zones have for the jobs of a pool, by loads that are not too
// old. The argument others is the number of other leaders, and homeWait the expected wait at
// the end of this leader's queue.
func (l *receivedLoads) offers(now time.Time, pool string, others int, homeWait time.Duration) []redirectOffer {
	var offers []redirectOffer
	for zone := range l.zones {
		room, age, ok := l.room(now, zone, pool)
		if !ok || others == 0 {
			continue
		}
		sent, work := l.unseenBy(now, now.Add(-age-unseenTime), zone, pool)
		leaders := l.leadersNeedingCapacity(now, zone, pool, others)
		budget := 0.0
		if l.mayUseQueues(now, pool) {
			budget = queueBudget(homeWait, room.wait, room.capacity, leaders, work)
		}
		offers = append(offers, redirectOffer{
			zone: zone, capacity: room.capacity, budget: room.free/leaders - sent, queueBudget: budget,
			sent: l.redirectedSince(now.Add(-proportionTime), zone, pool), wait: room.wait, age: age,
		})
	}
	slices.SortFunc(offers, func(a, b redirectOffer) int { return cmp.Compare(a.zone, b.zone) })
	return offers
}

// zoneLoad returns the load of the workers that this instance, which leads a zone, commands,
// for the leaders of other zones.
func (d *dispatcher) zoneLoad(now time.Time) *peer.ZoneLoad {
	load := &peer.ZoneLoad{Zone: d.ledZones()[0]}
	for _, pool := range d.pools() {
		own := d.poolLoad(now, pool)
		if own.capacity == 0 {
			continue
		}
		load.Pools = append(load.Pools, &peer.PoolRoom{
			Pool: pool, Millicores: uint32(own.capacity), FreeMillicores: uint32(d.offered(now, pool, own)),
			WaitingMillicores: uint32(own.waiting), WaitNanos: int64(d.offeredWait(now, pool, own)),
		})
	}
	return load
}

// acceptsRedirects reports whether other leaders may redirect jobs of a pool here. A zone that
// redirects jobs accepts none: otherwise two zones could redirect jobs to each other. A new
// leader accepts none either, because it cannot start tasks on all workers yet.
func (d *dispatcher) acceptsRedirects(now time.Time, pool string) bool {
	if d.loads.redirectedSince(now.Add(-maxLoadAge), "", pool) > 0 {
		return false
	}
	return d.settled(now)
}

// offered returns the capacity that other leaders may use.
func (d *dispatcher) offered(now time.Time, pool string, own poolLoad) int {
	if !d.acceptsRedirects(now, pool) {
		return 0
	}
	return max(0, own.free-own.waiting)
}

// offeredWait returns the expected wait behind all queued jobs, for the leaders of other
// zones. It is negative, so that none uses the queue, if the zone accepts no redirected jobs.
func (d *dispatcher) offeredWait(now time.Time, pool string, own poolLoad) time.Duration {
	if !d.acceptsRedirects(now, pool) {
		return -1
	}
	return own.wait(maxUrgency)
}

// pools returns the names of the pools of the workers that this instance commands, in order,
// and at most maxLoadPools of them.
func (d *dispatcher) pools() []string {
	var pools []string
	for _, w := range d.ledWorkers() {
		if n, known := slices.BinarySearch(pools, w.Pool); !known {
			pools = slices.Insert(pools, n, w.Pool)
		}
	}
	return pools[:min(len(pools), maxLoadPools)]
}
