package main

import (
	"math"
	"time"
)

// A report is the results of several runs.
type report struct {
	Ideal string   `toml:"ideal"`
	Runs  []result `toml:"runs"`
}

// idealDefinition says in the output what response times are compared with.
const idealDefinition = "the response time of the same job alone on an idle fleet whose servers all have the " +
	"slot-weighted mean speed: its longest task's run time, or the whole job's over all slots if that is longer, " +
	"plus 1 ms; it leaves out other jobs, the choice between fast and slow servers (so that a ratio below 1 is " +
	"possible), the protocols' cost, and the rounding of tasks to slots; only complete answers count, from the " +
	"intended start to the answer, with all retries"

// A result is what one phase of a scenario gave with one version.
type result struct {
	Scenario string  `toml:"scenario"`
	Phase    string  `toml:"phase"`
	Version  string  `toml:"version"`
	Fleet    string  `toml:"fleet"`
	Seed     uint64  `toml:"seed"`
	Load     float64 `toml:"load"`
	Window   string  `toml:"window"`
	// Answers that must never be, counted over the whole run so far.
	PartialAnswers     int `toml:"partial-answers"`
	WrongKeyAnswers    int `toml:"wrong-key-answers"`
	WrongResultAnswers int `toml:"wrong-result-answers"`
	UnknownAnswers     int `toml:"unknown-answers"`
	// What the workers saw over the whole run so far. UselessStartsPerTask is
	// the part of all starts that belongs to no complete answer.
	RefusedButRun        int     `toml:"refused-but-run"`
	StartedTwice         int     `toml:"started-twice"`
	CompleteButNotRun    int     `toml:"complete-but-not-run"`
	MaxRunning           int     `toml:"max-running"`
	MaxWaiting           int     `toml:"max-waiting"`
	UselessStartsPerTask float64 `toml:"useless-starts-per-task"`
	// Costs in the window.
	StartedTasks                 int     `toml:"started-tasks"`
	MessagesPerTask              float64 `toml:"messages-per-task"`
	WastedMessagesPerTask        float64 `toml:"wasted-messages-per-task"`
	RefusedStartsPerTask         float64 `toml:"refused-starts-per-task"`
	ProcessorMicrosecondsPerTask float64 `toml:"processor-microseconds-per-task"`
	// Comparison with the phase without the flood or the fault. They are nil
	// in that phase.
	OtherWorkKept     *float64                `toml:"other-work-kept,omitempty"`
	OtherWorkP99Ratio *float64                `toml:"other-work-p99-ratio,omitempty"`
	EventErrors       []string                `toml:"event-errors,omitempty"`
	All               routeResult             `toml:"all"`
	Others            *routeResult            `toml:"others,omitempty"`
	Routes            map[string]*routeResult `toml:"routes"`
}

// A routeResult is what one route got in a window.
type routeResult struct {
	Jobs                 int     `toml:"jobs"`
	CompleteShare        float64 `toml:"complete-share"`
	ResponseOverIdealP50 float64 `toml:"response-over-ideal-p50"`
	ResponseOverIdealP90 float64 `toml:"response-over-ideal-p90"`
	ResponseOverIdealP99 float64 `toml:"response-over-ideal-p99"`
	// Throughput is the tasks of complete answers a second.
	Throughput        float64 `toml:"throughput"`
	SubmissionsPerJob float64 `toml:"submissions-per-job"`
	// ClientLagP99 is how late the load program itself began its jobs, so
	// that its own part in the response times can be told.
	ClientLagP99      string         `toml:"client-lag-p99"`
	BrokenConnections int            `toml:"broken-connections"`
	CancelledJobs     int            `toml:"cancelled-jobs,omitempty"`
	Statuses          map[string]int `toml:"statuses"`
	Reasons           map[string]int `toml:"reasons,omitempty"`
	Slowest           []slowJob      `toml:"slowest,omitempty"`
}

func newRouteResult(rr *routeRecord, length time.Duration) routeResult {
	jobs := max(1, rr.jobs+rr.cancelled)
	return routeResult{
		Jobs:                 rr.jobs,
		CompleteShare:        round(float64(rr.completeTasks) / float64(max(1, rr.offeredTasks))),
		ResponseOverIdealP50: rr.ratio(50),
		ResponseOverIdealP90: rr.ratio(90),
		ResponseOverIdealP99: rr.ratio(99),
		Throughput:           round(float64(rr.completeTasks) / length.Seconds()),
		SubmissionsPerJob:    round(float64(rr.submissions) / float64(jobs)),
		ClientLagP99:         (time.Duration(rr.lags.ValueAtPercentile(99)) * time.Microsecond).String(),
		BrokenConnections:    rr.losses,
		CancelledJobs:        rr.cancelled,
		Statuses:             rr.statuses,
		Reasons:              rr.reasons,
		Slowest:              rr.slowest,
	}
}

// ratio returns the response time over the ideal at a percentile.
func (rr *routeRecord) ratio(percentile float64) float64 {
	return float64(rr.ratios.ValueAtPercentile(percentile)) / ratioUnit
}

// round rounds to thousandths.
func round(x float64) float64 {
	return math.Round(x*ratioUnit) / ratioUnit
}

// judge sets what the workers saw and what must never be.
func (r *result) judge(rec *recorder, seen starts) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.PartialAnswers = rec.verdict.partial
	r.WrongKeyAnswers = rec.verdict.wrongKey
	r.WrongResultAnswers = rec.verdict.wrongResult
	r.UnknownAnswers = rec.verdict.unknown
	r.StartedTwice = seen.StartedTwice
	r.MaxRunning = seen.MaxRunning
	r.MaxWaiting = seen.MaxWaiting
	for key := range rec.notRun {
		if len(seen.ByKey[key]) > 0 {
			r.RefusedButRun++
		}
	}
	useful := 0
	for key, tasks := range rec.complete {
		useful += tasks
		if startedTasks(seen.ByKey[key]) != tasks {
			r.CompleteButNotRun++
		}
	}
	r.UselessStartsPerTask = round(perTask(float64(seen.Started-useful), seen.Started))
}

// startedTasks returns the number of tasks that started at least once.
func startedTasks(counts []int) int {
	n := 0
	for _, c := range counts {
		if c > 0 {
			n++
		}
	}
	return n
}

// meter sets the costs of the window.
func (r *result) meter(used usage) {
	r.StartedTasks = used.started
	r.MessagesPerTask = round(perTask(used.envelopesSent, used.started))
	r.WastedMessagesPerTask = round(used.wastedMessages())
	r.RefusedStartsPerTask = round(perTask(used.notStarted, used.started))
	r.ProcessorMicrosecondsPerTask = round(used.processorMicroseconds())
}

// compare sets the comparison of the other routes with the phase without.
func (r *result) compare(others, without *routeRecord) {
	kept := round(float64(others.completeTasks) / float64(max(1, without.completeTasks)))
	r.OtherWorkKept = &kept
	if without.completeTasks > 0 && others.completeTasks > 0 {
		ratio := round(others.ratio(99) / without.ratio(99))
		r.OtherWorkP99Ratio = &ratio
	}
}
