package dispatch

import "time"

// poolLoad is the load of the workers of one pool that this instance commands.
type poolLoad struct {
	// capacity is the processor capacity of the usable workers, and free the unused
	// capacity of those on which another typical task fits, in thousandths of a core.
	capacity, free int
	// waiting is the capacity that the waiting tasks need, in thousandths of a core.
	waiting int
	// work is the expected processor time of the waiting tasks in core-seconds, by
	// urgency.
	work map[int]float64
}

// poolLoad returns the load of a pool at now.
func (d *dispatcher) poolLoad(now time.Time, pool string) poolLoad {
	load := poolLoad{work: make(map[int]float64)}
	for _, w := range d.ledWorkers() {
		if w.Pool != pool || !d.available(now, w) {
			continue
		}
		load.capacity += w.Capacity.Millicores
		if free := w.free().Millicores; float64(free) >= d.typicalMillicores {
			load.free += free
		}
	}
	for _, j := range d.queue.jobs {
		if j.Pool != pool {
			continue
		}
		work, millicores := j.waitingWork()
		load.waiting += millicores
		load.work[j.Urgency] += work
	}
	return load
}

// wait returns the expected time until a job of the given urgency that is added to the
// queue can start: the time in which the workers do the work ahead of it. It is negative if
// there is no usable worker.
func (l poolLoad) wait(urgency int) time.Duration {
	if l.capacity == 0 {
		return -1
	}
	if l.waiting < l.free {
		return 0
	}
	ahead := 0.0
	for u, work := range l.work {
		if u <= urgency {
			ahead += work
		}
	}
	return l.timeFor(ahead)
}

// timeFor returns the time in which the workers do the given work in core-seconds.
func (l poolLoad) timeFor(work float64) time.Duration {
	return time.Duration(work / (float64(l.capacity) / 1000) * float64(time.Second))
}

// waitingWork returns the expected processor time of the waiting tasks of j in core-seconds,
// and the capacity that they need in thousandths of a core.
func (j *activeJob) waitingWork() (work float64, millicores int) {
	for _, t := range j.waiting {
		needs := j.Steps[t.id.Step].Needs.Millicores
		work += j.runTimes[t.id.Step].Seconds() * float64(needs) / 1000
		millicores += needs
	}
	return work, millicores
}
