package dispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// worth returns the worth of a job to its caller, without its size.
func (j *modelJob) worth() float64 {
	switch {
	case j.end != dispatch.Completed || j.ended > 3*j.objective:
		return 0
	case j.ended > j.objective:
		return 0.2
	default:
		return 1
	}
}

// A modelResult is what the callers of one kind got.
type modelResult struct {
	jobs int
	// inTime is the share of the jobs that ended in time, and worth the mean worth by
	// size.
	inTime, worth float64
	// served is the share of the jobs that completed, and largest and large those of the
	// largest tenth of the jobs and of the fifth below it.
	served, largest, large float64
	// refused is the number of jobs that were refused at least once. median and latest
	// are the times of the first refusals, latestShare the latest one as a share of the
	// time to the objective.
	refused        int
	median, latest time.Duration
	latestShare    float64
}

// arrived returns the jobs of a kind that arrived in a period.
func (m *loadModel) arrived(kind int, from, to time.Time) []*modelJob {
	var jobs []*modelJob
	for _, j := range m.jobs {
		if j.kind == kind && !j.first.Before(from) && j.first.Before(to) {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// resultsOf returns what the callers of jobs of one kind got.
func resultsOf(jobs []*modelJob) modelResult {
	r := modelResult{jobs: len(jobs)}
	if len(jobs) == 0 {
		return r
	}
	slices.SortStableFunc(jobs, func(a, b *modelJob) int { return cmp.Compare(a.work, b.work) })
	mean, weights := 0.0, 0.0
	for _, j := range jobs {
		mean += j.work / float64(len(jobs))
	}
	var refusals []time.Duration
	for _, j := range jobs {
		weight := 0.3 + 0.7*j.work/mean
		weights += weight
		r.worth += weight * j.worth()
		if j.firstRefusedAt > 0 {
			refusals = append(refusals, j.firstRefusedAt)
			r.latestShare = max(r.latestShare, float64(j.firstRefusedAt)/float64(j.objective))
		}
	}
	r.worth /= weights
	n := len(jobs)
	r.inTime = share(jobs, func(j *modelJob) bool { return j.worth() == 1 })
	completed := func(j *modelJob) bool { return j.end == dispatch.Completed }
	r.served, r.large, r.largest = share(jobs, completed), share(jobs[n*7/10:n*9/10], completed), share(jobs[n*9/10:], completed)
	if r.refused = len(refusals); r.refused > 0 {
		slices.Sort(refusals)
		r.median, r.latest = refusals[len(refusals)/2], refusals[len(refusals)-1]
	}
	return r
}

// share returns the share of the jobs that meet a condition.
func share(jobs []*modelJob, condition func(*modelJob) bool) float64 {
	n := 0
	for _, j := range jobs {
		if condition(j) {
			n++
		}
	}
	return float64(n) / float64(max(len(jobs), 1))
}

// String returns the results as a row of a table.
func (r modelResult) String() string {
	return fmt.Sprintf("%5d | %.3f | %.3f | %.3f | %.3f | %.3f | %4d | %5.1f | %.2f", r.jobs, r.inTime, r.worth, r.served, r.large, r.largest,
		r.refused, float64(r.median)/float64(time.Millisecond), r.latestShare)
}

// slotsUsed returns, for each kind, the shares of the capacity of four floods that went to the
// jobs that ended in time, late, and not at all.
func slotsUsed(jobs [3][]*modelJob) (shares [3][3]string) {
	for kind := range jobs {
		var used [3]time.Duration
		for _, j := range jobs[kind] {
			switch j.worth() {
			case 1:
				used[0] += j.busy
			case 0:
				used[2] += j.busy
			default:
				used[1] += j.busy
			}
		}
		for n, u := range used {
			shares[kind][n] = fmt.Sprintf("%.3f", u.Seconds()/(4*modelFlood.Seconds()*2*modelWorkers))
		}
	}
	return shares
}
