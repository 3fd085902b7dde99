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

// A queue holds the jobs of one route with tasks to be given out, in the order
// in which those are due.
type queue struct {
	route   string
	urgency int
	jobs    jobHeap
	// waiting is the number of the jobs' tasks that no holder has.
	waiting     int
	completions completions
}

// enqueue puts a job into its route's queue.
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

// dequeue takes a job out of its route's queue.
func (i *Instance) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	q := i.queues[j.route.Name]
	q.waiting -= j.waiting()
	heap.Remove(&q.jobs, j.at)
}

// dueAt returns the time by which the next task of j queues: its job's arrival
// and a lag for its place in the job, so that a large job does not hold up small
// ones.
func (i *Instance) dueAt(j *job) time.Time {
	p := i.pools[j.route.Pool]
	if p == nil {
		return j.arrived
	}
	return j.arrived.Add(p.holding.QueueDelay(j.route.Name, j.next))
}

// queue returns the queue of a route.
func (i *Instance) queue(route operator.Route) *queue {
	q := i.queues[route.Name]
	if q == nil {
		q = &queue{route: route.Name, urgency: route.Urgency}
		i.queues[route.Name] = q
		i.order = append(i.order, route.Name)
		i.sortQueues()
	}
	return q
}

// sortQueues brings the order of the queues up to date.
func (i *Instance) sortQueues() {
	slices.SortFunc(i.order, func(a, b string) int {
		if c := cmp.Compare(i.queues[b].urgency, i.queues[a].urgency); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

// dispatch gives waiting tasks to holders that have room, the most urgent route
// first. What each route gets is the holders' to decide.
func (i *Instance) dispatch(now time.Time) {
	if i.waitingTasks() == 0 {
		return
	}
	for _, p := range i.pools {
		p.spread.Report(i.cfg.Self, p.report(), 0)
	}
	for _, name := range i.order {
		i.dispatchRoute(now, i.queues[name])
	}
}

// dispatchRoute gives out the tasks of one route in the order in which they are
// due, while holders have room.
func (i *Instance) dispatchRoute(now time.Time, q *queue) {
	var paused []*job
	for len(q.jobs) > 0 {
		j := q.jobs[0]
		if now.Before(j.notBefore) {
			heap.Pop(&q.jobs)
			paused = append(paused, j)
			continue
		}
		if !i.giveNext(now, q, j) {
			break
		}
	}
	for _, j := range paused {
		heap.Push(&q.jobs, j)
	}
	q.completions.observe(now, len(q.jobs) > 0)
}

// giveNext gives out the next task of the job that is due first. It returns
// false if no holder has room.
func (i *Instance) giveNext(now time.Time, q *queue, j *job) bool {
	p := i.pools[j.route.Pool]
	if p == nil {
		return false
	}
	addr, ok := p.spread.Pick(j.route.Name, i.members.Live)
	if !ok {
		return false
	}
	q.waiting--
	i.give(now, p, j, j.take(), addr)
	if j.waiting() == 0 {
		heap.Remove(&q.jobs, j.at)
		j.queued = false
		return true
	}
	j.due = i.dueAt(j)
	heap.Fix(&q.jobs, j.at)
	return true
}

// give hands a task to the holder at addr.
func (i *Instance) give(now time.Time, p *pool, j *job, index int, addr netip.AddrPort) {
	t := &j.tasks[index]
	t.state = taskGiven
	t.attempt++
	t.holder = addr
	j.given++
	j.holders[addr] = true
	if addr == i.cfg.Self {
		p.spread.Assigned(addr, j.route.Name, 0)
		i.hold(now, i.heldJob(addr, j.key, j.route.Name), j.arrived, j.deadline, taskMessage(j, index))
		return
	}
	p.spread.Assigned(addr, j.route.Name, i.members.NextSequence(addr))
	i.sendRun(now, j, index)
}

// sendRun puts a task into the next envelope to its holder.
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

func taskMessage(j *job, index int) *peer.Task {
	return &peer.Task{
		Index:   uint32(index),
		Attempt: j.tasks[index].attempt,
		Payload: j.payloads[index],
	}
}
