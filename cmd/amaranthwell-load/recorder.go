package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histograms. The histograms record ratios in thousandths and lags in
// microseconds.
const (
	ratioUnit         = 1000
	lowestRatio       = 1
	highestRatio      = 10_000 * ratioUnit
	significantDigits = 3
	highestLag        = int64(time.Minute / time.Microsecond)
)

// A window is the measured part of a phase. It counts the jobs whose intended start
// is in [begin, end).
type window struct {
	begin, end time.Time
	// routes holds the record of each route, by the route's name.
	routes map[string]*routeRecord
}

// A routeRecord holds the counts and histograms of one route in a window. Jobs that
// their clients cancel count in cancelled, submissions, brokenConnections, lags,
// statuses and reasons only.
type routeRecord struct {
	// ratios holds the ratio of response time to ideal response time of each complete
	// job. lags holds the delay of each job's actual start after the intended one.
	ratios *hdrhistogram.Histogram
	lags   *hdrhistogram.Histogram
	// jobs counts the jobs, offeredTasks their tasks, and completeTasks the tasks of
	// the complete jobs.
	jobs          int
	offeredTasks  int
	completeTasks int
	// statuses and reasons count the jobs by the status and by the reason of their
	// last answer.
	statuses          map[string]int
	reasons           map[string]int
	submissions       int
	brokenConnections int
	// cancelled counts the jobs that were submitted with a cancelAfter, even if
	// they ended before their cancellation.
	cancelled int
	// slowest holds the complete jobs with the largest ratios, in descending
	// order.
	slowest []slowJob
}

func newRouteRecord() *routeRecord {
	return &routeRecord{
		ratios:   hdrhistogram.New(lowestRatio, highestRatio, significantDigits),
		lags:     hdrhistogram.New(1, highestLag, significantDigits),
		statuses: make(map[string]int),
		reasons:  make(map[string]int),
	}
}

// A recorder collects the outcomes of all jobs. It is safe for concurrent use.
type recorder struct {
	fleet     *fleet
	meanSpeed float64

	mu         sync.Mutex
	windows    []*window
	violations violations
	// notRun holds true for each submission key whose answer had the status
	// not-run. complete holds the number of tasks of each submission whose answer
	// had the status complete, by key.
	notRun   map[string]bool
	complete map[string]int
}

// violations holds the numbers of answers that must not occur, by kind.
type violations struct {
	// partial counts complete answers whose number of results differs from
	// the number of tasks, and other answers with results.
	partial int
	// wrongKey counts answers whose key differs from the submission's.
	wrongKey int
	// wrongResult counts complete answers with the right number of results but
	// wrong contents.
	wrongResult int
	// unknown counts answers of the status unknown.
	unknown int
}

func newRecorder(f *fleet) *recorder {
	return &recorder{
		fleet:     f,
		meanSpeed: f.meanSpeed(),
		notRun:    make(map[string]bool),
		complete:  make(map[string]int),
	}
}

// addWindow adds a window that counts the jobs whose intended start is in [begin, end),
// and returns it.
func (r *recorder) addWindow(begin, end time.Time) *window {
	w := &window{begin: begin, end: end, routes: make(map[string]*routeRecord)}
	for _, route := range r.fleet.routes {
		w.routes[route.name] = newRouteRecord()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.windows = append(r.windows, w)
	return w
}

// recordAnswer checks one answer for violations and records its key by status.
func (r *recorder) recordAnswer(key string, j job, a answer) {
	resultsMatch := a.Status != statusComplete || j.matchesResults(a.Results)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations.count(key, j, a, resultsMatch)
	switch a.Status {
	case statusNotRun:
		r.notRun[key] = true
	case statusComplete:
		r.complete[key] = len(j.runTimes)
	}
}

// count adds one answer to the kinds of violations that apply to it. resultsMatch
// reports whether the results of a complete answer are right.
func (v *violations) count(key string, j job, a answer, resultsMatch bool) {
	if a.Key != key {
		v.wrongKey++
	}
	wanted := 0
	if a.Status == statusComplete {
		wanted = len(j.runTimes)
	}
	if len(a.Results) != wanted {
		v.partial++
	} else if !resultsMatch {
		v.wrongResult++
	}
	if a.Status == statusUnknown {
		v.unknown++
	}
}

// record counts an outcome in each window that contains the intended start of the
// submission.
func (r *recorder) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.windows {
		start := o.submission.start
		if !start.Before(w.begin) && start.Before(w.end) {
			w.routes[o.submission.job.route].addOutcome(o, r.meanSpeed)
		}
	}
}

func (rr *routeRecord) addOutcome(o outcome, meanSpeed float64) {
	j := o.submission.job
	rr.submissions += o.submissions
	rr.brokenConnections += o.brokenConnections
	_ = rr.lags.RecordValue(min(o.startLag.Microseconds(), highestLag))
	rr.statuses[o.status]++
	if o.reason != "" {
		rr.reasons[o.reason]++
	}
	if o.submission.cancelAfter > 0 {
		rr.cancelled++
		return
	}
	rr.jobs++
	rr.offeredTasks += len(j.runTimes)
	if o.status != statusComplete {
		return
	}
	rr.completeTasks += len(j.runTimes)
	response := o.end.Sub(o.submission.start)
	ratio := float64(response) / float64(ideal(j, meanSpeed, fleetSlots))
	_ = rr.ratios.RecordValue(min(int64(ratio*ratioUnit), highestRatio))
	rr.addSlowJob(newSlowJob(o, ratio, response))
}

// sum returns the merged records of the routes for which include returns true.
func (w *window) sum(include func(route string) bool) *routeRecord {
	total := newRouteRecord()
	for name, rr := range w.routes {
		if include(name) {
			total.merge(rr)
		}
	}
	return total
}

func (rr *routeRecord) merge(other *routeRecord) {
	rr.ratios.Merge(other.ratios)
	rr.lags.Merge(other.lags)
	for _, j := range other.slowest {
		rr.addSlowJob(j)
	}
	rr.jobs += other.jobs
	rr.offeredTasks += other.offeredTasks
	rr.completeTasks += other.completeTasks
	rr.submissions += other.submissions
	rr.brokenConnections += other.brokenConnections
	rr.cancelled += other.cancelled
	for k, n := range other.statuses {
		rr.statuses[k] += n
	}
	for k, n := range other.reasons {
		rr.reasons[k] += n
	}
}
