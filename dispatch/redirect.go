package dispatch

import "time"

const (
	// redirectTime is the expected time from the decision to redirect a job until the
	// other leader can start it: two messages, between zones and within one, and the
	// heartbeat with which the receiver confirms the job.
	redirectTime = 8 * time.Millisecond
	// minRedirectGain is the time by which a job must be expected to end earlier in the
	// other zone if it would end in time in its own. It is several times redirectTime,
	// because the expected times are rough.
	minRedirectGain = 40 * time.Millisecond
)

// The reasons of a redirect, for the log and the counters.
const (
	// noWorkers means that the zone has no usable worker of the pool.
	noWorkers = "no-workers"
	// notInTime means that the job is not expected to end by its objective in its own
	// zone.
	notInTime = "not-in-time"
	// laterStart means that the job is expected to end clearly later in its own zone.
	laterStart = "later-start"
	// remoteData means that the data of the job is on a rack of the other zone.
	remoteData = "data"
	// notLeader means that the instance to which a redirected job was forwarded does not
	// lead the zone.
	notLeader = "not-leader"
)

// redirectCandidate is a waiting job that may be redirected, as its leader expects it.
type redirectCandidate struct {
	id string
	// millicores is the processor capacity that its waiting tasks need.
	millicores int
	// work is the expected processor time of its waiting tasks in core-seconds.
	work float64
	// wait is the expected time until its last waiting task starts in its own zone. It is
	// negative if no start there can be expected.
	wait time.Duration
	// run is the expected run time of its longest chain of tasks where its data is, and
	// left the time until its objective.
	run, left time.Duration
	// dataZone is the zone of the racks that hold its data, or empty if it names none or
	// several. remoteFactor is the factor of the run time elsewhere.
	dataZone     string
	remoteFactor float64
}

// runIn returns the expected run time of the job's longest chain of tasks in zone.
func (c *redirectCandidate) runIn(zone string) time.Duration {
	if c.dataZone == "" || c.dataZone == zone {
		return c.run
	}
	return time.Duration(float64(c.run) * c.remoteFactor)
}

// redirectOffer is what one other zone has for the jobs of a pool, by the last load that its
// leader sent.
type redirectOffer struct {
	zone string
	// capacity is the capacity of the zone's usable workers, and budget the part of it that
	// this leader may still use, in thousandths of a core.
	capacity, budget int
	// queueBudget is the work, in core-seconds, that this leader may add to the queue of the
	// zone.
	queueBudget float64
	// sent is the capacity that the jobs need that this leader has redirected to the zone
	// lately. Without workers of its own, it divides its jobs in proportion to capacity.
	sent int
	// wait is the expected wait there, and age that of the load.
	wait, age time.Duration
}

// redirectChoice is the decision to redirect a job.
type redirectChoice struct {
	id, zone, reason string
	millicores       int
	work             float64
	run              time.Duration
	// homeWait and otherWait are the expected waits in the two zones, and loadAge the age
	// of the other zone's load.
	homeWait, otherWait, loadAge time.Duration
}

// redirectDecision decides which jobs of one pool a leader redirects.
type redirectDecision struct {
	// home is the zone of this leader, and withoutWorkers is set if it has no usable worker.
	home           string
	withoutWorkers bool
	// homeWait is the expected wait at the end of this leader's queue.
	homeWait time.Duration
	// offers are those of the other zones, in the order of their names. The decision
	// reduces their budgets.
	offers []redirectOffer
}

// choose returns which of jobs are redirected, and to which zones. The jobs are in the order
// of the queue. Those at its tail are redirected first: they lose least by the detour, and
// those ahead of them keep their places.
func (r *redirectDecision) choose(jobs []redirectCandidate) []redirectChoice {
	var chosen []redirectChoice
	for n := len(jobs) - 1; n >= 0; n-- {
		if c, ok := r.chooseZone(&jobs[n]); ok {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// chooseZone returns the zone to which a job is redirected, and whether it is redirected.
func (r *redirectDecision) chooseZone(job *redirectCandidate) (redirectChoice, bool) {
	pick := r.earliest
	if r.withoutWorkers {
		pick = r.leastUsed
	}
	offer, reason := pick(job)
	if offer == nil && !r.withoutWorkers {
		offer, reason = r.shortestQueue(job), shorterQueue
	}
	if offer == nil {
		return redirectChoice{}, false
	}
	offer.budget -= job.millicores
	offer.queueBudget -= job.work
	offer.sent += job.millicores
	return redirectChoice{
		id: job.id, zone: offer.zone, reason: reason,
		millicores: job.millicores, work: job.work, run: job.runIn(offer.zone),
		homeWait: job.wait, otherWait: offer.wait, loadAge: offer.age,
	}, true
}

// leastUsed returns the zone to which the least was redirected for its capacity.
func (r *redirectDecision) leastUsed(job *redirectCandidate) (*redirectOffer, string) {
	var best *redirectOffer
	var bestShare float64
	for n := range r.offers {
		o := &r.offers[n]
		if o.capacity == 0 {
			continue
		}
		if share := float64(o.sent+job.millicores) / float64(o.capacity); best == nil || share < bestShare {
			best, bestShare = o, share
		}
	}
	return best, noWorkers
}

// earliest returns the zone in which the job is expected to end earliest, if that is in time
// and clearly earlier than in its own zone.
func (r *redirectDecision) earliest(job *redirectCandidate) (*redirectOffer, string) {
	var best *redirectOffer
	var bestEnd time.Duration
	for n := range r.offers {
		o := &r.offers[n]
		end := redirectTime + o.wait + job.runIn(o.zone)
		if o.budget < job.millicores || o.wait < 0 || end > job.left {
			continue
		}
		if best == nil || end < bestEnd || (end == bestEnd && o.budget > best.budget) {
			best, bestEnd = o, end
		}
	}
	if best == nil {
		return nil, ""
	}
	homeEnd := job.wait + job.runIn(r.home)
	switch {
	case job.wait < 0:
		return best, notInTime
	case homeEnd > job.left && bestEnd < homeEnd:
		return best, notInTime
	case bestEnd+minRedirectGain > homeEnd:
		return nil, ""
	case job.dataZone == best.zone:
		return best, remoteData
	default:
		return best, laterStart
	}
}
