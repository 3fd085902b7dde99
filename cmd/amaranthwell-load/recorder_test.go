package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRecorderCountsViolations(t *testing.T) {
	f := newSapicaFleet(40)
	j := job{route: "previews", id: "a", runTimes: []time.Duration{time.Second}}
	whole := [][]byte{append([]byte("done:"), j.payloads()[0]...)}
	tests := []struct {
		name   string
		answer answer
		want   violations
	}{
		{"whole", answer{Key: "k", Status: statusComplete, Results: whole}, violations{}},
		{"partial", answer{Key: "k", Status: statusComplete}, violations{partial: 1}},
		{"failed with results", answer{Key: "k", Status: statusFailed, Results: whole}, violations{partial: 1}},
		{"wrong key", answer{Key: "l", Status: statusFailed}, violations{wrongKey: 1}},
		{"wrong result", answer{Key: "k", Status: statusComplete, Results: [][]byte{{1}}}, violations{wrongResult: 1}},
		{"unknown", answer{Key: "k", Status: statusUnknown}, violations{unknown: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRecorder(f)
			r.recordAnswer("k", j, tt.answer)
			is.Equal(r.violations, tt.want)
		})
	}
}

func TestRecorderCountsOnlyJobsInWindow(t *testing.T) {
	is := is.New(t)
	f := newSapicaFleet(40)
	r := newRecorder(f)
	begin := time.Unix(100, 0)
	w := r.addWindow(begin, begin.Add(time.Second))
	j := job{route: "previews", runTimes: []time.Duration{time.Second}}
	for _, start := range []time.Time{begin.Add(-1), begin, begin.Add(time.Second)} {
		end := start.Add(2 * ideal(j, f.meanSpeed(), fleetSlots))
		r.record(outcome{submission: submission{job: j, start: start}, end: end, status: statusComplete})
	}
	is.Equal(w.routes["previews"].jobs, 1)
	is.Equal(w.routes["previews"].ratio(50), 2.0) // Twice the ideal, to 3 digits.
}

// Answers that contradict the starts that the workers counted must be detected: a
// refused job whose tasks started, and a complete job with a task that did not.
func TestSetCheckCountsComparesAnswersWithStarts(t *testing.T) {
	is := is.New(t)
	rec := newRecorder(newSapicaFleet(40))
	rec.notRun["refused"] = true
	rec.notRun["refused-but-run"] = true
	rec.complete["whole"] = 2
	rec.complete["short"] = 2
	var r result
	r.setCheckCounts(rec, starts{Started: 8, StartedTwice: 1, ByKey: map[string][]int{
		"refused-but-run": {1}, "whole": {1, 2}, "short": {1, 0},
	}})
	is.Equal(r.RefusedButRun, 1)
	is.Equal(r.CompleteButNotRun, 1)
	is.Equal(r.StartedTwice, 1)
	is.Equal(r.UselessStartsPerTask, 0.5) // 8 starts, 4 tasks in complete answers.
}

func TestSlowestJobsHaveLargestRatios(t *testing.T) {
	is := is.New(t)
	rr := newRouteRecord()
	for i := range 3 * maxSlowJobs {
		rr.addSlowJob(slowJob{Ratio: float64(i * 7 % (3 * maxSlowJobs))}) // 7 and 30 are coprime, so every ratio occurs once.
	}
	is.Equal(len(rr.slowest), maxSlowJobs)
	for i, j := range rr.slowest {
		is.Equal(j.Ratio, float64(3*maxSlowJobs-1-i))
	}
}
