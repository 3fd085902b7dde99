package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of the run times of tasks at the nominal speed, which is 1.
const (
	shortestTask = 50 * time.Millisecond
	longestTask  = time.Second
	// longTaskFraction is the expected fraction of tasks that run for several
	// seconds.
	longTaskFraction = 0.005
	shortestLongTask = 2 * time.Second
	longestLongTask  = 3500 * time.Millisecond
)

// Parameters of jobs.
const (
	// meanExtraTasks is the mean number of tasks in addition to the first, in a job
	// that is not large. The number of tasks is then limited to maxTasks.
	meanExtraTasks = 7.0
	maxTasks       = 40
	// largeJobFraction is the expected fraction of large jobs.
	largeJobFraction   = 0.01
	minTasksLargeJob   = 60
	maxTasksLargeJob   = 160
	jobTimeout         = 8 * time.Second
	idealOverhead      = time.Millisecond
	meanJobTimeSamples = 200_000
)

// A job is a generated job before its submission.
type job struct {
	route string
	// id is unique among the jobs of a run.
	id string
	// runTimes holds the run time of each task at the nominal speed.
	runTimes []time.Duration
}

// newJob returns a job with a random number of tasks and random run times. Its id
// is empty.
func newJob(r *rand.Rand, route string) job {
	runTimes := make([]time.Duration, taskCount(r))
	for i := range runTimes {
		runTimes[i] = taskRunTime(r)
	}
	return job{route: route, runTimes: runTimes}
}

func taskCount(r *rand.Rand) int {
	if r.Float64() < largeJobFraction {
		return minTasksLargeJob + r.IntN(maxTasksLargeJob-minTasksLargeJob+1)
	}
	return min(1+int(r.ExpFloat64()*meanExtraTasks), maxTasks)
}

// taskRunTime returns a random run time from a log-uniform distribution.
func taskRunTime(r *rand.Rand) time.Duration {
	low, high := shortestTask, longestTask
	if r.Float64() < longTaskFraction {
		low, high = shortestLongTask, longestLongTask
	}
	logLow, logHigh := math.Log(float64(low)), math.Log(float64(high))
	return time.Duration(math.Exp(logLow + r.Float64()*(logHigh-logLow)))
}

// meanJobTime estimates the mean total run time of a job from random samples.
func meanJobTime(r *rand.Rand) time.Duration {
	sum := time.Duration(0)
	for range meanJobTimeSamples {
		sum += newJob(r, "").total()
	}
	return sum / meanJobTimeSamples
}

// total returns the sum of the run times of the job's tasks at the nominal speed.
func (j job) total() time.Duration {
	sum := time.Duration(0)
	for _, t := range j.runTimes {
		sum += t
	}
	return sum
}

// longest returns the longest run time of the job's tasks at the nominal speed.
func (j job) longest() time.Duration {
	longest := time.Duration(0)
	for _, t := range j.runTimes {
		longest = max(longest, t)
	}
	return longest
}

// ideal returns the response time of j if it runs alone on an idle fleet whose servers
// all have the mean speed: the run time of the longest task or, if longer, the total
// run time divided by the number of slots, plus idealOverhead for the round trip.
//
// It ignores other jobs, the cost of the protocols and, for jobs with more tasks
// than slots, the rounding of tasks to slots. It also ignores the choice between
// fast and slow servers: a job alone can run on the fastest ones, so the ratio of
// its response time to the ideal can be below 1.
func ideal(j job, meanSpeed float64, slots int) time.Duration {
	longest := float64(j.longest()) / meanSpeed
	wholeJob := float64(j.total()) / (meanSpeed * float64(slots))
	return time.Duration(max(longest, wholeJob)) + idealOverhead
}

// payloads returns the task payloads in the format of the worker stand-in. Each
// holds the run time, the job's id and the task's index.
func (j job) payloads() [][]byte {
	tasks := make([][]byte, len(j.runTimes))
	for i, t := range j.runTimes {
		tasks[i] = fmt.Appendf(nil, "run-time=%s task=%s/%d", t.Round(time.Microsecond), j.id, i)
	}
	return tasks
}

// matchesResults reports whether results are the worker stand-in's results for the
// job's tasks, in the order of the tasks.
func (j job) matchesResults(results [][]byte) bool {
	tasks := j.payloads()
	if len(results) != len(tasks) {
		return false
	}
	for i, t := range tasks {
		if string(results[i]) != "done:"+string(t) {
			return false
		}
	}
	return true
}
