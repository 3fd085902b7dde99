package dispatch

import (
	"slices"
	"strconv"
	"time"
)

const (
	// speedSteps is the number of classes of equal speed between a speed and
	// its double: within a class, the fit decides.
	speedSteps = 4
	// maxMisfits is the number of jobs that find no room after which the rest
	// of the queue is not looked at.
	maxMisfits = 48
	// rackFactor is how much longer a task is taken to run far from its data.
	rackFactor = 2
)

// place starts as many waiting tasks as there is room for.
func (d *dispatcher) place(now time.Time) {
	d.queue.order()
	d.judge(now)
	misfits := 0
	for _, j := range d.queue.jobs {
		if !d.startable(now, j) {
			continue
		}
		if !d.placeJob(now, j) {
			misfits++
		}
		if misfits > maxMisfits {
			break
		}
	}
}

// startable reports whether tasks of j may be started at now.
func (d *dispatcher) startable(now time.Time, j *activeJob) bool {
	if !j.queued || !j.suspendedAt.IsZero() {
		return false
	}
	return j.EarlierLeaders == 0 || !now.Before(j.EarlierRunsEndBy) || d.allSeen()
}

// judge marks the jobs that cannot be in time any more. It refuses those that have
// waited long for their first start, and ends those of which nothing runs and that
// would end too late to be worth anything.
func (d *dispatcher) judge(now time.Time) {
	for _, j := range slices.Clone(d.queue.jobs) {
		best := d.best(j)
		if !j.late && now.Add(best).After(j.objective) {
			j.late = true
			d.queue.stale = true
		}
		switch {
		case !j.started && now.After(j.holdUntil()):
			d.end(now, j, j.unserved("overload"))
		case j.placed == 0 && now.Add(best).After(j.limit()):
			d.end(now, j, j.unserved("overload"))
		}
	}
	if d.queue.stale {
		d.queue.order()
	}
}

// best returns the run time of j's chain on a fast worker.
func (d *dispatcher) best(j *activeJob) time.Duration {
	return time.Duration(float64(j.chain) / d.topSpeed)
}

// placeJob starts waiting tasks of j, and reports whether none is left.
func (d *dispatcher) placeJob(now time.Time, j *activeJob) bool {
	var runs []byte
	defer func() {
		if len(runs) > 0 {
			d.effects.usual("tasks-started", j.ID, "runs", string(runs), "waiting", len(j.waiting), "queued", len(d.queue.jobs),
				"expected", j.chain, "left", j.objective.Sub(now), "round", j.EarlierLeaders)
		}
	}()
	for _, t := range slices.Clone(j.waiting) {
		if other := d.running[t.id]; other != nil {
			d.waits(now, j, "an earlier run on "+other.ID)
			return false
		}
		w := d.choose(now, t)
		if w == nil {
			d.waits(now, j, "no room in time")
			return false
		}
		d.start(now, w, t)
		runs = t.appendRun(runs, w)
	}
	return true
}

// waits logs the first time that a task of j finds no place.
func (d *dispatcher) waits(now time.Time, j *activeJob, why string) {
	if j.waited {
		return
	}
	j.waited = true
	d.effects.usual("job-waits", j.ID, "why", why, "tasks", len(j.waiting), "queued", len(d.queue.jobs),
		"expected", j.chain, "left", j.objective.Sub(now), "urgency", j.Urgency, "round", j.EarlierLeaders)
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

// choose returns the worker on which t is to run, or nil if t has to wait.
func (d *dispatcher) choose(now time.Time, t *task) *worker {
	step := &t.job.Steps[t.id.Step]
	expected := d.estimates.expect(t.job.Route, step.Estimate)
	var best *worker
	var bestScore score
	for _, w := range d.order {
		if !w.usable(now) || w.Pool != t.job.Pool || !w.free().holds(step.Needs) || !w.suits(step, t) {
			continue
		}
		takes := w.on(expected)
		if step.Rack != "" && step.Rack != w.Rack {
			takes *= rackFactor
		}
		if !t.job.late && now.Add(takes).After(t.job.objective) {
			continue
		}
		s := score{class: speedClass(expected, takes), rest: d.waste(w, step.Needs)}
		if best == nil || s.before(bestScore) {
			best, bestScore = w, s
		}
	}
	return best
}

// suits reports whether w may run t by the step's conditions.
func (w *worker) suits(step *Step, t *task) bool {
	if step.Label != "" && !slices.Contains(w.Labels, step.Label) {
		return false
	}
	if w.ID == t.avoid || (w.trouble >= troubleLimit && len(w.runs) > 0) {
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

// score compares workers for a task; the lesser one is better.
type score struct {
	// class is the run time there, on a logarithmic scale.
	class int
	// rest is the share of the worker that would be of no use beside it.
	rest int
}

func (s score) before(other score) bool {
	if s.class != other.class {
		return s.class < other.class
	}
	return s.rest < other.rest
}

// waste returns the processors, in thousandths of a core, that are left on w
// beside needs, if they are too few for another typical task, or 0.
func (d *dispatcher) waste(w *worker, needs Resources) int {
	rest := w.free().Millicores - needs.Millicores
	if float64(rest) >= d.typicalCPU {
		return 0
	}
	return rest
}
