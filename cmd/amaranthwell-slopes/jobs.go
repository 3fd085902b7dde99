package main

import (
	"runtime"

	"github.com/amaranthwell/amaranthwell/operator"
)

// pathTasks is the largest number of tasks in a trial, unless a single job has more.
// pathTrials is the number of trials in which the processor time is measured.
const (
	pathTasks  = 2600
	pathTrials = 12
)

// jobsByTasks measures the processor time and the allocations of a job at the instance of
// each role, by the number of the job's tasks. An envelope carries as many outcomes as
// that of a busy instance, up to maxEvents.
func jobsByTasks() []slope {
	var all []slope
	for n := range roleCount {
		all = append(all,
			slope{Name: "job-time-" + roleNames[n], What: "entry.Instance at the " + roleNames[n] + " of a job, from the caller to the answer, up to 512 outcomes an envelope", Unit: "ns", By: "task"},
			slope{Name: "job-allocations-" + roleNames[n], What: "allocations of the same", Unit: "allocations", By: "task"})
	}
	codec := slope{Name: "job-time-codec", What: "marshalling and parsing all envelopes of a job, at all instances together", Unit: "ns", By: "task"}
	for _, tasks := range taskCounts {
		p, jobs := runJobPath(tasks, maxEvents)
		trials := float64(pathTrials * jobs)
		for n := range roleCount {
			all[2*n].add(tasks, float64(p.cpuTime[n])/trials)
			all[2*n+1].add(tasks, float64(p.allocs[n])/float64(jobs))
		}
		codec.add(tasks, float64(p.codecTime)/trials)
	}
	all = append(all, codec)
	return append(all, jobsBySingleOutcomes()...)
}

// jobsBySingleOutcomes measures the processor time as jobsByTasks does, but with one
// outcome in each envelope, as a nearly idle instance sends them.
func jobsBySingleOutcomes() []slope {
	all := make([]slope, 0, roleCount+1)
	for n := range roleCount {
		all = append(all, slope{Name: "job-time-" + roleNames[n] + "-single", What: "entry.Instance at the " + roleNames[n] + " with one outcome an envelope", Unit: "ns", By: "task"})
	}
	codec := slope{Name: "job-time-codec-single", What: "marshalling and parsing all envelopes of a job with one outcome an envelope, at all instances together", Unit: "ns", By: "task"}
	for _, tasks := range taskCounts {
		p, jobs := runJobPath(tasks, 1)
		trials := float64(pathTrials * jobs)
		for n := range roleCount {
			all[n].add(tasks, float64(p.cpuTime[n])/trials)
		}
		codec.add(tasks, float64(p.codecTime)/trials)
	}
	return append(all, codec)
}

// runJobPath runs trials of jobs with the given number of tasks. It returns the jobPath
// with the measured totals, and the number of jobs in a trial. The first trial counts
// allocations, including those of maps and slices that grow. The next pathTrials trials
// measure processor time. batch is as in jobPath.run.
func runJobPath(tasks, batch int) (*jobPath, int) {
	p := newJobPath(operator.MaxServers / 4)
	jobs := max(1, pathTasks/tasks)
	p.countAllocs = true
	p.runTrial(jobs, tasks, batch)
	runtime.GC()
	p.countAllocs, p.measureTime, p.codecTime = false, true, 0
	for range pathTrials {
		p.runTrial(jobs, tasks, batch)
	}
	return p, jobs
}

// runTrial runs the given number of jobs as jobPath.run does. It panics unless each job
// is answered.
func (p *jobPath) runTrial(jobs, tasks, batch int) {
	if p.run(jobs, tasks, batch) != jobs {
		panic("a job got no answer")
	}
}

// wireByTasks measures the bytes of the envelopes of one job that runs alone.
func wireByTasks() []slope {
	names := [messageCount]string{"submit", "run", "result", "answer"}
	var all []slope
	for n := range messageCount {
		all = append(all, slope{Name: "wire-bytes-" + names[n], What: "bytes of the envelopes that carry the " + names[n] + " part of one job, payloads and results of 64 bytes, up to 512 outcomes an envelope", Unit: "bytes", By: "task"})
	}
	single := slope{Name: "wire-bytes-result-single", What: "the same of the results with one outcome an envelope", Unit: "bytes", By: "task"}
	for _, tasks := range taskCounts {
		p := newJobPath(operator.MaxServers / 4)
		p.run(1, tasks, maxEvents)
		for n := range messageCount {
			all[n].add(tasks, float64(p.wireBytes[n]))
		}
		p = newJobPath(operator.MaxServers / 4)
		p.run(1, tasks, 1)
		single.add(tasks, float64(p.wireBytes[holderToOwner]))
	}
	return append(all, single)
}
