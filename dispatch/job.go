package dispatch

import (
	"cmp"
	"net/netip"
	"time"
)

// A Job is a caller's request: steps of equal tasks, answered as a whole.
type Job struct {
	// ID is the caller's name for the job. A job that is handed in again
	// under the same ID is the same job.
	ID string
	// Route and Pool name the rows of the operators' tables that apply.
	Route, Pool string
	// Urgency is the route's rank; 0 comes first.
	Urgency int
	// MaxAttempts is the number of failed runs after which a task, and so
	// its job, has failed.
	MaxAttempts int
	// Stretch and Slack make the objective: Stretch times the run time of
	// the job's longest chain of tasks, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Spec is handed to each task.
	Spec  string
	Steps []Step
	// Request is the caller's own name of its request, for the log.
	Request string
	// Arrived is when the job arrived from its caller, and CallerDeadline when the
	// caller stops waiting.
	Arrived, CallerDeadline time.Time
	// EarlierLeaders counts the leaders that the job was given to before. No task that
	// one of them started is at work after Settled.
	EarlierLeaders   int
	EarlierRunsEndBy time.Time
}

// unserved returns the end of a job of which this leader has started nothing.
// Only if no other leader had it before is that a proof that nothing ran.
func (j *Job) unserved(reason string) End {
	if j.EarlierLeaders > 0 {
		return End{ID: j.ID, State: Overdue, Reason: reason}
	}
	return End{ID: j.ID, State: NotRun, Reason: reason, RetryAfter: retryAfter}
}

// A Step is a group of equal tasks of a Job.
type Step struct {
	// Tasks is their number.
	Tasks int
	// Needs is what each task takes of a worker while it runs.
	Needs Resources
	// Estimate is the caller's rough idea of a task's run time.
	Estimate time.Duration
	// After are the numbers of the steps that must have ended before.
	After []int
	// Label must be among the worker's labels, unless empty.
	Label string
	// Rack is where the data lies, unless empty.
	Rack string
	// MaxPerWorker bounds the tasks of the step on one worker, unless 0.
	MaxPerWorker int
}

// Resources is an amount of a worker's processors, memory and accelerators.
type Resources struct {
	// Millicores are thousandths of a core.
	Millicores int
	// Memory is in MiB.
	Memory       int
	Accelerators int
}

// plus returns the sum of r and s.
func (r Resources) plus(s Resources) Resources {
	return Resources{r.Millicores + s.Millicores, r.Memory + s.Memory, r.Accelerators + s.Accelerators}
}

// minus returns what is left of r without s.
func (r Resources) minus(s Resources) Resources {
	return Resources{r.Millicores - s.Millicores, r.Memory - s.Memory, r.Accelerators - s.Accelerators}
}

// holds reports whether s fits into r.
func (r Resources) holds(s Resources) bool {
	return s.Millicores <= r.Millicores && s.Memory <= r.Memory && s.Accelerators <= r.Accelerators
}

// A State says how a job ended.
type State int

// The states of an ended job.
const (
	// ForwardAgain is no end: the leader has stopped the job's tasks, because
	// it did not hear the job's receiver, and goes on if it is given the job
	// again.
	ForwardAgain State = iota
	// Completed means that every task ended well.
	Completed
	// Failed means that a task failed as often as its route allows.
	Failed
	// NotRun proves that no task has started and none will.
	NotRun
	// Overdue means that the caller's time ran out after a task was started.
	Overdue
)

// String returns the name of s.
func (s State) String() string {
	switch s {
	case ForwardAgain:
		return "give-again"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case NotRun:
		return "not-run"
	case Overdue:
		return "overdue"
	default:
		return "unknown"
	}
}

// An End is the final state of a job.
type End struct {
	ID    string
	State State
	// Reason says in a word why the job was not run or failed.
	Reason string
	// RetryAfter is when a job that was not run may be handed in again.
	RetryAfter time.Duration
}

// A TaskID names a task of a job.
type TaskID struct {
	Job         string
	Step, Index int
}

// taskState says where a task of a leader's job stands.
type taskState uint8

const (
	// taskBlocked waits for earlier steps.
	taskBlocked taskState = iota
	taskWaiting
	// taskPlaced has a run that may be at work.
	taskPlaced
	taskDone
)

// task is one task of an active job.
type task struct {
	job   *activeJob
	id    TaskID
	state taskState
	// number is that of the latest run.
	number   int
	failures int
	// avoid is the worker on which the task failed last.
	avoid string
}

// activeJob is a job at its leader.
type activeJob struct {
	Job
	receivers map[netip.AddrPort]struct{}
	steps     [][]*task
	// left counts the tasks of each step that have not ended, and allLeft
	// those of all.
	left    []int
	allLeft int
	// done counts the runs that have ended well, and taken is the sum of their
	// run times at speed 1.
	done  int
	taken time.Duration
	// placed counts the tasks that have a run.
	placed int
	// waiting are the tasks that may be started, in order.
	waiting []*task
	// started says that a task may have been started once.
	started bool
	// suspendedAt is when the last receiver went silent, or zero. No task is
	// at work or started meanwhile.
	suspendedAt time.Time
	// askedAt is when a receiver that is back was asked to give the job again.
	askedAt time.Time
	// work is the expected processor time in core-seconds, chain the expected
	// run time of the longest chain of tasks on a worker of speed 1, and
	// objective the time by which the job is to end.
	work      float64
	chain     time.Duration
	objective time.Time
	// queued says that the job stands in the leader's queue.
	queued bool
	late   bool
	// waited says that a task of the job has found no place before.
	waited bool
}

// limit is the time after which the job's end is worth nothing.
func (j *activeJob) limit() time.Time {
	return j.Arrived.Add(lateFactor * j.objective.Sub(j.Arrived))
}

// holdUntil is the time until which the job may wait for its first start.
func (j *activeJob) holdUntil() time.Time {
	return j.Arrived.Add(time.Duration(holdShare * float64(j.objective.Sub(j.Arrived))))
}

// unserved returns the end of a job that is given up.
func (j *activeJob) unserved(reason string) End {
	if j.started {
		return End{ID: j.ID, State: Overdue, Reason: reason}
	}
	return j.Job.unserved(reason)
}

// newActiveJob returns j with its tasks, of which those of steps without
// predecessors wait.
func newActiveJob(j Job) *activeJob {
	a := &activeJob{Job: j, receivers: make(map[netip.AddrPort]struct{})}
	for s, step := range j.Steps {
		tasks := make([]*task, step.Tasks)
		for i := range tasks {
			tasks[i] = &task{job: a, id: TaskID{j.ID, s, i}, number: j.EarlierLeaders * runsPerRound}
		}
		a.steps = append(a.steps, tasks)
		a.left = append(a.left, step.Tasks)
		a.allLeft += step.Tasks
	}
	a.unblock()
	return a
}

// rejoin takes in that the job is given again, perhaps after another leader had
// it: runs of that leader may still be at work, with numbers of their own.
func (j *activeJob) rejoin(again Job) {
	if again.EarlierLeaders == 0 || !again.EarlierRunsEndBy.After(j.EarlierRunsEndBy) {
		return
	}
	j.EarlierLeaders, j.EarlierRunsEndBy = max(j.EarlierLeaders+1, again.EarlierLeaders), again.EarlierRunsEndBy
	for _, tasks := range j.steps {
		for _, t := range tasks {
			t.number = max(t.number, j.EarlierLeaders*runsPerRound)
		}
	}
}

// unblock lets the tasks wait whose earlier steps have all ended.
func (j *activeJob) unblock() {
	for s, step := range j.Steps {
		if !j.reached(step) {
			continue
		}
		for _, t := range j.steps[s] {
			if t.state == taskBlocked {
				t.state = taskWaiting
				j.waiting = append(j.waiting, t)
			}
		}
	}
}

// reached reports whether all steps before step have ended.
func (j *activeJob) reached(step Step) bool {
	for _, before := range step.After {
		if before < len(j.left) && j.left[before] > 0 {
			return false
		}
	}
	return true
}

// requeue makes a task wait again.
func (j *activeJob) requeue(t *task) {
	if t.state != taskPlaced {
		return
	}
	j.placed--
	t.state = taskWaiting
	j.waiting = append(j.waiting, t)
}

// finish marks a task as done and reports whether the job has completed.
func (j *activeJob) finish(t *task) bool {
	switch t.state {
	case taskDone:
		return false
	case taskPlaced:
		j.placed--
	case taskWaiting:
		j.unwait(t)
	}
	t.state = taskDone
	j.left[t.id.Step]--
	j.allLeft--
	if j.left[t.id.Step] == 0 {
		j.unblock()
	}
	return j.allLeft == 0
}

// unwait takes a task out of the waiting ones.
func (j *activeJob) unwait(t *task) {
	for i, w := range j.waiting {
		if w == t {
			j.waiting = append(j.waiting[:i], j.waiting[i+1:]...)
			return
		}
	}
}

// place marks a task as having a run.
func (j *activeJob) place(t *task) {
	j.unwait(t)
	t.state = taskPlaced
	j.placed++
	j.started = true
}

// compare orders tasks by job, step and index.
func (id TaskID) compare(other TaskID) int {
	return cmp.Or(cmp.Compare(id.Job, other.Job), cmp.Compare(id.Step, other.Step), cmp.Compare(id.Index, other.Index))
}
