package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Run times of tasks at the nominal speed.
const (
	shortestTask = 50 * time.Millisecond
	longestTask  = time.Second
	// longTaskPart is the part of the tasks that last several seconds.
	longTaskPart     = 0.005
	shortestLongTask = 2 * time.Second
	longestLongTask  = 3500 * time.Millisecond
)

// Numbers of tasks in a job.
const (
	// meanExtraTasks is the mean number of tasks beyond the first.
	meanExtraTasks = 7.0
	mostTasks      = 40
	// largeJobPart is the part of the jobs that are large.
	largeJobPart    = 0.01
	fewestLargeJob  = 60
	mostTasksLarge  = 160
	jobTimeout      = 8 * time.Second
	answerOverhead  = time.Millisecond
	samplesForMeans = 200_000
)

// A job is one request before it is submitted.
type job struct {
	route string
	// id tells the jobs of a run apart.
	id string
	// runTimes holds the run time of each task at the nominal speed.
	runTimes []time.Duration
}

// newJob draws the sizes of one job.
func newJob(r *rand.Rand, route string) job {
	runTimes := make([]time.Duration, taskCount(r))
	for i := range runTimes {
		runTimes[i] = taskRunTime(r)
	}
	return job{route: route, runTimes: runTimes}
}

func taskCount(r *rand.Rand) int {
	if r.Float64() < largeJobPart {
		return fewestLargeJob + r.IntN(mostTasksLarge-fewestLargeJob+1)
	}
	return min(1+int(r.ExpFloat64()*meanExtraTasks), mostTasks)
}

// taskRunTime draws a run time whose logarithm is uniform.
func taskRunTime(r *rand.Rand) time.Duration {
	low, high := shortestTask, longestTask
	if r.Float64() < longTaskPart {
		low, high = shortestLongTask, longestLongTask
	}
	logLow, logHigh := math.Log(float64(low)), math.Log(float64(high))
	return time.Duration(math.Exp(logLow + r.Float64()*(logHigh-logLow)))
}

// meanJobTime returns the mean of the sum of a job's run times.
func meanJobTime(r *rand.Rand) time.Duration {
	sum := time.Duration(0)
	for range samplesForMeans {
		sum += newJob(r, "").total()
	}
	return sum / samplesForMeans
}

func (j job) total() time.Duration {
	sum := time.Duration(0)
	for _, t := range j.runTimes {
		sum += t
	}
	return sum
}

func (j job) longest() time.Duration {
	longest := time.Duration(0)
	for _, t := range j.runTimes {
		longest = max(longest, t)
	}
	return longest
}

// ideal returns the response time of the job alone on an idle fleet of servers
// that all have the mean speed: its longest task's run time, or the time in
// which all slots together run the whole job if that is longer, plus one
// millisecond for the way there and back.
//
// It leaves out other jobs, the choice between fast and slow servers (a job
// alone could have the fastest, so that a ratio below 1 is possible), the
// cost of the protocols, and for jobs with more tasks than slots the rounding
// of tasks to slots.
func ideal(j job, meanSpeed float64, slots int) time.Duration {
	longest := float64(j.longest()) / meanSpeed
	spread := float64(j.total()) / (meanSpeed * float64(slots))
	return time.Duration(max(longest, spread)) + answerOverhead
}

// payloads returns the tasks as a worker stand-in reads them, each with the
// job's id and the task's index.
func (j job) payloads() [][]byte {
	tasks := make([][]byte, len(j.runTimes))
	for i, t := range j.runTimes {
		tasks[i] = fmt.Appendf(nil, "run-time=%s task=%s/%d", t.Round(time.Microsecond), j.id, i)
	}
	return tasks
}

// isResult reports whether results are what a worker stand-in gives for the
// job's tasks, in their order.
func (j job) isResult(results [][]byte) bool {
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
