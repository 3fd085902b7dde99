package dispatch

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/chart"
)

// A Job is a caller's request: steps of identical tasks that are answered as a whole.
type Job struct {
	// ID is the caller's name for the job. A job that is submitted again under the
	// same ID is the same job.
	ID string
	// Route and Pool name the rows of the operators' tables that apply.
	Route, Pool string
	// Urgency orders the jobs of different routes: those with the lower value get
	// resources first.
	Urgency int
	// MaxAttempts is the number of failed runs after which a task, and so
	// its job, has failed.
	MaxAttempts int
	// Stretch and Slack define the objective: Stretch times the run time of the job's
	// longest chain of tasks, plus Slack.
	Stretch float64
	Slack   time.Duration
	// Spec is passed to each task.
	Spec  string
	Steps []Step
	// Request is the caller's own ID of its request, for the log.
	Request string
	// Arrived is when the job arrived from its caller, and CallerDeadline the time
	// until which the caller waits.
	Arrived, CallerDeadline time.Time
	// EarlierLeaders is the number of leaders that the job was forwarded to before.
	// It is at least 1 once the same leader may have had the job before. No run that
	// an earlier leader started is running after EarlierRunsEndBy.
	EarlierLeaders   int
	EarlierRunsEndBy time.Time
	// Zone is the availability zone to whose leader the job is forwarded after it was
	// redirected, or the receiver's zone once the job has returned. It is empty until the
	// job is redirected.
	Zone string
}

// awaitEarlierRuns lets a job that was forwarded before wait for runs that its leader has started
// before it lost its state, as a new process or because it lost its leadership.
func (j *Job) awaitEarlierRuns(now time.Time) {
	if j.EarlierLeaders > 0 {
		j.EarlierRunsEndBy = later(j.EarlierRunsEndBy, now.Add(earlierRunsTimeout))
	}
}

// notServed returns the end of a job of which this leader has started no task. It is
// NotRun only if the job had no earlier leader, because an earlier leader may have
// started tasks.
func (j *Job) notServed(reason string) End {
	if j.EarlierLeaders > 0 {
		return End{ID: j.ID, State: Overdue, Reason: reason}
	}
	return End{ID: j.ID, State: NotRun, Reason: reason, RetryAfter: j.retryAfterRefusal(j.Arrived)}
}

// A Step is a group of identical tasks of a Job.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Needs are the resources that each task uses while it runs.
	Needs Resources
	// Estimate is the caller's rough estimate of the run time of a task.
	Estimate time.Duration
	// After are the indexes of the steps that must end before this one starts.
	After []int
	// Label must be among the worker's labels, unless it is empty.
	Label string
	// Rack is the rack that holds the task's data, unless it is empty.
	Rack string
	// MaxPerWorker bounds the tasks of the step on one worker, unless it is 0.
	MaxPerWorker int
}

// Resources are amounts of processors, memory and accelerators.
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

// minus returns the difference of r and s.
func (r Resources) minus(s Resources) Resources {
	return Resources{r.Millicores - s.Millicores, r.Memory - s.Memory, r.Accelerators - s.Accelerators}
}

// min returns the smaller amount of r and s, for each kind of resource.
func (r Resources) min(s Resources) Resources {
	return Resources{min(r.Millicores, s.Millicores), min(r.Memory, s.Memory), min(r.Accelerators, s.Accelerators)}
}

// fits reports whether s fits in r, for each kind of resource.
func (r Resources) fits(s Resources) bool {
	return s.Millicores <= r.Millicores && s.Memory <= r.Memory && s.Accelerators <= r.Accelerators
}

// A State is the state of a job that its leader reports: a final state, ForwardAgain or
// Redirected.
type State int

// The states that a leader reports.
const (
	// ForwardAgain is not a final state: the leader has stopped the job's runs
	// because it received nothing from the job's receivers, and continues once the
	// job is forwarded to it again.
	ForwardAgain State = iota
	// Completed means that every task succeeded.
	Completed
	// Failed means that a task failed as often as its route allows, or that the job
	// was cancelled.
	Failed
	// NotRun guarantees that no task has started and none will.
	NotRun
	// Overdue means that the job was given up after a task may have been started.
	Overdue
	// Redirected is not a final state: the leader has started no task of the job and
	// will start none. The receiver forwards the job to the leader of End.Zone or, if
	// that is empty, back to the leader of its own zone.
	Redirected
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
	case Redirected:
		return "redirected"
	default:
		return "unknown"
	}
}

// An End is the final state of a job, ForwardAgain or Redirected.
type End struct {
	ID    string
	State State
	// Reason is a one-word reason why the job was not run, failed or was given up.
	Reason string
	// RetryAfter is the time after which a job that was not run may be submitted
	// again.
	RetryAfter time.Duration
	// Zone is the availability zone to which a job is redirected.
	Zone string
}

// A TaskID identifies a task of a job.
type TaskID struct {
	Job         string
	Step, Index int
}

// task is a task of an active job.
type task struct {
	job *activeJob
	id  TaskID
	// state is a state of taskChart. Only apply changes it.
	state chart.State
	// run is the run for which the task waits, or nil. It is set while the task is placed
	// and its job has not ended.
	run *run
	// number is the number of the latest run.
	number   int
	failures int
	// avoidWorker is the worker on which the task last failed or stalled.
	avoidWorker string
}

// activeJob is the state of a job at its leader.
type activeJob struct {
	Job
	// state is a state of jobChart. Only apply changes it.
	state chart.State
	// receivers are the receivers of the job, each with the zone to whose leader it has
	// forwarded the job.
	receivers map[netip.AddrPort]string
	// foreign is set if the job was redirected from another zone and no receiver of this
	// one has it.
	foreign bool
	// submitted is when the caller submitted the job last. Arrived is earlier if this
	// leader has refused the job before.
	submitted time.Time
	// confirmedAt is the latest time at which a former receiver is known to have waited
	// for the job, or zero.
	confirmedAt time.Time
	steps       [][]*task
	// remaining counts the tasks of each step that have not ended, and totalRemaining
	// those of all steps.
	remaining      []int
	totalRemaining int
	// succeeded counts the runs that succeeded and whose run time is known, and
	// runTimeSum is the sum of their run times at speed 1.
	succeeded  int
	runTimeSum time.Duration
	// placed counts the placed tasks. Further runs of tasks may be running: see
	// dispatcher.running.
	placed int
	// waiting are the tasks that may be started, in the order in which they began to
	// wait.
	waiting []*task
	// started is set once a task may have been started.
	started bool
	// suspendedAt is when the last receiver of a suspended job timed out.
	suspendedAt time.Time
	// forwardRequestedAt is when a reconnected receiver was last asked to forward the
	// job again.
	forwardRequestedAt time.Time
	// work is the expected processor time in core-seconds, chainTime the expected run
	// time of the longest chain of tasks on a worker of speed 1, and objective the
	// time by which the job should end.
	work      float64
	chainTime time.Duration
	objective time.Time
	// runTimes are the expected run times of a task of each step on a worker of speed 1.
	runTimes []time.Duration
	// size is the class of the job by its work within its kind.
	size sizeClass
	// getsMinShare is set while the job gets the minimum share of its route, reserved while it
	// is one of the next to get it, and largeFirst while large jobs of its kind come first and
	// it is one of them.
	getsMinShare, reserved, largeFirst bool
	// scarce is set while the capacity does not suffice for all jobs of the job's urgency
	// and the more urgent ones.
	scarce bool
	// displaced is set while more urgent jobs need almost all capacity.
	displaced bool
	// demandRank is the rank of the job in the demand for its pool, and rank that
	// in the queue when it was last sorted.
	demandRank demandRank
	rank       float64
	// planned is set once a plan of the queue contained the job, and forecast holds what
	// the latest plan expected of it.
	planned  bool
	forecast forecast
	// queued is set while the job is in the leader's queue.
	queued bool
	// late is set once the job cannot meet its objective any more.
	late bool
	// waitLogged is set once a task of the job has found no worker.
	waitLogged bool
}

// worthlessAfter returns the time after which the end of the job is worthless. It is
// counted from the latest submission, because the caller waits anew after that.
func (j *activeJob) worthlessAfter() time.Time {
	return j.submitted.Add(lateFactor * j.objective.Sub(j.Arrived))
}

// maxWaitUntil returns the time until which the job may wait for its first start.
func (j *activeJob) maxWaitUntil() time.Time {
	return j.submitted.Add(time.Duration(maxWaitShare * float64(j.objective.Sub(j.Arrived))))
}

// notServed returns the end of a job that is given up.
func (j *activeJob) notServed(reason string) End {
	if j.started {
		return End{ID: j.ID, State: Overdue, Reason: reason}
	}
	return j.Job.notServed(reason)
}

// newActiveJob returns an active job for j. The tasks of steps without predecessors
// are waiting.
func newActiveJob(j Job) *activeJob {
	a := &activeJob{Job: j, receivers: make(map[netip.AddrPort]string)}
	for s, step := range j.Steps {
		tasks := make([]*task, step.Tasks)
		for i := range tasks {
			tasks[i] = &task{job: a, id: TaskID{j.ID, s, i}, number: j.EarlierLeaders * runNumbersPerLeader}
		}
		a.steps = append(a.steps, tasks)
		a.remaining = append(a.remaining, step.Tasks)
		a.totalRemaining += step.Tasks
	}
	a.unblock()
	return a
}

// forwardedAgain records that the job was forwarded again, possibly after another
// leader had it. Runs of that leader may still be running, so the numbers of new runs
// begin after those of that leader.
func (j *activeJob) forwardedAgain(again Job) {
	if again.EarlierLeaders == 0 || !again.EarlierRunsEndBy.After(j.EarlierRunsEndBy) {
		return
	}
	j.EarlierLeaders, j.EarlierRunsEndBy = max(j.EarlierLeaders+1, again.EarlierLeaders), again.EarlierRunsEndBy
	for _, tasks := range j.steps {
		for _, t := range tasks {
			t.number = max(t.number, j.EarlierLeaders*runNumbersPerLeader)
		}
	}
}

// unblock makes the tasks of those steps wait whose predecessors have all ended.
func (j *activeJob) unblock() {
	for s, step := range j.Steps {
		if !j.predecessorsDone(step) {
			continue
		}
		for _, t := range j.steps[s] {
			t.apply(eventUnblock)
		}
	}
}

// predecessorsDone reports whether all predecessors of step have ended.
func (j *activeJob) predecessorsDone(step Step) bool {
	for _, before := range step.After {
		if before < len(j.remaining) && j.remaining[before] > 0 {
			return false
		}
	}
	return true
}

// task returns a task of j, or nil if there is none with this ID.
func (j *activeJob) task(id TaskID) *task {
	if id.Step >= len(j.steps) || id.Index >= len(j.steps[id.Step]) {
		return nil
	}
	return j.steps[id.Step][id.Index]
}

// removeWaiting removes a task from the waiting tasks.
func (j *activeJob) removeWaiting(t *task) {
	for i, w := range j.waiting {
		if w == t {
			j.waiting = append(j.waiting[:i], j.waiting[i+1:]...)
			return
		}
	}
}

// compare orders tasks by job, step and index.
func (id TaskID) compare(other TaskID) int {
	return cmp.Or(cmp.Compare(id.Job, other.Job), cmp.Compare(id.Step, other.Step), cmp.Compare(id.Index, other.Index))
}
