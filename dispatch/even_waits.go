package dispatch

import "time"

// shorterQueue is the reason of a redirect into the queue of a zone without free capacity in
// which the job is expected to start clearly earlier.
const shorterQueue = "shorter-queue"

// queueBudget returns the work, in core-seconds, that may be redirected into the queue of a
// zone with the given capacity, in thousandths of a core, by each of the leaders that need
// capacity: together they even out the waits at most. The argument sent is the work that this
// leader has redirected to the zone since its load.
//
// Without such redirects the zone with the most demand would refuse more jobs than the others
// while all zones are overloaded, because none of them has free capacity.
func queueBudget(homeWait, otherWait time.Duration, capacity, leaders int, sent float64) float64 {
	if otherWait < 0 || homeWait <= otherWait {
		return 0
	}
	return (homeWait-otherWait).Seconds()/2*float64(capacity)/1000/float64(leaders) - sent
}

// shortestQueue returns the zone whose queue is the shortest, if the job ends in time behind
// it and waits clearly less than at home.
func (r *redirectDecision) shortestQueue(job *redirectCandidate) *redirectOffer {
	homeWait := job.wait
	if homeWait < 0 {
		homeWait = r.homeWait
	}
	var best *redirectOffer
	var bestEnd time.Duration
	for n := range r.offers {
		o := &r.offers[n]
		if o.wait < 0 || o.queueBudget <= 0 || o.queueBudget < job.work {
			continue
		}
		end := redirectTime + o.wait + job.runIn(o.zone)
		if end > job.left || end+minRedirectGain > homeWait+job.runIn(r.home) {
			continue
		}
		if best == nil || end < bestEnd {
			best, bestEnd = o, end
		}
	}
	return best
}

// mayUseQueues reports whether this leader may redirect jobs of a pool into the queues of
// other zones: not while it accepts jobs from others, because two leaders with old loads of
// each other could exchange jobs.
func (l *receivedLoads) mayUseQueues(now time.Time, pool string) bool {
	at, accepted := l.accepted[pool]
	return !accepted || now.Sub(at) > maxLoadAge
}

// accept records that a job was redirected to this leader.
func (l *receivedLoads) accept(now time.Time, pool string) {
	if l.accepted == nil {
		l.accepted = make(map[string]time.Time)
	}
	l.accepted[pool] = now
}

// awaitsRoom reports whether j, which its own zone can't serve in time, is to be kept because
// the next load of another zone may let this leader redirect it: that zone has free capacity,
// and the job can still end in time there.
func (d *dispatcher) awaitsRoom(now time.Time, j *activeJob) bool {
	if len(d.loads.zones) == 0 || j.late || !d.redirectable(now, j) || d.otherLeaders(now) == 0 {
		return false
	}
	_, needs := j.waitingWork()
	c := d.redirectCandidate(now, j, needs, -1)
	for zone := range d.loads.zones {
		if _, led := d.terms[zone]; led {
			continue
		}
		room, _, ok := d.loads.room(now, zone, j.Pool)
		if ok && room.free >= needs && redirectTime+room.wait+c.runIn(zone) <= c.left {
			return true
		}
	}
	return false
}
