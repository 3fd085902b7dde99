package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// receiver keeps the jobs whose callers wait at this instance, and gives each
// to the leader of the zone.
type receiver struct {
	instance *Instance
	open     map[string]*openJob
	callers  map[CallerID]string
	// leader is the claim under which jobs are given away, or zero.
	leader peer.Claim
	// lostAt is when the leader before was last heard.
	lostAt time.Time
	// without is since when there is no leader, or zero.
	without time.Time
	// closed says that no new job is taken.
	closed bool
}

// openJob is a job that has no end yet.
type openJob struct {
	job     Job
	callers []CallerID
	// given says that the present leader has the job.
	given bool
	// begun says that the job was given to any leader.
	begun bool
}

func newReceiver(i *Instance) *receiver {
	return &receiver{
		instance: i,
		open:     make(map[string]*openJob),
		callers:  make(map[CallerID]string),
	}
}

// submit takes a job from a caller.
func (r *receiver) submit(now time.Time, caller CallerID, job Job) {
	o := r.open[job.ID]
	if o == nil {
		if reason := r.refusal(now); reason != "" {
			r.answer(caller, End{ID: job.ID, State: NotRun, Reason: reason, RetryAfter: retryAfter})
			r.instance.effects.decide("job-not-run", job.ID, "request", job.Request, "route", job.Route, "reason", reason)
			return
		}
		o = &openJob{job: job}
		r.open[job.ID] = o
	}
	r.instance.effects.usual("job-accepted", job.ID, "request", job.Request, "route", job.Route, "tables", r.instance.version,
		"patience", job.CallerDeadline.Sub(now), "leader", r.leader.Leader, "term", r.leader.Term, "again", len(o.callers) > 0)
	o.job.CallerDeadline = later(o.job.CallerDeadline, job.CallerDeadline)
	o.callers = append(o.callers, caller)
	r.callers[caller] = job.ID
	r.giveAgain(now, o)
}

// refusal returns why no new job is taken, or nothing.
func (r *receiver) refusal(now time.Time) string {
	switch {
	case r.closed:
		return "leaving"
	case len(r.open) >= maxJobs:
		return "too-many-jobs"
	case !r.without.IsZero() && now.Sub(r.without) > noLeaderFor:
		return "no-leader"
	default:
		return ""
	}
}

// give hands a job to the leader, if there is one.
func (r *receiver) give(now time.Time, o *openJob) {
	if o.given || !r.leader.Leader.IsValid() || !r.without.IsZero() {
		return
	}
	o.given, o.begun = true, true
	i := r.instance
	if r.leader.Leader == i.cfg.Self {
		i.dispatcher.give(now, i.cfg.Self, o.job)
		return
	}
	env := i.envelope(r.leader.Leader)
	env.Jobs = append(env.Jobs, encodeJob(now, o.job))
}

// giveAgain hands a job to the leader that may have had it before, and may have
// dropped it since: the job counts as one that may have run.
func (r *receiver) giveAgain(now time.Time, o *openJob) {
	o.given = false
	if o.begun {
		o.job.EarlierLeaders = max(o.job.EarlierLeaders, 1)
	}
	r.give(now, o)
}

// follow gives all jobs to a new leader.
func (r *receiver) follow(now time.Time) {
	i := r.instance
	claim, fresh := i.leadership.Claim(now, i.cfg.Zone)
	if !fresh || !claim.Leader.IsValid() {
		if r.without.IsZero() {
			r.without = now
			r.lostAt = claim.LastSeen
			i.effects.decide("leader-lost", i.cfg.Zone, "leader", r.leader.Leader, "term", r.leader.Term, "heard", since(now, claim.LastSeen))
		}
		if claim.Term != r.leader.Term {
			r.leader = peer.Claim{}
		}
		return
	}
	r.without = time.Time{}
	if claim.Leader == r.leader.Leader && claim.Term == r.leader.Term {
		r.lostAt = time.Time{}
		return
	}
	former := r.leader.Leader
	r.leader = claim
	i.effects.decide("leader", i.cfg.Zone, "leader", claim.Leader, "term", claim.Term, "open-jobs", len(r.open))
	settled := later(r.lostAt, now).Add(settleTime)
	if !r.lostAt.IsZero() {
		settled = r.lostAt.Add(settleTime)
	}
	r.lostAt = time.Time{}
	for _, id := range r.ids() {
		o := r.open[id]
		if o.begun {
			r.takeBack(now, former, id)
			o.job.EarlierLeaders++
			o.job.EarlierRunsEndBy = settled
		}
		o.given = false
		r.give(now, o)
	}
}

// takeBack tells a former leader that another one has the job now.
func (r *receiver) takeBack(now time.Time, former netip.AddrPort, id string) {
	switch former {
	case netip.AddrPort{}, r.leader.Leader:
		return
	case r.instance.cfg.Self:
		r.instance.dispatcher.withdraw(now, former, id)
		return
	}
	env := r.instance.envelope(former)
	env.Withdrawn = append(env.Withdrawn, id)
}

// since returns the time from t to now for the log, or "never" for no time.
func since(now, t time.Time) any {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t)
}

// ids returns the IDs of the open jobs, in order.
func (r *receiver) ids() []string {
	return slices.Sorted(maps.Keys(r.open))
}

// linkReset gives the jobs again that a link to the leader may have lost.
func (r *receiver) linkReset(now time.Time, addr netip.AddrPort) {
	if r.leader.Leader != addr {
		return
	}
	for _, id := range r.ids() {
		r.giveAgain(now, r.open[id])
	}
}

// settled answers the callers of a job that has ended, or gives the job again.
func (r *receiver) settled(now time.Time, from netip.AddrPort, end End) {
	o := r.open[end.ID]
	if o == nil {
		return
	}
	current := from == r.leader.Leader
	switch {
	case end.State == ForwardAgain:
		if current {
			r.giveAgain(now, o)
		}
		return
	case !current && end.State != Completed:
		// A former leader let go of the job: the present one has it.
		return
	case !current:
		r.withdraw(now, end.ID)
	}
	delete(r.open, end.ID)
	note := r.instance.effects.decide
	if end.State == Completed {
		note = r.instance.effects.usual
	}
	note("job-answered", end.ID, "request", o.job.Request, "state", end.State, "reason", end.Reason, "age", now.Sub(o.job.Arrived), "leader", from)
	for _, caller := range o.callers {
		delete(r.callers, caller)
		r.answer(caller, end)
	}
}

func (r *receiver) answer(caller CallerID, end End) {
	r.instance.effects.Answers = append(r.instance.effects.Answers, Answer{Caller: caller, End: end})
}

// abandon notes that a caller has left.
func (r *receiver) abandon(now time.Time, caller CallerID) {
	id, ok := r.callers[caller]
	if !ok {
		return
	}
	delete(r.callers, caller)
	o := r.open[id]
	o.callers = slices.DeleteFunc(o.callers, func(c CallerID) bool { return c == caller })
	if len(o.callers) == 0 {
		r.instance.effects.decide("job-abandoned", id, "request", o.job.Request, "age", now.Sub(o.job.Arrived), "given", o.given)
		r.withdraw(now, id)
	}
}

// cancel ends a job at its caller's wish.
func (r *receiver) cancel(now time.Time, id string) bool {
	o := r.open[id]
	if o == nil {
		return false
	}
	r.instance.effects.decide("job-cancelled", id, "age", now.Sub(o.job.Arrived))
	for _, caller := range o.callers {
		delete(r.callers, caller)
		r.answer(caller, End{ID: id, State: Failed, Reason: "cancelled"})
	}
	r.withdraw(now, id)
	return true
}

// abort answers all callers at once: the process ends.
func (r *receiver) abort(now time.Time) {
	for _, id := range r.ids() {
		r.giveUp(now, id, "leaving")
	}
}

// giveUp answers the callers of a job that has not ended.
func (r *receiver) giveUp(now time.Time, id, reason string) {
	o := r.open[id]
	end := End{ID: id, State: Overdue, Reason: reason}
	if !o.begun {
		end = End{ID: id, State: NotRun, Reason: reason, RetryAfter: retryAfter}
	}
	r.instance.effects.decide("job-"+end.State.String(), id, "request", o.job.Request, "route", o.job.Route, "reason", reason, "age", now.Sub(o.job.Arrived))
	for _, caller := range o.callers {
		delete(r.callers, caller)
		r.answer(caller, end)
	}
	r.withdraw(now, id)
}

// withdraw forgets a job that nobody waits for, here and at the leader.
func (r *receiver) withdraw(now time.Time, id string) {
	o := r.open[id]
	delete(r.open, id)
	i := r.instance
	switch {
	case !o.given:
	case r.leader.Leader == i.cfg.Self:
		i.dispatcher.withdraw(now, i.cfg.Self, id)
	default:
		env := i.envelope(r.leader.Leader)
		env.Withdrawn = append(env.Withdrawn, id)
	}
}

// tick ends the jobs whose callers' time has run out.
func (r *receiver) tick(now time.Time) {
	for _, id := range r.ids() {
		if !now.Before(r.open[id].job.CallerDeadline) {
			r.giveUp(now, id, "time-out")
		}
	}
}
