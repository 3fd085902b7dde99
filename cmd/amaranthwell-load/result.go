package main

import (
	"math"
	"time"
)

// A report holds the results of several runs. It is the content of the results
// file.
type report struct {
	Ideal string   `toml:"ideal"`
	Runs  []result `toml:"runs"`
}

// idealDefinition is the definition of the ideal response time in the output. It
// describes the function ideal.
const idealDefinition = "the response time of the same job alone on an idle fleet whose servers all have the " +
	"slot-weighted mean speed: its longest task's run time, or the whole job's over all slots if that is longer, " +
	"plus 1 ms; it leaves out other jobs, the choice between fast and slow servers (so that a ratio below 1 is " +
	"possible), the protocols' cost, and the rounding of tasks to slots; only complete answers count, from the " +
	"intended start to the answer, with all retries"

// A result is the result of one phase of a scenario with one version.
type result struct {
	Scenario string  `toml:"scenario"`
	Phase    string  `toml:"phase"`
	Version  string  `toml:"version"`
	Fleet    string  `toml:"fleet"`
	Seed     uint64  `toml:"seed"`
	Load     float64 `toml:"load"`
	Window   string  `toml:"window"`
	// Numbers of answers that must not occur, since the start of the run.
	PartialAnswers     int `toml:"partial-answers"`
	WrongKeyAnswers    int `toml:"wrong-key-answers"`
	WrongResultAnswers int `toml:"wrong-result-answers"`
	UnknownAnswers     int `toml:"unknown-answers"`
	// Comparison of the answers with the task starts that the workers counted,
	// since the start of the run. UselessStartsPerTask is the fraction of
	// starts that did not contribute to a complete answer.
	RefusedButRun        int     `toml:"refused-but-run"`
	StartedTwice         int     `toml:"started-twice"`
	CompleteButNotRun    int     `toml:"complete-but-not-run"`
	MaxRunning           int     `toml:"max-running"`
	MaxWaiting           int     `toml:"max-waiting"`
	UselessStartsPerTask float64 `toml:"useless-starts-per-task"`
	// Costs during the window.
	StartedTasks                 int     `toml:"started-tasks"`
	MessagesPerTask              float64 `toml:"messages-per-task"`
	WastedMessagesPerTask        float64 `toml:"wasted-messages-per-task"`
	RefusedStartsPerTask         float64 `toml:"refused-starts-per-task"`
	ProcessorMicrosecondsPerTask float64 `toml:"processor-microseconds-per-task"`
	// Comparison with the baseline phase, which has no flood, cancellation
	// waves or fault. Both fields are nil in a phase without a baseline.
	// They cover the routes that have no flood and no waves in the phase.
	// OtherWorkKept is the number of completed tasks divided by that of the
	// baseline. OtherWorkP99Ratio is the 99th percentile of response over ideal
	// divided by that of the baseline.
	OtherWorkKept     *float64                `toml:"other-work-kept,omitempty"`
	OtherWorkP99Ratio *float64                `toml:"other-work-p99-ratio,omitempty"`
	EventErrors       []string                `toml:"event-errors,omitempty"`
	All               routeResult             `toml:"all"`
	Others            *routeResult            `toml:"others,omitempty"`
	Routes            map[string]*routeResult `toml:"routes"`
}

// A routeResult is the result of one route, or of several together, in a window.
type routeResult struct {
	Jobs                 int     `toml:"jobs"`
	CompleteShare        float64 `toml:"complete-share"`
	ResponseOverIdealP50 float64 `toml:"response-over-ideal-p50"`
	ResponseOverIdealP90 float64 `toml:"response-over-ideal-p90"`
	ResponseOverIdealP99 float64 `toml:"response-over-ideal-p99"`
	// Throughput is the number of tasks in complete answers per second.
	Throughput        float64 `toml:"throughput"`
	SubmissionsPerJob float64 `toml:"submissions-per-job"`
	// ClientLagP99 is the 99th percentile of the delay with which the load tool
	// started its jobs. It shows how much the tool adds to the response times.
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
		BrokenConnections:    rr.brokenConnections,
		CancelledJobs:        rr.cancelled,
		Statuses:             rr.statuses,
		Reasons:              rr.reasons,
		Slowest:              rr.slowest,
	}
}

// ratio returns the ratio of response time to ideal response time at a percentile
// in (0, 100].
func (rr *routeRecord) ratio(percentile float64) float64 {
	return float64(rr.ratios.ValueAtPercentile(percentile)) / ratioUnit
}

// round rounds x to thousandths.
func round(x float64) float64 {
	return math.Round(x*ratioUnit) / ratioUnit
}

// setCheckCounts sets the numbers of answers that must not occur, and compares the
// answers with the starts that the workers counted.
func (r *result) setCheckCounts(rec *recorder, observed starts) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.PartialAnswers = rec.violations.partial
	r.WrongKeyAnswers = rec.violations.wrongKey
	r.WrongResultAnswers = rec.violations.wrongResult
	r.UnknownAnswers = rec.violations.unknown
	r.StartedTwice = observed.StartedTwice
	r.MaxRunning = observed.MaxRunning
	r.MaxWaiting = observed.MaxWaiting
	for key := range rec.notRun {
		if len(observed.ByKey[key]) > 0 {
			r.RefusedButRun++
		}
	}
	useful := 0
	for key, tasks := range rec.complete {
		useful += tasks
		if startedTasks(observed.ByKey[key]) != tasks {
			r.CompleteButNotRun++
		}
	}
	r.UselessStartsPerTask = round(perTask(float64(observed.Started-useful), observed.Started))
}

// startedTasks returns the number of tasks that started at least once. counts holds the
// number of starts of each task.
func startedTasks(counts []int) int {
	n := 0
	for _, c := range counts {
		if c > 0 {
			n++
		}
	}
	return n
}

// setCosts sets the costs during the window.
func (r *result) setCosts(used usage) {
	r.StartedTasks = used.started
	r.MessagesPerTask = round(perTask(used.envelopesSent, used.started))
	r.WastedMessagesPerTask = round(used.wastedMessages())
	r.RefusedStartsPerTask = round(perTask(used.notStarted, used.started))
	r.ProcessorMicrosecondsPerTask = round(used.processorMicroseconds())
}

// setComparison sets OtherWorkKept and OtherWorkP99Ratio. others is the record of the
// routes that have no flood or waves in the phase, and baseline that of the same routes
// in the baseline phase.
func (r *result) setComparison(others, baseline *routeRecord) {
	kept := round(float64(others.completeTasks) / float64(max(1, baseline.completeTasks)))
	r.OtherWorkKept = &kept
	if baseline.completeTasks > 0 && others.completeTasks > 0 {
		ratio := round(others.ratio(99) / baseline.ratio(99))
		r.OtherWorkP99Ratio = &ratio
	}
}
