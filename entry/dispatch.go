package entry

import (
	"cmp"
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
)

// A queue holds the jobs of one route that have unassigned tasks, ordered by when
// their next tasks are due.
type queue struct {
	route   string
	urgency int
	jobs    jobHeap
	// waiting is the number of unassigned tasks of the jobs.
	waiting     int
	completions completions
}

// enqueue adds a job to the queue of its route.
func (i *Instance) enqueue(j *job) {
	if j.queued {
		return
	}
	j.queued = true
	q := i.queue(j.route)
	q.waiting += j.waiting()
	j.due = i.dueAt(j)
	heap.Push(&q.jobs, j)
}

// dequeue removes a job from the queue of its route.
func (i *Instance) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	q := i.queues[j.route.Name]
	q.waiting -= j.waiting()
	heap.Remove(&q.jobs, j.heapIndex)
}

// dueAt returns the time that determines the place of j in its queue: the arrival of
// the job plus a delay that grows with the index of the job's next task, so that a
// large job does not delay small ones.
func (i *Instance) dueAt(j *job) time.Time {
	p := i.pools[j.route.Pool]
	if p == nil {
		return j.arrived
	}
	return j.arrived.Add(p.scheduler.QueueDelay(j.route.Name, j.next))
}

// queue returns the queue of a route. It creates the queue if there is none.
func (i *Instance) queue(route operator.Route) *queue {
	q := i.queues[route.Name]
	if q == nil {
		q = &queue{route: route.Name, urgency: route.Urgency}
		i.queues[route.Name] = q
		i.routeOrder = append(i.routeOrder, route.Name)
		i.sortQueues()
	}
	return q
}

// sortQueues sorts routeOrder by descending urgency, then by name.
func (i *Instance) sortQueues() {
	slices.SortFunc(i.routeOrder, func(a, b string) int {
		if c := cmp.Compare(i.queues[b].urgency, i.queues[a].urgency); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

// dispatch assigns waiting tasks to holders with free capacity, the most urgent
// route first. It does not consider the routes' shares: each holder divides its slots
// among the routes itself.
func (i *Instance) dispatch(now time.Time) {
	if i.waitingTasks() == 0 {
		return
	}
	for _, p := range i.pools {
		p.selector.Report(i.cfg.Self, p.loadMessage(), 0)
	}
	for _, name := range i.routeOrder {
		i.dispatchRoute(now, i.queues[name])
	}
}

// dispatchRoute assigns the tasks of one route, in the order of the due times of their
// jobs, while holders have free capacity. It skips jobs until the time notBefore,
// which is set when a task is returned.
func (i *Instance) dispatchRoute(now time.Time, q *queue) {
	var paused []*job
	for len(q.jobs) > 0 {
		j := q.jobs[0]
		if now.Before(j.notBefore) {
			heap.Pop(&q.jobs)
			paused = append(paused, j)
			continue
		}
		if !i.assignNext(now, q, j) {
			break
		}
	}
	for _, j := range paused {
		heap.Push(&q.jobs, j)
	}
	q.completions.observe(now, len(q.jobs) > 0)
}

// assignNext assigns the next task of j, the first job of q. It returns false if
// no holder has free capacity or the route's pool is not known.
func (i *Instance) assignNext(now time.Time, q *queue, j *job) bool {
	p := i.pools[j.route.Pool]
	if p == nil {
		return false
	}
	addr, ok := p.selector.Pick(j.route.Name, i.members.Live)
	if !ok {
		return false
	}
	q.waiting--
	i.assignTask(now, p, j, j.popTask(), addr)
	if j.waiting() == 0 {
		heap.Remove(&q.jobs, j.heapIndex)
		j.queued = false
		return true
	}
	j.due = i.dueAt(j)
	heap.Fix(&q.jobs, j.heapIndex)
	return true
}

// assignTask assigns a task to the holder at addr.
func (i *Instance) assignTask(now time.Time, p *pool, j *job, index int, addr netip.AddrPort) {
	t := &j.tasks[index]
	t.state = taskAssigned
	t.attempt++
	t.holder = addr
	j.assigned++
	j.holders[addr] = true
	if addr == i.cfg.Self {
		p.selector.Assigned(addr, j.route.Name, 0)
		i.holdTask(now, i.ensureHeldJob(addr, j.key, j.route.Name), j.arrived, j.deadline, taskMessage(j, index))
		return
	}
	p.selector.Assigned(addr, j.route.Name, i.members.NextSequence(addr))
	i.sendRun(now, j, index)
}

// sendRun adds a task to the next envelope to its holder. Tasks of one job that are
// added in a row share one Run.
func (i *Instance) sendRun(now time.Time, j *job, index int) {
	box := i.outbox(j.tasks[index].holder)
	box.urgent = true
	task := taskMessage(j, index)
	key := keyBytes(j.key)
	if n := len(box.env.Runs); n > 0 && string(box.env.Runs[n-1].Key) == string(key) {
		box.env.Runs[n-1].Tasks = append(box.env.Runs[n-1].Tasks, task)
		return
	}
	box.env.Runs = append(box.env.Runs, &peer.Run{
		Key:          key,
		Route:        j.route.Name,
		TimeoutNanos: int64(j.deadline.Sub(now)),
		AgeNanos:     int64(now.Sub(j.arrived)),
		Tasks:        []*peer.Task{task},
	})
}

// taskMessage returns the message for the current attempt of a task.
func taskMessage(j *job, index int) *peer.Task {
	return &peer.Task{
		Index:   uint32(index),
		Attempt: j.tasks[index].attempt,
		Payload: j.payloads[index],
	}
}
