package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// unreachableTime is the time for which a receiver redirects no job to a zone of which it
// has reached no leader.
const unreachableTime = 2 * time.Second

// followedZone is what a receiver knows of the leader of a zone to which it forwards jobs.
type followedZone struct {
	name string
	// leader is the claim of the leader to which jobs are forwarded, or zero.
	leader peer.Claim
	// formerLastSeen is when something was last received from the lost leader, or
	// zero.
	formerLastSeen time.Time
	// leaderlessSince is since when there has been no leader, or zero.
	leaderlessSince time.Time
	// reportedUntil is the time until which the leader of another zone counts as live
	// although it has sent nothing to this instance: its heartbeats begin with the first
	// job that is redirected to it.
	reportedUntil time.Time
}

// leaderless reports whether the zone has had no leader for longer than d.
func (z *followedZone) leaderless(now time.Time, d time.Duration) bool {
	return !z.leaderlessSince.IsZero() && now.Sub(z.leaderlessSince) > d
}

// earlierRunsEndBy returns the time by which the runs of the former leader have ended. If it
// is not known when that leader was last seen, it counts as seen at now.
func (z *followedZone) earlierRunsEndBy(now time.Time) time.Time {
	if !z.formerLastSeen.IsZero() {
		return z.formerLastSeen.Add(earlierRunsTimeout)
	}
	return now.Add(earlierRunsTimeout)
}

// followLeaders determines the present leaders of the followed zones, and forwards the jobs
// of each zone to a new one.
func (r *receiver) followLeaders(now time.Time) {
	for n := 0; n < len(r.zones); n++ { // followLeader may append to them
		r.followLeader(now, r.zones[n])
	}
}

// followLeader determines the present leader of z, and forwards the jobs of z to a new one.
func (r *receiver) followLeader(now time.Time, z *followedZone) {
	i := r.instance
	claim, fresh := i.leadership.Claim(now, z.name)
	fresh = fresh || now.Before(z.reportedUntil)
	if !fresh || !claim.Leader.IsValid() {
		if z.leaderlessSince.IsZero() {
			z.leaderlessSince = now
			z.formerLastSeen = claim.LastSeen
			i.effects.decide("leader-lost", z.name, "leader", z.leader.Leader, "term", z.leader.Term, "heard", SinceOrNever(now, claim.LastSeen))
		}
		if claim.Term != z.leader.Term {
			z.leader = peer.Claim{}
		}
		return
	}
	z.leaderlessSince = time.Time{}
	if claim.Leader == z.leader.Leader && claim.Term == z.leader.Term {
		z.formerLastSeen = time.Time{}
		return
	}
	z.leader = claim
	earlierRunsEndBy := z.earlierRunsEndBy(now)
	z.formerLastSeen = time.Time{}
	jobs := r.jobsOf(z)
	i.effects.decide("leader", z.name, "leader", claim.Leader, "term", claim.Term, "open-jobs", len(jobs))
	for _, o := range jobs {
		if o.everForwarded {
			r.withdrawFromFormer(now, o)
			o.mayHaveRun(earlierRunsEndBy)
		}
		o.forwarded = false
		r.forward(now, o)
	}
}

// mayHaveRun records that another leader had the job, whose runs have ended by endBy. The runs
// of the leaders before it may end later, in another zone.
func (o *openJob) mayHaveRun(endBy time.Time) {
	o.job.EarlierLeaders++
	o.job.EarlierRunsEndBy = later(o.job.EarlierRunsEndBy, endBy)
}

// jobsOf returns the open jobs that are forwarded to the leader of z, in the order of their
// IDs.
func (r *receiver) jobsOf(z *followedZone) []*openJob {
	var jobs []*openJob
	for _, id := range r.ids() {
		if o := r.open[id]; o.zone == z {
			jobs = append(jobs, o)
		}
	}
	return jobs
}

// redirected forwards a job to the zone to which the leader at from has redirected it. That
// leader has started no task of it. A leader that rejects a redirected job names no zone: the
// job then returns to the home zone.
func (r *receiver) redirected(now time.Time, from netip.AddrPort, o *openJob, end End) {
	if end.Zone == "" {
		if o.zone != r.home {
			r.returnHome(now, o, end.Reason, o.forwards > 1)
		}
		return
	}
	if o.job.Zone != "" {
		// The end was sent again, and the job has left the sender before.
		return
	}
	o.leaders = slices.DeleteFunc(o.leaders, func(addr netip.AddrPort) bool { return addr == from })
	o.forwarded, o.forwards = false, 0
	o.job.Zone = end.Zone
	z := r.follow(now, end.Zone)
	if z == nil {
		o.job.Zone = r.home.name
		r.instance.effects.decide("job-redirect-returned", o.job.ID, "from", end.Zone, "to", r.home.name, "reason", "unreachable")
		r.forward(now, o)
		return
	}
	o.zone = z
	r.forward(now, o)
}

// follow returns the zone to which a job is redirected and follows its leader, or returns
// nil if that leader is not known or was not reached lately.
func (r *receiver) follow(now time.Time, name string) *followedZone {
	if n := slices.IndexFunc(r.zones, func(z *followedZone) bool { return z.name == name }); n >= 0 {
		if z := r.zones[n]; z.leaderlessSince.IsZero() {
			return z
		}
		return nil
	}
	claim, _ := r.instance.leadership.Claim(now, name)
	if !claim.Leader.IsValid() || now.Before(r.unreachableUntil[name]) {
		return nil
	}
	z := &followedZone{name: name, leader: claim, reportedUntil: now.Add(peer.LeaderTimeout)}
	r.zones = append(r.zones, z)
	return z
}

// returnHome forwards a redirected job to the leader of the home zone, which does not
// redirect it again. If mayHaveRun is set, the leader of the other zone may have started
// tasks.
func (r *receiver) returnHome(now time.Time, o *openJob, reason string, mayHaveRun bool) {
	from := o.zone
	r.instance.effects.decide("job-redirect-returned", o.job.ID, "from", from.name, "to", r.home.name, "reason", reason,
		"age", now.Sub(o.job.Arrived), "may-have-run", mayHaveRun)
	o.zone, o.job.Zone = r.home, r.home.name
	r.withdrawFromFormer(now, o)
	if mayHaveRun {
		o.mayHaveRun(from.earlierRunsEndBy(now))
	}
	o.forwarded = false
	r.forward(now, o)
}

// checkZones returns to the home zone the jobs that were redirected to a zone without a
// leader, after the time for which this instance waits for a leader of its own zone. It
// ceases to follow the leaders of zones without jobs.
func (r *receiver) checkZones(now time.Time) {
	if len(r.zones) == 1 {
		return
	}
	for _, z := range r.zones[1:] {
		if !z.leaderless(now, noLeaderTimeout) {
			continue
		}
		r.unreachableUntil[z.name] = now.Add(unreachableTime)
		for _, o := range r.jobsOf(z) {
			r.returnHome(now, o, "no-leader", o.forwards > 0)
		}
	}
	used := map[*followedZone]bool{r.home: true}
	for _, o := range r.open {
		used[o.zone] = true
	}
	r.zones = slices.DeleteFunc(r.zones, func(z *followedZone) bool { return !used[z] })
}
