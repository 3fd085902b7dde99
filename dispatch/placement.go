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
	// remoteRackFactor is the factor by which the expected run time of a task grows
	// on a rack that does not hold its data.
	remoteRackFactor = 2
)

// place starts as many waiting tasks as the free resources allow.
func (d *dispatcher) place(now time.Time) {
	d.findUnreadZones(now)
	d.queue.sort()
	d.checkObjectives(now)
	if len(d.queue.jobs) == 0 {
		return
	}
	d.findOpenWorkers(now)
	unplaced := 0
	for _, j := range d.queue.jobs {
		if !d.startable(now, j) {
			continue
		}
		if !d.placeJob(now, j) {
			unplaced++
		}
		if unplaced > maxUnplacedJobs {
			break
		}
	}
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
		if w.usable(now) && !d.unreadZones[w.shard] && w.free().fits(least) && d.startsAllowed(now, w) {
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
	if !j.queued || !j.suspendedAt.IsZero() || now.Sub(d.jobConfirmedAt(now, j)) > d.runConfirmation-minStartLease {
		return false
	}
	return j.EarlierLeaders == 0 || !now.Before(j.EarlierRunsEndBy) || d.allPolled()
}

// checkObjectives marks the jobs that cannot meet their objective any more. It
// refuses jobs that have waited too long for their first start, and ends jobs without
// runs that would end too late to be worth anything.
func (d *dispatcher) checkObjectives(now time.Time) {
	for _, j := range slices.Clone(d.queue.jobs) {
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

// giveUp ends a job that this leader does not serve.
func (d *dispatcher) giveUp(now time.Time, j *activeJob, reason string) {
	d.endJob(now, j, j.notServed(reason))
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
	for _, t := range slices.Clone(j.waiting) {
		if other := d.running[t.id]; other != nil {
			d.logWait(now, j, "an earlier run may continue on "+other.ID)
			return false
		}
		w := d.chooseWorker(now, t)
		if w == nil {
			d.logWait(now, j, "no worker with free resources in time")
			return false
		}
		d.start(now, w, t)
		runs = t.appendRun(runs, w)
	}
	return true
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
	for _, w := range d.open {
		if w.Pool != t.job.Pool || !w.free().fits(step.Needs) || !w.eligible(step, t) {
			continue
		}
		runTime := w.runTime(expected)
		if step.Rack != "" && step.Rack != w.Rack {
			runTime *= remoteRackFactor
		}
		if !t.job.late && now.Add(runTime).After(t.job.objective) {
			continue
		}
		s := score{class: speedClass(expected, runTime), wasted: d.wasted(w, step.Needs)}
		if best == nil || s.less(bestScore) {
			best, bestScore = w, s
		}
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
	// wasted is the processor capacity, in thousandths of a core, that would be left
	// unusable.
	wasted int
}

func (s score) less(other score) bool {
	if s.class != other.class {
		return s.class < other.class
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
