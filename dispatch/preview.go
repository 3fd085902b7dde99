package dispatch

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"
)

// previewID is the ID of a job that is only previewed. No job of a caller has this form.
const previewID = "(preview)"

// Millis is a duration that JSON represents as a number of milliseconds.
type Millis time.Duration

// MarshalJSON implements json.Marshaler.
func (m Millis) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(m).Seconds() * 1000)
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Millis) UnmarshalJSON(text []byte) error {
	var millis float64
	if err := json.Unmarshal(text, &millis); err != nil {
		return err
	}
	*m = Millis(millis * float64(time.Millisecond))
	return nil
}

// String returns m as a time.Duration prints it.
func (m Millis) String() string { return time.Duration(m).Round(10 * time.Microsecond).String() }

// A PreviewOutcome says what the leader would do with the job.
type PreviewOutcome string

// The outcomes of a preview.
const (
	// PreviewStarts means that all tasks without predecessors would start now.
	PreviewStarts PreviewOutcome = "starts"
	// PreviewWaits means that tasks would wait.
	PreviewWaits PreviewOutcome = "waits"
	// PreviewRedirected means that the job would be redirected to another zone.
	PreviewRedirected PreviewOutcome = "redirected"
	// PreviewRefused means that the job would be refused.
	PreviewRefused PreviewOutcome = "refused"
)

// A Preview describes where a job would go now and why.
type Preview struct {
	// Instance is the address at which peers reach the instance, and Zone its availability
	// zone. Home is the zone or shard whose leader would get the job.
	Instance netip.AddrPort `json:"instance"`
	Zone     string         `json:"zone"`
	Home     string         `json:"home"`
	// Refusal is the reason why the instance itself would refuse the job, or empty, and
	// RetryAfter the earliest time after which the caller would be told to retry.
	Refusal    string `json:"refusal,omitempty"`
	RetryAfter Millis `json:"retry_after_ms,omitempty"`
	// Leader is the leader to which the instance would forward the job, or nil if it knows
	// none.
	Leader *PreviewLeader `json:"leader,omitempty"`
	// TablesVersion is the version of the operators' tables. TablesAge and WorkersAge are
	// the times since the store answered a read of them and of the worker table, or nil.
	TablesVersion uint64  `json:"tables_version"`
	TablesAge     *Millis `json:"tables_age_ms"`
	WorkersAge    *Millis `json:"workers_age_ms"`
	// Decision is what the instance would decide as the leader, or nil if it does not lead.
	Decision *PreviewDecision `json:"decision,omitempty"`
}

// A PreviewLeader is a leader as an instance knows it.
type PreviewLeader struct {
	Address netip.AddrPort `json:"address"`
	Term    uint64         `json:"term"`
	// Age is the time since the leader was last heard, and Live is set if that is recent.
	Age  Millis `json:"heard_age_ms"`
	Live bool   `json:"live"`
}

// A PreviewDecision is what a leader would do with a job.
type PreviewDecision struct {
	Outcome PreviewOutcome `json:"outcome"`
	// Reason is the reason of a refusal, of a redirect or of the wait.
	Reason string `json:"reason,omitempty"`
	// Start is the expected time until the last task without predecessors starts, and End
	// that until the job ends. They are nil if no start can be expected.
	Start *Millis `json:"start_ms"`
	End   *Millis `json:"end_ms"`
	// Objective is the time until the objective.
	Objective Millis `json:"objective_ms"`
	// MaxWait is the time after which the job would be refused if none of its tasks had
	// started.
	MaxWait Millis `json:"max_wait_ms"`
	// RetryAfter and RetryAfterLatest bound the time after which the caller of a refused job
	// would be told to retry.
	RetryAfter       Millis `json:"retry_after_ms,omitempty"`
	RetryAfterLatest Millis `json:"retry_after_latest_ms,omitempty"`
	// RedirectedTo is the zone to which the job would be redirected.
	RedirectedTo string `json:"redirected_to,omitempty"`
	// Ahead are the jobs ahead in the queue, by urgency.
	Ahead   []PreviewQueue `json:"ahead"`
	Workers PreviewWorkers `json:"workers"`
	// DrainedZones are the drained zones by the list with revision DrainedRevision.
	DrainedZones    []string `json:"drained_zones"`
	DrainedRevision uint64   `json:"drained_revision"`
	// Zones are the loads of the other zones.
	Zones []PreviewZone `json:"zones"`
}

// A PreviewQueue are the jobs of one urgency in the queue of a pool.
type PreviewQueue struct {
	Urgency     int     `json:"urgency"`
	Jobs        int     `json:"jobs"`
	Tasks       int     `json:"tasks"`
	CoreSeconds float64 `json:"work_core_seconds"`
}

// PreviewWorkers are the workers of the job's pool that a leader commands.
type PreviewWorkers struct {
	Pool string `json:"pool"`
	// Total is the number of workers, Fit the number of those that could run a task now,
	// and Others the number of the others by the reason why they could not. Room is the
	// number of tasks for which they have room, for each worker at most those of the job.
	Total  int            `json:"total"`
	Fit    int            `json:"fit"`
	Room   int            `json:"room_tasks"`
	Others map[string]int `json:"others"`
	// Chosen are the workers of the first tasks.
	Chosen []PreviewWorker `json:"chosen"`
}

// A PreviewWorker is a worker that would get a task.
type PreviewWorker struct {
	ID   string `json:"id"`
	Rack string `json:"rack"`
	// Speed is relative to the median worker.
	Speed float64 `json:"speed"`
	// Run is the expected run time there.
	Run Millis `json:"run_ms"`
	// InTime is set if the task is expected to end by the objective, and RemoteData if its
	// data is on another rack.
	InTime     bool `json:"in_time"`
	RemoteData bool `json:"remote_data"`
}

// A PreviewZone is the load of another zone as its leader has sent it.
type PreviewZone struct {
	Zone string `json:"zone"`
	// Millicores is the capacity, and FreeMillicores the free one, in thousandths of a core.
	Millicores     int    `json:"millicores"`
	FreeMillicores int    `json:"free_millicores"`
	Wait           Millis `json:"wait_ms"`
	Age            Millis `json:"age_ms"`
	// Usable is set if the load has the pool and is not too old to be used.
	Usable bool `json:"usable"`
}

// Preview returns where a job would go if it were submitted now. The argument home is the
// zone or shard of the job's receiver, or empty for that of this instance. Preview changes
// nothing.
func (i *Instance) Preview(now time.Time, home string, job Job) Preview {
	job.ID, job.Zone, job.EarlierLeaders = previewID, "", 0
	job.Arrived = now
	p := Preview{
		Instance: i.cfg.Self, Zone: i.cfg.Zone, Home: home,
		TablesVersion: i.version, TablesAge: ageOf(now, i.tablesReadAt), WorkersAge: ageOf(now, i.workersReadAt),
	}
	if home == "" {
		p.Home = i.shards.own
		if p.Refusal = i.receiver.refusal(now, job.CallerDeadline); p.Refusal != "" {
			p.RetryAfter = Millis(retryAfter(now, job.ID, defaultRetrySpread, 0, job.CallerDeadline))
		}
	}
	if claim, live := i.leadership.Claim(now, p.Home); claim.Leader.IsValid() {
		p.Leader = &PreviewLeader{Address: claim.Leader, Term: claim.Term, Age: Millis(now.Sub(claim.LastSeen)), Live: live}
		if claim.Leader == i.cfg.Self {
			p.Leader.Age = 0
		}
	}
	if _, led := i.dispatcher.terms[p.Home]; led && slices.ContainsFunc(job.Steps, Step.startsFirst) {
		p.Decision = i.dispatcher.preview(now, p.Home, job)
	}
	return p
}

// startsFirst reports whether the step has tasks that wait for no other step.
func (s Step) startsFirst() bool { return s.Tasks > 0 && len(s.After) == 0 }

// ageOf returns the time since at, or nil if at is zero.
func ageOf(now, at time.Time) *Millis {
	if at.IsZero() {
		return nil
	}
	age := Millis(now.Sub(at))
	return &age
}
