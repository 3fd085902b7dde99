package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// maxUrgency is the highest urgency: the last to get resources.
	maxUrgency = math.MaxInt
	// redirectSettleTime is the time after a takeover in which a leader redirects nothing,
	// because its workers are not all polled yet.
	redirectSettleTime = 500 * time.Millisecond
)

// A Redirect counts a job that left this leader for another zone or came to it from one.
type Redirect struct {
	// In is set if the job came from another zone.
	In bool
	// Zone is the other zone.
	Zone string
	// Reason is the reason of the redirect. It is empty if In is set.
	Reason string
}

// ledZones returns the zones that this instance leads, its own first and the others in order.
func (d *dispatcher) ledZones() []string {
	zones := make([]string, 0, len(d.terms))
	for zone := range d.terms {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	own := d.zoneOf(d.self)
	if n, led := slices.BinarySearch(zones, own); led {
		zones = slices.Insert(slices.Delete(zones, n, n+1), 0, own)
	}
	return zones
}

// redirectWaiting redirects waiting jobs to other zones.
func (d *dispatcher) redirectWaiting(now time.Time) {
	if len(d.loads.zones) == 0 || len(d.queue.jobs) == 0 || d.otherLeaders(now) == 0 {
		return
	}
	settled := d.settled(now)
	d.queue.sort()
	var pools []string
	for _, j := range d.queue.jobs {
		if !slices.Contains(pools, j.Pool) {
			pools = append(pools, j.Pool)
		}
	}
	for _, pool := range pools {
		if (!settled && !d.drainedPools(now)[pool]) || len(d.loads.offers(now, pool, 1, 0)) == 0 {
			continue
		}
		load := d.poolLoad(now, pool)
		r := d.redirectDecision(now, pool, load)
		if len(r.offers) == 0 {
			continue
		}
		for _, choice := range r.choose(d.redirectCandidates(now, pool, load)) {
			d.redirect(now, choice)
		}
	}
}

// settled reports whether this instance has led all its zones for long enough to have polled
// their workers.
func (d *dispatcher) settled(now time.Time) bool {
	for zone := range d.terms {
		if now.Sub(d.takenOver[zone]) < redirectSettleTime {
			return false
		}
	}
	return true
}

// redirectDecision returns the decision on the jobs of a pool, with what the other zones
// have for them.
func (d *dispatcher) redirectDecision(now time.Time, pool string, load poolLoad) redirectDecision {
	offers := slices.DeleteFunc(d.loads.offers(now, pool, d.otherLeaders(now), load.wait(maxUrgency)), func(o redirectOffer) bool {
		_, led := d.terms[o.zone]
		return led
	})
	withoutWorkers := load.capacity == 0 && (d.settled(now) || d.drainedPools(now)[pool])
	return redirectDecision{home: d.ledZones()[0], withoutWorkers: withoutWorkers, homeWait: load.wait(maxUrgency), offers: offers}
}

// redirectCandidates returns the jobs of a pool that may be redirected, in the order of the
// queue.
func (d *dispatcher) redirectCandidates(now time.Time, pool string, load poolLoad) []redirectCandidate {
	var candidates []redirectCandidate
	ahead, needed := 0.0, 0
	for _, j := range d.queue.jobs {
		if j.Pool != pool {
			continue
		}
		work, needs := j.waitingWork()
		ahead += work
		needed += needs
		if !d.redirectable(now, j) {
			continue
		}
		wait := time.Duration(-1)
		switch {
		case needed <= load.free:
			wait = 0
		case load.capacity > 0:
			wait = load.timeFor(ahead)
		}
		candidates = append(candidates, d.redirectCandidate(now, j, needs, wait))
	}
	return candidates
}

func (d *dispatcher) redirectCandidate(now time.Time, j *activeJob, millicores int, wait time.Duration) redirectCandidate {
	data := d.dataZone(j)
	work, _ := j.waitingWork()
	if _, led := d.terms[data]; led {
		data = d.ledZones()[0] // this leader's zones are one to redirectDecision
	}
	return redirectCandidate{
		id: j.ID, millicores: millicores, work: work, wait: wait, run: j.chainTime, left: j.objective.Sub(now),
		dataZone: data, remoteFactor: d.remoteRackFactor,
	}
}

// dataZone returns the zone of the racks that j names, or an empty string if it names none
// or racks of several zones, or if the zones are divided into shards: the workers of a rack
// belong to several.
func (d *dispatcher) dataZone(j *activeJob) string {
	found := ""
	for _, step := range j.Steps {
		if step.Rack == "" {
			continue
		}
		n := slices.IndexFunc(d.sortedWorkers, func(w *worker) bool { return w.Rack == step.Rack })
		if n < 0 || d.sortedWorkers[n].shard != d.sortedWorkers[n].Zone {
			return ""
		}
		if found != "" && found != d.sortedWorkers[n].Zone {
			return ""
		}
		found = d.sortedWorkers[n].Zone
	}
	return found
}

// redirectable reports whether j may be redirected: it was not redirected before, this leader
// has issued no start command for it, and no run that another one may have started is running
// any more.
func (d *dispatcher) redirectable(now time.Time, j *activeJob) bool {
	earlierRuns := j.EarlierLeaders > 0 && (j.EarlierRunsEndBy.IsZero() || now.Before(j.EarlierRunsEndBy))
	if j.Zone != "" || earlierRuns || j.started || j.state != jobActive || len(j.waiting) == 0 {
		return false
	}
	for s, tasks := range j.steps {
		if j.remaining[s] != len(tasks) {
			return false
		}
		for _, t := range tasks {
			if d.running[t.id] != nil {
				return false
			}
		}
	}
	return true
}

// redirectRefused redirects a job that would otherwise be refused, and reports whether
// another zone can serve it.
func (d *dispatcher) redirectRefused(now time.Time, j *activeJob) bool {
	if len(d.loads.zones) == 0 || d.otherLeaders(now) == 0 || !d.redirectable(now, j) {
		return false
	}
	_, needs := j.waitingWork()
	r := d.redirectDecision(now, j.Pool, d.poolLoad(now, j.Pool))
	choices := r.choose([]redirectCandidate{d.redirectCandidate(now, j, needs, -1)})
	for _, choice := range choices {
		d.redirect(now, choice)
	}
	return len(choices) > 0
}

// redirect ends a job here, and asks its receivers to forward it to another zone.
func (d *dispatcher) redirect(now time.Time, c redirectChoice) {
	j := d.jobs[c.id]
	if j == nil {
		return
	}
	d.loads.record(now, redirectedWork{
		at: now, zone: c.zone, pool: j.Pool, millicores: c.millicores, work: c.work,
		until: now.Add(redirectTime + max(c.otherWait, 0) + c.run),
	})
	d.effects.Redirects = append(d.effects.Redirects, Redirect{Zone: c.zone, Reason: c.reason})
	d.effects.decide("job-redirected", j.ID, "from", d.ledZones()[0], "to", c.zone, "reason", c.reason, "route", j.Route,
		"age", now.Sub(j.Arrived), "wait", c.homeWait, "wait-there", c.otherWait, "load-age", c.loadAge,
		"expected", j.chainTime, "left", j.objective.Sub(now), "queued", len(d.queue.jobs))
	d.endJob(now, j, End{ID: j.ID, State: Redirected, Reason: c.reason, Zone: c.zone})
}
