package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// receiver keeps the jobs whose callers wait at this instance, and forwards each job
// to the leader of the zone or, if that leader redirects the job, of another zone.
type receiver struct {
	instance *Instance
	open     map[string]*openJob
	callers  map[CallerID]string
	// zones are the zones whose leaders are followed: the home zone, which is that of this
	// instance, and those to which open jobs are redirected.
	zones []*followedZone
	home  *followedZone
	// unreachableUntil is, for a zone of which no leader was reached, the time until which
	// no job is redirected there.
	unreachableUntil map[string]time.Time
	// closed is set if new jobs are refused whose callers wait longer than until end.
	closed bool
	end    time.Time
	// ownConfirmedAt is when the callers of the jobs that were forwarded to this instance
	// itself were last checked.
	ownConfirmedAt time.Time
	// withdrawn is the number of the latest withdrawal. The numbers of a process begin
	// after those of earlier processes on its machine.
	withdrawn uint64
}

// openJob is a job that has not ended.
type openJob struct {
	job     Job
	callers []CallerID
	// zone is the zone to whose leader the job is forwarded, and forwards the number of
	// times that it was forwarded there.
	zone     *followedZone
	forwards int
	// forwarded is set if the job was forwarded to the present leader.
	forwarded bool
	// everForwarded is set if the job was forwarded to any leader.
	everForwarded bool
	// leaders are the instances to which the job was forwarded and from which it was not
	// withdrawn.
	leaders []netip.AddrPort
}

func newReceiver(now time.Time, i *Instance) *receiver {
	home := &followedZone{name: i.cfg.Zone}
	return &receiver{
		instance:         i,
		open:             make(map[string]*openJob),
		callers:          make(map[CallerID]string),
		zones:            []*followedZone{home},
		home:             home,
		unreachableUntil: make(map[string]time.Time),
		ownConfirmedAt:   now,
		withdrawn:        uint64(now.UnixNano()),
	}
}

// submit adds a job of a caller, or adds the caller to a known job. The request of a caller that
// has left adds nothing: it was read late.
func (r *receiver) submit(now time.Time, caller CallerID, job Job) {
	if r.hasLeft(caller) {
		r.answer(caller, End{ID: job.ID, State: Overdue, Reason: disconnected})
		r.instance.effects.decide("job-abandoned", job.ID, "request", job.Request, "age", now.Sub(job.Arrived), "forwarded", false)
		return
	}
	o := r.open[job.ID]
	if o == nil {
		if reason := r.refusal(now, job.CallerDeadline); reason != "" {
			after := job.retryAfterRefusal(now)
			r.answer(caller, End{ID: job.ID, State: NotRun, Reason: reason, RetryAfter: after})
			r.instance.effects.decide("job-not-run", job.ID, "request", job.Request, "route", job.Route, "reason", reason, "retry-after", after)
			return
		}
		o = &openJob{job: job, zone: r.home}
		r.open[job.ID] = o
	}
	r.instance.effects.routine("job-accepted", job.ID, "request", job.Request, "route", job.Route,
		"tables", r.instance.version, "tables-read", SinceOrNever(now, r.instance.tablesReadAt),
		"patience", job.CallerDeadline.Sub(now), "leader", o.zone.leader.Leader, "term", o.zone.leader.Term, "again", len(o.callers) > 0)
	o.job.CallerDeadline = later(o.job.CallerDeadline, job.CallerDeadline)
	o.callers = append(o.callers, caller)
	r.callers[caller] = job.ID
	r.forwardAgain(now, o)
}

// refusal returns the reason why a new job is refused whose callers wait until deadline, or an
// empty string.
func (r *receiver) refusal(now, deadline time.Time) string {
	switch {
	case r.closed && deadline.After(r.end):
		return "leaving"
	case len(r.open) >= maxJobs:
		return "too-many-jobs"
	case r.home.leaderless(now, noLeaderTimeout):
		return "no-leader"
	default:
		return ""
	}
}

// forward forwards a job to the leader of its zone, if there is one and it does not have the
// job. It withdraws a job whose callers have left.
func (r *receiver) forward(now time.Time, o *openJob) {
	if o.forwarded || !o.zone.leader.Leader.IsValid() || !o.zone.leaderlessSince.IsZero() {
		return
	}
	if !r.dropLeftCallers(now, o) {
		return
	}
	o.forwarded, o.everForwarded = true, true
	o.forwards++
	i, leader := r.instance, o.zone.leader.Leader
	if !slices.Contains(o.leaders, leader) {
		o.leaders = append(o.leaders, leader)
	}
	if leader == i.cfg.Self {
		i.dispatcher.addJob(now, i.cfg.Self, o.job)
		return
	}
	i.peer(leader).withdrawals.forget(o.job.ID)
	env := i.envelope(leader)
	env.Jobs = append(env.Jobs, encodeJob(now, o.job))
}

// forwardAgain forwards a job whether or not the leader has it. The leader may have had
// it before and dropped it since, so a job that was forwarded before is marked as one
// that may have run.
func (r *receiver) forwardAgain(now time.Time, o *openJob) {
	o.forwarded = false
	if o.everForwarded {
		o.job.EarlierLeaders = max(o.job.EarlierLeaders, 1)
	}
	r.forward(now, o)
}

// withdrawFromFormer withdraws a job from all instances but the present leader, to which it is
// forwarded next and which may have it already.
func (r *receiver) withdrawFromFormer(now time.Time, o *openJob) {
	o.leaders = slices.DeleteFunc(o.leaders, func(addr netip.AddrPort) bool {
		if addr == o.zone.leader.Leader {
			return false
		}
		r.withdrawFrom(now, addr, o.job.ID)
		return true
	})
}

// withdrawFrom withdraws a job from the instance at addr.
func (r *receiver) withdrawFrom(now time.Time, addr netip.AddrPort, id string) {
	i := r.instance
	if addr == i.cfg.Self {
		i.dispatcher.withdraw(now, addr, id)
		return
	}
	r.withdrawn++
	i.peer(addr).withdrawals.add(withdrawal{job: id, number: r.withdrawn, at: now})
	i.envelope(addr) // Take adds the withdrawals to it.
}

// SinceOrNever returns the time from t to now for the log, or "never" if t is zero.
func SinceOrNever(now, t time.Time) any {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t)
}

// ids returns the IDs of the open jobs, in order.
func (r *receiver) ids() []string {
	return slices.Sorted(maps.Keys(r.open))
}

// linkReset forwards the jobs again that may have been lost on the link to the
// leader at addr.
func (r *receiver) linkReset(now time.Time, addr netip.AddrPort) {
	for _, id := range r.ids() {
		if o := r.open[id]; o != nil && o.zone.leader.Leader == addr {
			r.forwardAgain(now, o)
		}
	}
}

// leaderLostState is called when the instance at addr has lost its state of jobs and runs. If it
// leads again, it must not start the jobs that it had before their runs have ended.
func (r *receiver) leaderLostState(now time.Time, addr netip.AddrPort) {
	for _, o := range r.open {
		if slices.Contains(o.leaders, addr) {
			o.job.EarlierLeaders = max(o.job.EarlierLeaders, 1)
			o.job.awaitEarlierRuns(now)
		}
	}
}

// jobEnded answers the callers of a job that has ended, or forwards the job again, to the
// same leader or to another zone.
func (r *receiver) jobEnded(now time.Time, from netip.AddrPort, end End) {
	o := r.open[end.ID]
	if o == nil {
		if end.State == ForwardAgain && from != r.instance.cfg.Self {
			// The leader has missed that the job was withdrawn.
			r.withdrawFrom(now, from, end.ID)
		}
		return
	}
	current := from == o.zone.leader.Leader
	switch {
	case end.State == Redirected:
		if current {
			r.redirected(now, from, o, end)
		}
		return
	case end.State == ForwardAgain:
		if current {
			r.forwardAgain(now, o)
		}
		return
	case !current && end.State != Completed:
		// A former leader has dropped the job. The present leader has it.
		return
	}
	o.leaders = slices.DeleteFunc(o.leaders, func(addr netip.AddrPort) bool { return addr == from })
	r.withdraw(now, end.ID)
	note := r.instance.effects.decide
	if end.State == Completed {
		note = r.instance.effects.routine
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

// abandon records that a caller has disconnected, and withdraws a job without
// callers.
func (r *receiver) abandon(now time.Time, caller CallerID) {
	id, ok := r.callers[caller]
	if !ok {
		return
	}
	delete(r.callers, caller)
	o := r.open[id]
	o.callers = slices.DeleteFunc(o.callers, func(c CallerID) bool { return c == caller })
	if len(o.callers) == 0 {
		r.instance.effects.decide("job-abandoned", id, "request", o.job.Request, "age", now.Sub(o.job.Arrived), "forwarded", o.forwarded,
			"leaders", len(o.leaders), "confirmed", SinceOrNever(now, r.confirmedAt(o)))
		r.withdraw(now, id)
	}
}

// confirmedAt returns when this instance last confirmed to a leader that it waits for the job,
// or zero.
func (r *receiver) confirmedAt(o *openJob) time.Time {
	var latest time.Time
	for _, addr := range o.leaders {
		if addr == r.instance.cfg.Self {
			return r.ownConfirmedAt
		}
		latest = later(latest, r.instance.peer(addr).repliedAt)
	}
	return latest
}

// cancel ends a job at the request of its caller.
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

// abort answers all callers at once, because the process is about to exit.
func (r *receiver) abort(now time.Time) {
	for _, id := range r.ids() {
		r.answerUnfinished(now, id, "leaving")
	}
}

// answerUnfinished answers the callers of a job that has not ended, and withdraws it.
func (r *receiver) answerUnfinished(now time.Time, id, reason string) {
	o := r.open[id]
	end := End{ID: id, State: Overdue, Reason: reason}
	if !o.everForwarded {
		end = End{ID: id, State: NotRun, Reason: reason, RetryAfter: o.job.retryAfterRefusal(now)}
	}
	r.instance.effects.decide("job-"+end.State.String(), id, "request", o.job.Request, "route", o.job.Route, "reason", reason, "age", now.Sub(o.job.Arrived), "retry-after", end.RetryAfter)
	for _, caller := range o.callers {
		delete(r.callers, caller)
		r.answer(caller, end)
	}
	r.withdraw(now, id)
}

// withdraw removes a job for which no caller waits, here and at all leaders that may have
// it.
func (r *receiver) withdraw(now time.Time, id string) {
	o := r.open[id]
	delete(r.open, id)
	for _, addr := range o.leaders {
		r.withdrawFrom(now, addr, id)
	}
}

// tick ends the jobs whose caller deadlines have passed, and forwards those that could not
// be forwarded before.
func (r *receiver) tick(now time.Time) {
	r.checkZones(now)
	r.confirmOwn(now)
	for _, id := range r.ids() {
		if !now.Before(r.open[id].job.CallerDeadline) {
			r.answerUnfinished(now, id, "time-out")
			continue
		}
		r.forward(now, r.open[id])
	}
}
