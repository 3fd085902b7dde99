package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// queue holds the jobs with waiting tasks, in the order in which they get resources:
// jobs that can still meet their objective first, then those of a route below its minimum
// share, then by urgency, then those of the leader's own zones, then jobs that have started,
// then large jobs of a kind whose large jobs are served too rarely. Last, while the capacity
// suffices for all jobs of an urgency, those that must start earliest come first, and
// otherwise those whose waiting tasks have the least work.
type queue struct {
	jobs []*activeJob
	// stale is set when the order of the jobs may have changed.
	stale bool
}

// add appends j to the queue if it has waiting tasks, unless it is queued or has ended.
func (q *queue) add(j *activeJob) {
	if j.queued || j.state == jobEnded || len(j.waiting) == 0 {
		return
	}
	j.queued = true
	q.jobs = append(q.jobs, j)
	q.stale = true
}

// sort removes the jobs without waiting tasks, and sorts the others if their order
// may have changed.
func (q *queue) sort() {
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		if j.queued && len(j.waiting) > 0 {
			kept = append(kept, j)
		} else {
			j.queued = false
		}
	}
	clear(q.jobs[len(kept):])
	q.jobs = kept
	if q.stale {
		for _, j := range q.jobs {
			j.rank = j.queueRank()
		}
		slices.SortFunc(q.jobs, compareJobs)
		q.stale = false
	}
}

// queueRank returns the rank of j among jobs that are equal otherwise.
func (j *activeJob) queueRank() float64 {
	if j.scarce {
		work, _ := j.waitingWork()
		return work
	}
	return time.Duration(j.objective.Add(-j.chainTime).UnixNano()).Seconds()
}

func compareJobs(a, b *activeJob) int {
	return cmp.Or(
		compareBool(a.late, b.late),
		compareBool(!a.getsMinShare, !b.getsMinShare),
		cmp.Compare(a.Urgency, b.Urgency),
		compareBool(a.foreign, b.foreign),
		compareBool(!a.started, !b.started),
		compareBool(!a.largeFirst, !b.largeFirst),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
