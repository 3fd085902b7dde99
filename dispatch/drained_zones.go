package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// uncertainSpeedRuns is the number of run times after which the speed of a worker of a
	// zone that was drained counts as known again, and uncertainSpeedFactor the factor
	// of the weight of these run times in its speed.
	uncertainSpeedRuns   = 4
	uncertainSpeedFactor = 3
)

// reasonDrained is the reason for which a job is refused whose pool has workers in
// drained zones only.
const reasonDrained = "drained"

// drainedZones is the latest known list of the availability zones that the operators have
// drained. It never goes back to an earlier revision.
type drainedZones struct {
	// revision orders the lists. It is 0 if none is known.
	revision uint64
	// zones are the drained zones, in order, and since is when this instance learned of
	// each request.
	zones []string
	since map[string]time.Time
}

// allow reports whether tasks may be started in zone. They may not if no list is known.
func (z *drainedZones) allow(zone string) bool {
	_, drained := z.since[zone]
	return z.revision > 0 && !drained
}

// set replaces the list, if revision is later than that of the known one, and returns the
// zones that are drained now and were not before, and those that are not any more.
func (z *drainedZones) set(now time.Time, revision uint64, zones []string) (drained, returned []string) {
	if revision <= z.revision {
		return nil, nil
	}
	since := make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		since[zone] = now
		if at, known := z.since[zone]; known {
			since[zone] = at
		}
	}
	former := z.zones
	z.revision, z.zones, z.since = revision, slices.Sorted(maps.Keys(since)), since
	for _, zone := range z.zones {
		if !slices.Contains(former, zone) {
			drained = append(drained, zone)
		}
	}
	for _, zone := range former {
		if _, still := since[zone]; !still {
			returned = append(returned, zone)
		}
	}
	return drained, returned
}

// A DrainedZone is an availability zone in which no tasks are started at the request of
// the operators.
type DrainedZone struct {
	Name string
	// Since is when the instance learned of the request.
	Since time.Time
	// Running is the number of tasks that may still be running there, as far as the
	// instance leads the zone.
	Running int
}

// SetDrainedZones sets the list of the availability zones in which no task may be started
// at the request of the operators, as read from the store. The list with the highest
// revision counts, whether it comes from the store or from a peer. An instance starts no
// task before it knows a list, which may be empty. A revision of 0 is ignored.
func (i *Instance) SetDrainedZones(now time.Time, revision uint64, zones []string) {
	i.advance(now)
	i.dispatcher.setDrainedZones(now, revision, zones, fromStore)
}

// DrainedZones returns the drained availability zones, in the order of their names.
func (i *Instance) DrainedZones() []DrainedZone {
	d := i.dispatcher
	zones := make([]DrainedZone, 0, len(d.drained.zones))
	for _, zone := range d.drained.zones {
		zones = append(zones, DrainedZone{Name: zone, Since: d.drained.since[zone], Running: d.countRuns(zone)})
	}
	return zones
}

// setDrainedZones sets the list of the drained zones, unless the known one is as late.
// source is fromStore or the address of the peer that sent the list.
func (d *dispatcher) setDrainedZones(now time.Time, revision uint64, zones []string, source string) {
	drained, returned := d.drained.set(now, revision, zones)
	for _, zone := range drained {
		d.effects.decide("zone-drained", zone, "revision", revision, "from", source, "running", d.countRuns(zone))
	}
	for _, zone := range returned {
		d.effects.decide("zone-returned", zone, "revision", revision, "from", source, "running", d.countRuns(zone))
		d.ageSpeeds(zone)
	}
}

// countRuns returns the number of runs on the workers of a zone that this instance knows.
func (d *dispatcher) countRuns(zone string) int {
	runs := 0
	for _, w := range d.sortedWorkers {
		if w.Zone == zone {
			runs += len(w.runs)
		}
	}
	return runs
}

// ageSpeeds ages what is known of the speeds of a zone's workers, which may have restarted
// while the zone was drained: half of the distance from the median remains, and a fast
// worker is not preferred. The next run times count more.
func (d *dispatcher) ageSpeeds(zone string) {
	for _, w := range d.sortedWorkers {
		if w.Zone == zone {
			w.speed = min(math.Sqrt(w.speed), 1)
			w.uncertainSpeed = uncertainSpeedRuns
		}
	}
}

// speedWeight returns the weight in w's speed of a new run time that has the given weight
// in the speed of a worker whose speed is known, and counts the run time.
func (w *worker) speedWeight(weight float64) float64 {
	if w.uncertainSpeed == 0 {
		return weight
	}
	w.uncertainSpeed--
	return weight * uncertainSpeedFactor
}

// available reports whether w may be assigned a task at now.
func (d *dispatcher) available(now time.Time, w *worker) bool {
	return w.usable(now) && d.drained.allow(w.Zone)
}

// refuseDrained gives up the jobs without runs whose tasks cannot be started because
// their pools have workers in drained zones only. A job that an earlier leader had is kept
// until the runs of that leader are known, so that its tasks end normally.
func (d *dispatcher) refuseDrained(now time.Time) {
	if len(d.drained.zones) == 0 || len(d.unreadZones) > 0 {
		return
	}
	pools := d.drainedPools(now)
	if len(pools) == 0 {
		return
	}
	awaitsLoads := d.awaitsLoads(now)
	for _, j := range slices.Clone(d.queue.jobs) {
		if awaitsLoads && d.redirectable(now, j) {
			continue
		}
		if pools[j.Pool] && j.placed == 0 && d.startable(now, j) {
			d.giveUp(now, j, reasonDrained)
		}
	}
}

// awaitsLoads reports whether this instance has led its zones for so short a time that it may
// not have received the loads of the other zones yet.
func (d *dispatcher) awaitsLoads(now time.Time) bool {
	return !d.settled(now) && slices.ContainsFunc(d.sortedWorkers, func(w *worker) bool {
		_, led := d.terms[w.shard]
		return !led
	})
}

// drainedPools returns the pools of which this instance leads workers in drained zones,
// and none in other zones that may be assigned a task later.
func (d *dispatcher) drainedPools(now time.Time) map[string]bool {
	pools, open := make(map[string]bool), make(map[string]bool)
	for _, w := range d.ledWorkers() {
		switch {
		case w.Leaving || w.gone(now):
		case d.drained.allow(w.Zone):
			open[w.Pool] = true
		default:
			pools[w.Pool] = true
		}
	}
	maps.DeleteFunc(pools, func(pool string, _ bool) bool { return open[pool] })
	return pools
}
