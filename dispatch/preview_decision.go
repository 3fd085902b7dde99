package dispatch

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// maxPreviewWorkers is the number of tasks for which a preview names the workers.
const maxPreviewWorkers = 5

// The reasons for which a previewed job waits or a worker gets no task, beside those of
// refusals, redirects and uncertain states (DoubtReason).
const (
	reasonBusy       = "busy"
	reasonTooSlow    = "too-slow"
	reasonIneligible = "ineligible"
	reasonLease      = "lease-ending"
	reasonUnread     = "table-unread"
	reasonLeaving    = "leaving"
	reasonUnlisted   = "unlisted"
	reasonOverloaded = "overloaded"
	reasonAhead      = "queue-ahead"
	reasonUnstarted  = "not-startable"
	reasonFasterSoon = "faster-worker-soon"
	// reasonAwaitsRoom means that the job waits for the next load of a zone with capacity.
	reasonAwaitsRoom = "other-zone-soon"
)

// copyForPreview returns a copy of d whose queue, demand and sizes the decision functions may
// change. The runs and the workers are shared and must not be changed.
func (d *dispatcher) copyForPreview() *dispatcher {
	c := *d
	c.effects = &Effects{}
	c.jobs = make(map[string]*activeJob)
	c.unreadZones = make(map[string]bool)
	c.open = nil
	c.queue = queue{stale: true}
	for _, j := range d.queue.jobs {
		copied := *j
		c.queue.jobs = append(c.queue.jobs, &copied)
	}
	c.demand = make(demand, len(d.demand))
	for pool, p := range d.demand {
		copied := *p
		copied.work, copied.ranks, copied.before = maps.Clone(p.work), slices.Clone(p.ranks), slices.Clone(p.before)
		c.demand[pool] = &copied
	}
	c.sizes = make(sizes, len(d.sizes))
	for route, s := range d.sizes {
		copied := *s
		c.sizes[route] = &copied
	}
	return &c
}

// preview returns what would happen now to a job that a receiver of the zone home forwards.
func (d *dispatcher) preview(now time.Time, home string, job Job) *PreviewDecision {
	c := d.copyForPreview()
	j := c.activate(now, job, now)
	j.receivers = map[netip.AddrPort]string{d.self: home}
	c.queue.add(j)
	c.findUnreadZones(now)
	pools := c.planPools(now)
	overloaded := c.overloadedPools(now)[j.Pool] > 0
	c.assignMinShares(now, pools)
	c.queue.sort()
	p := &PreviewDecision{
		Objective: Millis(j.objective.Sub(now)), MaxWait: Millis(j.maxWaitUntil().Sub(now)), Ahead: c.previewAhead(j),
		DrainedZones: slices.Clone(d.drained.zones), DrainedRevision: d.drained.revision, Zones: c.previewZones(now, j.Pool),
	}
	c.findOpenWorkers(now)
	p.Workers = c.previewWorkers(now, j)
	switch reason := c.previewRefusal(now, j, len(d.jobs)); {
	case reason == "too-many-jobs":
		p.refuse(now, j, reason)
	case reason != "":
		c.previewGivenUp(now, j, p, reason)
	case c.previewStart(now, j, p, overloaded):
		p.Outcome = PreviewStarts
	default:
		c.previewWait(now, j, p, pools)
	}
	return p
}

// previewRefusal returns the reason why j would be refused whatever the queue is, or an empty
// string.
func (d *dispatcher) previewRefusal(now time.Time, j *activeJob, jobs int) string {
	switch {
	case jobs >= maxJobs:
		return "too-many-jobs"
	case now.Add(d.minChainTime(j)).After(j.worthlessAfter()):
		return "overload"
	case len(d.unreadZones) == 0 && d.drainedPools(now)[j.Pool]:
		return reasonDrained
	default:
		return ""
	}
}

// previewStart reports whether all waiting tasks of j would start now. It chooses the workers
// of the first ones.
func (d *dispatcher) previewStart(now time.Time, j *activeJob, p *PreviewDecision, overloaded bool) bool {
	waitingAhead := d.startableAhead(now, j)
	d.waitingAhead = waitingAhead > 0
	switch {
	case !d.startable(now, j):
		p.Reason = reasonUnstarted
		return false
	case overloaded && d.blockedByOverload(j):
		p.Reason = reasonOverloaded
		return false
	case waitingAhead > maxUnplacedJobs:
		p.Reason = reasonAhead
		return false
	}
	var longest time.Duration
	for _, t := range j.waiting[:min(len(j.waiting), maxPreviewWorkers)] {
		w := d.chooseWorker(now, t)
		if w == nil {
			p.Reason = p.Workers.mainReason()
			return false
		}
		chosen := d.previewWorker(now, j, t, w)
		longest = max(longest, time.Duration(chosen.Run))
		p.Workers.Chosen = append(p.Workers.Chosen, chosen)
		d.reserve(now, w, t)
	}
	if p.Workers.Room < len(j.waiting) {
		p.Reason = reasonBusy
		return false
	}
	p.expect(0, longest)
	return true
}

// startableAhead returns the number of startable jobs ahead of j in the queue.
func (d *dispatcher) startableAhead(now time.Time, j *activeJob) int {
	n := 0
	for _, other := range d.queue.jobs {
		if other == j {
			break
		}
		if d.startable(now, other) {
			n++
		}
	}
	return n
}

// reserve replaces w among the open workers by a copy that runs t.
func (d *dispatcher) reserve(now time.Time, w *worker, t *task) {
	c := *w
	c.runs = maps.Clone(w.runs)
	c.add(&run{id: t.id, task: t, needs: t.job.Steps[t.id.Step].Needs, since: now})
	d.open[slices.Index(d.open, w)] = &c
}

// roomFor returns the number of tasks like t for which w has room.
func roomFor(w *worker, t *task, step *Step) int {
	free, needs := w.free(), step.Needs
	room := math.MaxInt
	for _, r := range [][2]int{{free.Millicores, needs.Millicores}, {free.Memory, needs.Memory}, {free.Accelerators, needs.Accelerators}} {
		if r[1] > 0 {
			room = min(room, r[0]/r[1])
		}
	}
	if step.MaxPerWorker == 0 {
		return room
	}
	allowed := step.MaxPerWorker
	for id := range w.runs {
		if id.Job == t.id.Job && id.Step == t.id.Step {
			allowed--
		}
	}
	return min(room, allowed)
}

// previewWait determines whether j would wait, be redirected or be refused if not all of its
// tasks can start now.
func (d *dispatcher) previewWait(now time.Time, j *activeJob, p *PreviewDecision, pools map[string]*poolPlan) {
	p.Outcome = PreviewWaits
	fits := true
	for _, other := range d.queue.jobs {
		pool := pools[other.Pool]
		if pool == nil || pool.capacity == 0 || !d.startable(now, other) {
			continue
		}
		planned := d.planJob(now, pool, other)
		if other == j {
			fits = planned
			p.expect(other.forecast.start, j.chainTime)
			break
		}
	}
	if !fits {
		d.previewGivenUp(now, j, p, j.refusalReason())
		return
	}
	load := d.poolLoad(now, j.Pool)
	candidates := d.redirectCandidates(now, j.Pool, load)
	n := slices.IndexFunc(candidates, func(c redirectCandidate) bool { return c.id == j.ID })
	if p.Start != nil && *p.Start == 0 && n >= 0 && candidates[n].wait > 0 {
		// The plan does not let the last tasks of a job wait for the first ones.
		p.expect(candidates[n].wait, j.chainTime)
	}
	if len(d.loads.zones) == 0 || d.otherLeaders(now) == 0 || !d.settled(now) {
		return
	}
	r := d.redirectDecision(now, j.Pool, load)
	if len(r.offers) > 0 {
		p.redirect(j, r.choose(candidates))
	}
}

// previewGivenUp decides as giveUp does: j is redirected or refused.
func (d *dispatcher) previewGivenUp(now time.Time, j *activeJob, p *PreviewDecision, reason string) {
	if len(d.loads.zones) > 0 && d.otherLeaders(now) > 0 {
		_, needs := j.waitingWork()
		r := d.redirectDecision(now, j.Pool, d.poolLoad(now, j.Pool))
		if p.redirect(j, r.choose([]redirectCandidate{d.redirectCandidate(now, j, needs, -1)})) {
			return
		}
		if d.awaitsRoom(now, j) {
			p.Outcome, p.Reason = PreviewWaits, reasonAwaitsRoom
			return
		}
	}
	p.refuse(now, j, reason)
}

// expect sets the expected times until the start and the end.
func (p *PreviewDecision) expect(start, run time.Duration) {
	from, to := Millis(start), Millis(start+run)
	p.Start, p.End = &from, &to
}

// redirect records whether j is among the redirected jobs.
func (p *PreviewDecision) redirect(j *activeJob, choices []redirectChoice) bool {
	n := slices.IndexFunc(choices, func(c redirectChoice) bool { return c.id == j.ID })
	if n < 0 {
		return false
	}
	c := choices[n]
	p.Outcome, p.Reason, p.RedirectedTo = PreviewRedirected, c.reason, c.zone
	p.expect(redirectTime+max(c.otherWait, 0), j.chainTime)
	return true
}

// refuse records that j would be refused.
func (p *PreviewDecision) refuse(now time.Time, j *activeJob, reason string) {
	p.Outcome, p.Reason = PreviewRefused, reason
	wait, spread := j.forecast.start, j.retrySpread()
	p.RetryAfter = Millis(retryAfter(now, j.ID, wait, 0, j.CallerDeadline))
	p.RetryAfterLatest = Millis(retryAfter(now, j.ID, wait+spread, 0, j.CallerDeadline))
}

// previewAhead returns the jobs of the pool of j that are ahead of it, by urgency.
func (d *dispatcher) previewAhead(j *activeJob) []PreviewQueue {
	ahead := []PreviewQueue{}
	for _, other := range d.queue.jobs {
		if other == j {
			break
		}
		if other.Pool != j.Pool {
			continue
		}
		n := slices.IndexFunc(ahead, func(q PreviewQueue) bool { return q.Urgency == other.Urgency })
		if n < 0 {
			n = len(ahead)
			ahead = append(ahead, PreviewQueue{Urgency: other.Urgency})
		}
		ahead[n].Jobs++
		ahead[n].Tasks += len(other.waiting)
		work, _ := other.waitingWork()
		ahead[n].CoreSeconds += work
	}
	slices.SortFunc(ahead, func(a, b PreviewQueue) int { return a.Urgency - b.Urgency })
	return ahead
}

// previewZones returns the loads of the other zones for a pool, in the order of their names.
func (d *dispatcher) previewZones(now time.Time, pool string) []PreviewZone {
	zones := []PreviewZone{}
	for zone, load := range d.loads.zones {
		room := load.pools[pool]
		_, age, usable := d.loads.room(now, zone, pool)
		zones = append(zones, PreviewZone{
			Zone: zone, Millicores: room.capacity, FreeMillicores: room.free, Wait: Millis(room.wait), Age: Millis(age), Usable: usable,
		})
	}
	slices.SortFunc(zones, func(a, b PreviewZone) int { return strings.Compare(a.Zone, b.Zone) })
	return zones
}

// previewWorkers counts the workers of the pool of j that could run its first task now, and
// the others by the reason.
func (d *dispatcher) previewWorkers(now time.Time, j *activeJob) PreviewWorkers {
	step := &j.Steps[j.waiting[0].id.Step]
	p := PreviewWorkers{Pool: j.Pool, Others: make(map[string]int), Chosen: []PreviewWorker{}}
	for _, w := range d.ledWorkers() {
		if w.Pool != j.Pool {
			continue
		}
		p.Total++
		if reason := d.obstacle(now, w, j.waiting[0]); reason != "" {
			p.Others[reason]++
			continue
		}
		p.Fit++
		p.Room += min(len(j.waiting), roomFor(w, j.waiting[0], step))
	}
	return p
}

// mainReason returns the reason why the next task finds no worker: that which applies to most
// workers, unless some could run a task.
func (p *PreviewWorkers) mainReason() string {
	switch {
	case p.Total == 0:
		return noWorkers
	case len(p.Chosen) > 0:
		return reasonBusy
	case p.Fit > 0:
		return reasonFasterSoon
	}
	best := reasonBusy
	for reason, n := range p.Others {
		if n > p.Others[best] || (n == p.Others[best] && n > 0 && reason < best) {
			best = reason
		}
	}
	return best
}

// obstacle returns the reason why t cannot start on w now, or an empty string.
func (d *dispatcher) obstacle(now time.Time, w *worker, t *task) string {
	step := &t.job.Steps[t.id.Step]
	reason, uncertain := w.uncertainState(now)
	switch {
	case w.Leaving:
		return reasonLeaving
	case w.gone(now):
		return reasonUnlisted
	case !d.drained.allow(w.Zone):
		return reasonDrained
	case d.unreadZones[w.shard]:
		return reasonUnread
	case uncertain:
		return reason.String()
	case !w.free().fits(step.Needs):
		return reasonBusy
	case !w.eligible(step, t):
		return reasonIneligible
	case !d.startsAllowed(now, w):
		return reasonLease
	case !t.job.late && now.Add(d.runTimeOn(w, step, t.job.runTimes[t.id.Step])).After(t.job.objective):
		return reasonTooSlow
	default:
		return ""
	}
}

// previewWorker describes the worker w on which t would run.
func (d *dispatcher) previewWorker(now time.Time, j *activeJob, t *task, w *worker) PreviewWorker {
	step := &j.Steps[t.id.Step]
	run := d.runTimeOn(w, step, j.runTimes[t.id.Step])
	return PreviewWorker{
		ID: w.ID, Rack: w.Rack, Speed: w.speed, Run: Millis(run),
		InTime: !now.Add(run).After(j.objective), RemoteData: step.Rack != "" && step.Rack != w.Rack,
	}
}
