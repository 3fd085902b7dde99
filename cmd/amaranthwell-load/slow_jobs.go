package main

import (
	"cmp"
	"slices"
	"time"
)

// maxSlowJobs is the maximum number of slow jobs in a result.
const maxSlowJobs = 10

// A slowJob is a complete job with a large ratio of response time to ideal response
// time. Results list the jobs with the largest ratios, as a starting point for finding
// out why they were slow.
type slowJob struct {
	Job         string  `toml:"job"`
	Ratio       float64 `toml:"response-over-ideal"`
	Response    string  `toml:"response"`
	LongestTask string  `toml:"longest-task"`
	Tasks       int     `toml:"tasks"`
	Submissions int     `toml:"submissions"`
	Start       string  `toml:"start"`
}

func newSlowJob(o outcome, ratio float64, response time.Duration) slowJob {
	j := o.submission.job
	return slowJob{
		Job:         j.id,
		Ratio:       round(ratio),
		Response:    response.Round(time.Millisecond).String(),
		LongestTask: j.longest().Round(time.Millisecond).String(),
		Tasks:       len(j.runTimes),
		Submissions: o.submissions,
		Start:       o.submission.start.UTC().Format("15:04:05.000"),
	}
}

// addSlowJob inserts j into rr.slowest if its ratio is among the maxSlowJobs largest.
func (rr *routeRecord) addSlowJob(j slowJob) {
	i, _ := slices.BinarySearchFunc(rr.slowest, j, func(a, b slowJob) int { return cmp.Compare(b.Ratio, a.Ratio) })
	if i == maxSlowJobs {
		return
	}
	rr.slowest = slices.Insert(rr.slowest, i, j)
	rr.slowest = rr.slowest[:min(len(rr.slowest), maxSlowJobs)]
}
