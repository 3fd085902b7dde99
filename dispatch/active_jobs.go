package dispatch

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// addJob adds a job that the instance from has forwarded, or reports its end if that
// is known.
func (d *dispatcher) addJob(now time.Time, from netip.AddrPort, job Job) {
	home := d.zoneOf(from)
	zone := cmp.Or(job.Zone, home)
	if _, led := d.terms[zone]; !led {
		d.effects.decide("job-rejected", job.ID, "from", from, "zone", zone)
		if zone != home {
			d.reportEnd(now, from, End{ID: job.ID, State: Redirected, Reason: notLeader})
		}
		return
	}
	if zone != home && from != d.self {
		d.foreign.forwarded(now, from)
	}
	submitted := job.Arrived
	kept := d.ends[job.ID]
	switch {
	case kept == nil:
	case kept.end.State == Redirected && job.Zone != "":
		// The job has returned.
		delete(d.ends, job.ID)
		kept = nil
	case kept.resubmit(&job):
		delete(d.ends, job.ID)
		kept = nil
	}
	if kept != nil {
		kept.receivers = append(kept.receivers, from)
		d.reportEnd(now, from, kept.end)
		return
	}
	j := d.jobs[job.ID]
	isNew := j == nil
	if isNew {
		if len(d.jobs) >= maxJobs {
			d.reportEnd(now, from, job.notServed("too-many-jobs"))
			return
		}
		j = d.activate(now, job, submitted)
		if zone != home {
			d.loads.accept(now, j.Pool)
			d.effects.Redirects = append(d.effects.Redirects, Redirect{In: true, Zone: home})
			d.effects.routine("job-redirect-accepted", job.ID, "from", home, "to", zone, "receiver", from, "round", job.EarlierLeaders)
		}
	}
	j.foreign = zone != home && (j.foreign || len(j.receivers) == 0)
	if _, known := j.receivers[from]; !isNew && !known {
		d.effects.decide("job-joined", j.ID, "receiver", from, "receivers", len(j.receivers), "placed", j.placed,
			"confirmed", SinceOrNever(now, d.jobConfirmedAt(now, j)))
	}
	j.receivers[from] = zone
	j.CallerDeadline = later(j.CallerDeadline, job.CallerDeadline)
	j.forwardedAgain(job)
	if j.apply(eventForward) {
		j.suspendedAt, j.forwardRequestedAt = time.Time{}, time.Time{}
		d.effects.decide("job-resumed", j.ID, "receiver", from)
	}
	if isNew {
		d.adoptRuns(now, j)
	}
	d.queue.add(j)
}

// later returns the later of a and b.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// activate adds job, which its caller submitted last at submitted, as an active job.
func (d *dispatcher) activate(now time.Time, job Job, submitted time.Time) *activeJob {
	j := newActiveJob(job)
	j.submitted = submitted
	d.jobs[job.ID] = j
	var longest, nominal time.Duration
	for _, step := range job.Steps {
		expected := d.estimates.expectedRunTime(job.Route, step.Estimate)
		j.runTimes = append(j.runTimes, expected)
		longest += expected
		nominal += d.estimates.nominalRunTime(job.Route, expected)
		cores := float64(step.Needs.Millicores) / 1000
		j.work += expected.Seconds() * cores * float64(step.Tasks)
		if d.typicalMillicores == 0 {
			d.typicalMillicores = float64(step.Needs.Millicores)
		}
		d.typicalMillicores += estimateWeight * (float64(step.Needs.Millicores) - d.typicalMillicores)
	}
	j.chainTime = longest
	j.objective = job.Arrived.Add(time.Duration(job.Stretch*float64(nominal)) + job.Slack - overhead)
	j.size = d.sizes.classify(j)
	j.largeFirst = d.sizes.underserved(j)
	j.late = now.Add(d.minChainTime(j)).After(j.objective)
	d.demand.add(now, j)
	capacity := d.overloadedPools(now)[j.Pool]
	j.scarce, j.displaced = d.scarceFor(j, capacity), d.isDisplaced(j, capacity)
	return j
}

// adoptRuns adopts the ends and the runs of j's tasks that an earlier leader has
// started. j may end.
func (d *dispatcher) adoptRuns(now time.Time, j *activeJob) {
	for _, w := range d.ledWorkers() {
		for _, f := range w.unclaimedEnds {
			if t := j.task(f.Task); f.Task.Job == j.ID && f.Result == RunSucceeded && t != nil {
				d.taskSucceeded(now, t)
			}
		}
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if w := d.running[t.id]; w != nil {
				d.adopt(now, w, t)
			}
		}
	}
}

// adopt assigns the run of t on w to t, unless the run is being stopped or t has
// another run. If t is done, the run is stopped.
func (d *dispatcher) adopt(now time.Time, w *worker, t *task) {
	r := w.runs[t.id]
	if r == nil {
		return
	}
	t.number = max(t.number, r.number)
	switch {
	case r.state == runStopping || r.task != nil:
		return
	case t.state == taskDone:
		d.stopUnneeded(now, w, r)
		return
	}
	if !t.apply(eventPlace) {
		return
	}
	w.adopt(r, t)
	d.pollDue = append(d.pollDue, w)
	d.effects.decide("run-adopted", t.job.ID, "worker", w.ID, "step", t.id.Step, "task", t.id.Index, "run", r.number)
}

// taskSucceeded records the success of t, of which other runs may be running, and ends its job
// if it was the last task.
func (d *dispatcher) taskSucceeded(now time.Time, t *task) {
	if !t.apply(eventSucceed) {
		return
	}
	for _, w := range d.workersRunning(t.id) {
		d.stopUnneeded(now, w, w.runs[t.id])
	}
	j := t.job
	if j.remaining[t.id.Step] == 0 {
		j.unblock()
	}
	if j.totalRemaining == 0 {
		d.endJob(now, j, End{ID: j.ID, State: Completed})
		return
	}
	d.queue.add(j)
}

// endJob ends a job, unless it has ended: it reports the end to the receivers of the job, and
// stops its runs.
func (d *dispatcher) endJob(now time.Time, j *activeJob, end End) {
	if !d.dropJob(now, j) {
		return
	}
	if end.State != Redirected {
		d.sizes.record(j, end.State == Completed)
	}
	kept := &keptEnd{end: end, at: now, arrived: j.Arrived, earlierLeaders: j.EarlierLeaders, earlierRunsEndBy: j.EarlierRunsEndBy}
	for addr := range j.receivers {
		kept.receivers = append(kept.receivers, addr)
	}
	slices.SortFunc(kept.receivers, netip.AddrPort.Compare)
	d.ends[j.ID] = kept
	for _, addr := range kept.receivers {
		d.reportEnd(now, addr, end)
	}
	if end.State == Completed || end.State == Redirected {
		// The receiver logs the answer to the caller, and redirect the other zone.
		return
	}
	d.effects.decide("job-"+end.State.String(), j.ID, "route", j.Route, "reason", end.Reason, "age", now.Sub(j.Arrived),
		"expected", j.chainTime, "queued", len(d.queue.jobs), "left", j.totalRemaining, "placed", j.placed,
		"objective", j.objective.Sub(j.Arrived), "start", j.forecast.start, "ahead", j.forecast.ahead,
		"capacity", j.forecast.capacity, "retry-after", end.RetryAfter)
}

// dropJob ends a job without a report to its receivers, and stops its runs. It reports false if
// the job had ended before.
func (d *dispatcher) dropJob(now time.Time, j *activeJob) bool {
	if !j.apply(eventEnd) {
		return false
	}
	delete(d.jobs, j.ID)
	j.queued = false
	d.stopRuns(now, j)
	j.detachRuns()
	return true
}

// detachRuns makes the tasks of j wait for no run.
func (j *activeJob) detachRuns() {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.run != nil {
				t.run.detach()
			}
		}
	}
}

// stopRuns stops all runs of the tasks of j, whatever the states of the tasks.
func (d *dispatcher) stopRuns(now time.Time, j *activeJob) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			for _, w := range d.workersRunning(t.id) {
				d.stopRun(now, w, w.runs[t.id])
			}
		}
	}
}

// stopRun stops r, unless it is being stopped. A task that waits for r waits until it ends.
func (d *dispatcher) stopRun(now time.Time, w *worker, r *run) {
	if r.state != runStopping {
		d.stop(now, w, r)
	}
}

// stopUnneeded stops r, whose task is done.
func (d *dispatcher) stopUnneeded(now time.Time, w *worker, r *run) {
	d.effects.decide("run-unneeded", r.id.Job, "worker", w.ID, "step", r.id.Step, "task", r.id.Index, "run", r.number)
	d.stopRun(now, w, r)
	r.detach()
}

// withdraw removes from as a receiver of a job, and drops a job without receivers.
func (d *dispatcher) withdraw(now time.Time, from netip.AddrPort, id string) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	j.confirmedAt = d.jobConfirmedAt(now, j)
	delete(j.receivers, from)
	if len(j.receivers) == 0 {
		d.effects.decide("job-withdrawn", id, "receiver", from, "age", now.Sub(j.Arrived), "placed", j.placed, "confirmed", SinceOrNever(now, j.confirmedAt))
		d.dropJob(now, j)
	}
}

// withdrawAll removes from as a receiver of all jobs, because its process has ended.
func (d *dispatcher) withdrawAll(now time.Time, from netip.AddrPort) {
	for _, id := range d.jobIDs() {
		if _, waits := d.jobs[id].receivers[from]; waits {
			d.withdraw(now, from, id)
		}
	}
}

// resendEnds reports to a receiver again how its jobs have ended.
func (d *dispatcher) resendEnds(now time.Time, to netip.AddrPort) {
	for _, id := range slices.Sorted(maps.Keys(d.ends)) {
		kept := d.ends[id]
		if slices.Contains(kept.receivers, to) {
			d.reportEnd(now, to, kept.end)
		}
	}
}
