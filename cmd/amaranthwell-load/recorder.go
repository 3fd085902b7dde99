package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold ratios in thousandths and lags in microseconds.
const (
	ratioUnit   = 1000
	lowestRatio = 1
	topRatio    = 10_000 * ratioUnit
	digits      = 3
	topLag      = int64(time.Minute / time.Microsecond)
)

// A window is the measured part of a phase: the jobs whose intended start
// falls into it count.
type window struct {
	begin, end time.Time
	routes     map[string]*routeRecord
}

// A routeRecord counts the jobs of one route in a window.
type routeRecord struct {
	ratios        *hdrhistogram.Histogram
	lags          *hdrhistogram.Histogram
	jobs          int
	offeredTasks  int
	completeTasks int
	statuses      map[string]int
	reasons       map[string]int
	submissions   int
	losses        int
	// cancelled counts the jobs that their clients meant to cancel.
	cancelled int
	// slowest holds the complete jobs of the largest ratios, largest first.
	slowest []slowJob
}

func newRouteRecord() *routeRecord {
	return &routeRecord{
		ratios:   hdrhistogram.New(lowestRatio, topRatio, digits),
		lags:     hdrhistogram.New(1, topLag, digits),
		statuses: make(map[string]int),
		reasons:  make(map[string]int),
	}
}

// A recorder collects the outcomes of all jobs. It is safe for concurrent use.
type recorder struct {
	fleet *fleet
	mean  float64

	mu      sync.Mutex
	windows []*window
	verdict verdict
	// notRun and complete hold the keys answered so, complete with the
	// number of tasks.
	notRun   map[string]bool
	complete map[string]int
}

// A verdict counts what must never be seen in the answers.
type verdict struct {
	// partial counts complete answers without one result a task, and other
	// answers with results.
	partial int
	// wrongKey counts answers with another job's key.
	wrongKey int
	// wrongResult counts complete answers with results of other tasks.
	wrongResult int
	unknown     int
}

func newRecorder(f *fleet) *recorder {
	return &recorder{
		fleet:    f,
		mean:     f.meanSpeed(),
		notRun:   make(map[string]bool),
		complete: make(map[string]int),
	}
}

// addWindow starts to count the jobs that start in [begin, end).
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

// recordAnswer checks one answer.
func (r *recorder) recordAnswer(key string, j job, a answer) {
	isResult := a.Status != statusComplete || j.isResult(a.Results)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdict.check(key, j, a, isResult)
	switch a.Status {
	case statusNotRun:
		r.notRun[key] = true
	case statusComplete:
		r.complete[key] = len(j.runTimes)
	}
}

func (v *verdict) check(key string, j job, a answer, isResult bool) {
	if a.Key != key {
		v.wrongKey++
	}
	wanted := 0
	if a.Status == statusComplete {
		wanted = len(j.runTimes)
	}
	if len(a.Results) != wanted {
		v.partial++
	} else if !isResult {
		v.wrongResult++
	}
	if a.Status == statusUnknown {
		v.unknown++
	}
}

// record counts an outcome in the window that its start falls into.
func (r *recorder) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.windows {
		start := o.submission.start
		if !start.Before(w.begin) && start.Before(w.end) {
			w.routes[o.submission.job.route].add(o, r.mean)
		}
	}
}

func (rr *routeRecord) add(o outcome, meanSpeed float64) {
	j := o.submission.job
	rr.submissions += o.submissions
	rr.losses += o.losses
	_ = rr.lags.RecordValue(min(o.lag.Microseconds(), topLag))
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
	_ = rr.ratios.RecordValue(min(int64(ratio*ratioUnit), topRatio))
	rr.addSlow(newSlowJob(o, ratio, response))
}

// sum returns the records of several routes together.
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
		rr.addSlow(j)
	}
	rr.jobs += other.jobs
	rr.offeredTasks += other.offeredTasks
	rr.completeTasks += other.completeTasks
	rr.submissions += other.submissions
	rr.losses += other.losses
	rr.cancelled += other.cancelled
	for k, n := range other.statuses {
		rr.statuses[k] += n
	}
	for k, n := range other.reasons {
		rr.reasons[k] += n
	}
}
