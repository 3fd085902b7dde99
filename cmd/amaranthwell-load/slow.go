package main

import (
	"cmp"
	"slices"
	"time"
)

// maxSlowJobs is the number of slow jobs that a result lists.
const maxSlowJobs = 10

// A slowJob is a complete job with a large response time over the ideal, for
// people who look for the cause.
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

// addSlow adds j to the slowest jobs if it is one of them.
func (rr *routeRecord) addSlow(j slowJob) {
	i, _ := slices.BinarySearchFunc(rr.slowest, j, func(a, b slowJob) int { return cmp.Compare(b.Ratio, a.Ratio) })
	if i == maxSlowJobs {
		return
	}
	rr.slowest = slices.Insert(rr.slowest, i, j)
	rr.slowest = rr.slowest[:min(len(rr.slowest), maxSlowJobs)]
}
