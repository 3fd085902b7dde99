package dispatch

import (
	"cmp"
	"slices"
)

// queue holds the jobs with waiting tasks, in the order in which they get room:
// those that can still be in time first, then by urgency, then those that have
// begun, then the smallest.
type queue struct {
	jobs []*activeJob
	// stale says that the order of jobs may have changed.
	stale bool
}

// add puts j into the queue, unless it is there.
func (q *queue) add(j *activeJob) {
	if j.queued {
		return
	}
	j.queued = true
	q.jobs = append(q.jobs, j)
	q.stale = true
}

// order sorts the queue, and drops what does not wait any more.
func (q *queue) order() {
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
		slices.SortFunc(q.jobs, compareJobs)
		q.stale = false
	}
}

func compareJobs(a, b *activeJob) int {
	return cmp.Or(
		compareBool(a.late, b.late),
		cmp.Compare(a.Urgency, b.Urgency),
		compareBool(!a.started, !b.started),
		cmp.Compare(a.work, b.work),
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
