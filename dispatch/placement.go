package dispatch

import (
	"slices"
	"strconv"
	"time"
)

const (
	// speedClassesPerDoubling is the number of run time classes between a run time
	// and its double. Within a class the worker with the least unusable capacity is
	// chosen.
	speedClassesPerDoubling = 4
	// maxUnplacedJobs is the number of jobs without a suitable worker after which the
	// rest of the queue is skipped.
	maxUnplacedJobs = 48
	// defaultRemoteRackFactor is the factor by which the expected run time of a task
	// grows on a rack that does not hold its data, unless the Config sets another one.
	defaultRemoteRackFactor = 2
)

// place starts as many waiting tasks as the free resources allow.
func (d *dispatcher) place(now time.Time) {
	d.findUnreadZones(now)
	d.queue.sort()
	d.checkObjectives(now)
	d.refuseDrained(now)
	overloaded := d.overloadedPools(now)
	if len(d.queue.jobs) == 0 {
		return
	}
	d.findOpenWorkers(now)
	d.waitingAhead = false
	unplaced := 0
	for _, j := range d.queue.jobs {
		if !d.startable(now, j) || (overloaded[j.Pool] > 0 && d.blockedByOverload(j)) {
			continue
		}
		if !d.placeJob(now, j) {
			unplaced++
			d.waitingAhead = true
		}
		if unplaced > maxUnplacedJobs {
			break
		}
	}
	d.planQueue(now)
}

// findOpenWorkers determines the workers on which a task of a queued job might be started
// now: under overload these are few, however many workers there are. At least one job must
// be queued.
func (d *dispatcher) findOpenWorkers(now time.Time) {
	least := d.queue.jobs[0].Steps[0].Needs
	for _, j := range d.queue.jobs {
		for _, step := range j.Steps {
			least = least.min(step.Needs)
		}
	}
	d.open = d.open[:0]
	for _, w := range d.ledWorkers() {
		if d.available(now, w) && !d.unreadZones[w.shard] && w.free().fits(least) && d.startsAllowed(now, w) {
			d.open = append(d.open, w)
		}
	}
}

// findUnreadZones determines the zones in which no task may be started yet: those that
// this instance has just come to lead with an old worker table, until it has read the
// table or has waited too long for that.
func (d *dispatcher) findUnreadZones(now time.Time) {
	clear(d.unreadZones)
	for zone := range d.terms {
		if takenOver := d.takenOver[zone]; now.Sub(takenOver) < tableReadTimeout && takenOver.Sub(d.workersReadAt()) > maxTableAge {
			d.unreadZones[zone] = true
		}
	}
}

// startable reports whether tasks of j may be started at now.
func (d *dispatcher) startable(now time.Time, j *activeJob) bool {
	if !j.queued || j.state != jobActive || now.Sub(d.jobConfirmedAt(now, j)) > d.runConfirmation-minStartLease {
		return false
	}
	return j.EarlierLeaders == 0 || !now.Before(j.EarlierRunsEndBy) || d.allPolled(j.Pool)
}

// checkObjectives marks the jobs that cannot meet their objective any more. It
// refuses jobs that have waited too long for their first start, and ends jobs without
// runs that would end too late to be worth anything.
func (d *dispatcher) checkObjectives(now time.Time) {
	for _, j := range slices.Clone(d.queue.jobs) {
		if !now.Before(j.CallerDeadline) {
			d.dropExpired(now, j)
			continue
		}
		best := d.minChainTime(j)
		if !j.late && now.Add(best).After(j.objective) {
			j.late = true
			d.queue.stale = true
		}
		switch {
		case !j.started && now.After(j.maxWaitUntil()):
			d.giveUp(now, j, "overload")
		case j.placed == 0 && now.Add(best).After(j.worthlessAfter()):
			d.giveUp(now, j, "overload")
		}
	}
	if d.queue.stale {
		d.queue.sort()
	}
}

// giveUp redirects a job that this leader does not serve to another zone that can, or ends
// it. It keeps a job that may be redirected with the next load.
func (d *dispatcher) giveUp(now time.Time, j *activeJob, reason string) {
	if d.redirectRefused(now, j) || d.awaitsRoom(now, j) {
		return
	}
	end := j.notServed(reason)
	if end.State == NotRun {
		end.RetryAfter = retryAfter(now, j.ID, j.forecast.start, j.retrySpread(), j.CallerDeadline)
	}
	d.endJob(now, j, end)
}

// minChainTime returns the expected run time of j's longest chain of tasks on a fast
// worker.
func (d *dispatcher) minChainTime(j *activeJob) time.Duration {
	return time.Duration(float64(j.chainTime) / d.topSpeed)
}

// placeJob starts waiting tasks of j, and reports whether it started all.
func (d *dispatcher) placeJob(now time.Time, j *activeJob) bool {
	var runs []byte
	defer func() {
		if len(runs) > 0 {
			d.effects.routine("tasks-started", j.ID, "runs", string(runs), "waiting", len(j.waiting), "queued", len(d.queue.jobs),
				"expected", j.chainTime, "left", j.objective.Sub(now), "round", j.EarlierLeaders,
				"workers-read", SinceOrNever(now, d.workersReadAt()))
		}
	}()
	all := true
	for _, t := range slices.Clone(j.waiting) {
		if other := d.running[t.id]; other != nil {
			d.logWait(now, j, "an earlier run may continue on "+other.ID)
			all = false
			continue
		}
		w := d.chooseWorker(now, t)
		if w == nil {
			d.logWait(now, j, "no worker with free resources in time")
			return false
		}
		d.start(now, w, t)
		runs = t.appendRun(runs, w)
	}
	return all
}

// logWait logs that a task of j finds no worker, once for each job.
func (d *dispatcher) logWait(now time.Time, j *activeJob, why string) {
	if j.waitLogged {
		return
	}
	j.waitLogged = true
	d.effects.routine("job-waits", j.ID, "why", why, "tasks", len(j.waiting), "queued", len(d.queue.jobs),
		"expected", j.chainTime, "left", j.objective.Sub(now), "urgency", j.Urgency, "round", j.EarlierLeaders)
}

// appendRun appends the latest run of t on w, for the log.
func (t *task) appendRun(runs []byte, w *worker) []byte {
	if len(runs) > 0 {
		runs = append(runs, ' ')
	}
	runs = strconv.AppendInt(runs, int64(t.id.Step), 10)
	runs = append(runs, '.')
	runs = strconv.AppendInt(runs, int64(t.id.Index), 10)
	runs = append(runs, '#')
	runs = strconv.AppendInt(runs, int64(t.number), 10)
	runs = append(runs, '@')
	return append(runs, w.ID...)
}

// chooseWorker returns the worker on which t should run, or nil if t has to wait.
func (d *dispatcher) chooseWorker(now time.Time, t *task) *worker {
	step := &t.job.Steps[t.id.Step]
	expected := d.estimates.expectedRunTime(t.job.Route, step.Estimate)
	var best *worker
	var bestScore score
	var bestTime time.Duration
	for _, w := range d.open {
		if w.Pool != t.job.Pool || !w.free().fits(step.Needs) || !w.eligible(step, t) {
			continue
		}
		runTime := d.runTimeOn(w, step, expected)
		if !t.job.late && now.Add(runTime).After(t.job.objective) {
			// A faster worker may still end the task in time.
			continue
		}
		s := score{class: speedClass(expected, runTime), uncertainSpeed: w.uncertainSpeed > 0, wasted: d.wasted(w, step.Needs)}
		if best == nil || s.less(bestScore) {
			best, bestScore, bestTime = w, s, runTime
		}
	}
	if best != nil && t.job.late && d.fasterSoon(now, t, expected, bestTime) {
		return nil
	}
	return best
}

// eligible reports whether w meets the conditions of the step to run t.
func (w *worker) eligible(step *Step, t *task) bool {
	if step.Label != "" && !slices.Contains(w.Labels, step.Label) {
		return false
	}
	if w.ID == t.avoidWorker || (w.failuresInRow >= failureLimit && len(w.runs) > 0) {
		return false
	}
	if step.MaxPerWorker == 0 {
		return true
	}
	same := 0
	for id := range w.runs {
		if id.Job == t.id.Job && id.Step == t.id.Step {
			same++
		}
	}
	return same < step.MaxPerWorker
}

// score ranks workers for a task. The lower score is better.
type score struct {
	// class is the class of the run time on the worker, on a logarithmic scale.
	class int
	// uncertainSpeed is set if the worker's speed is not known.
	uncertainSpeed bool
	// wasted is the processor capacity, in thousandths of a core, that would be left
	// unusable.
	wasted int
}

func (s score) less(other score) bool {
	if s.class != other.class {
		return s.class < other.class
	}
	if s.uncertainSpeed != other.uncertainSpeed {
		return other.uncertainSpeed
	}
	return s.wasted < other.wasted
}

// wasted returns the processor capacity, in thousandths of a core, that is left on w
// beside needs if it is too small for another typical task, or 0.
func (d *dispatcher) wasted(w *worker, needs Resources) int {
	leftover := w.free().Millicores - needs.Millicores
	if float64(leftover) >= d.typicalMillicores {
		return 0
	}
	return leftover
}
