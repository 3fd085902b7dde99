package main

import (
	"runtime"

	"github.com/amaranthwell/amaranthwell/operator"
)

// pathTasks bounds the tasks that are in the path at once, and pathTrials is the
// number of times that they go through it.
const (
	pathTasks  = 2600
	pathTrials = 12
)

// jobsByTasks measures the control time and allocations of a job at each role,
// with the envelopes of a busy instance.
func jobsByTasks() []slope {
	var all []slope
	for n := range roles {
		all = append(all,
			slope{Name: "job-time-" + roleNames[n], What: "entry.Instance at the " + roleNames[n] + " of a job, from the caller to the answer, up to 512 outcomes an envelope", Unit: "ns", By: "task"},
			slope{Name: "job-allocations-" + roleNames[n], What: "allocations of the same", Unit: "allocations", By: "task"})
	}
	codec := slope{Name: "job-time-codec", What: "marshalling and parsing all envelopes of a job, at all instances together", Unit: "ns", By: "task"}
	for _, tasks := range taskSizes {
		p, jobs := runPath(tasks, maxEvents)
		trials := float64(pathTrials * jobs)
		for n := range roles {
			all[2*n].add(tasks, float64(p.time[n])/trials)
			all[2*n+1].add(tasks, float64(p.allocs[n])/float64(jobs))
		}
		codec.add(tasks, float64(p.codec)/trials)
	}
	all = append(all, codec)
	return append(all, jobsBySingleOutcomes()...)
}

// jobsBySingleOutcomes measures the same with an envelope an outcome, as
// instances do that have little to do.
func jobsBySingleOutcomes() []slope {
	all := make([]slope, 0, roles+1)
	for n := range roles {
		all = append(all, slope{Name: "job-time-" + roleNames[n] + "-single", What: "entry.Instance at the " + roleNames[n] + " with one outcome an envelope", Unit: "ns", By: "task"})
	}
	codec := slope{Name: "job-time-codec-single", What: "marshalling and parsing all envelopes of a job with one outcome an envelope, at all instances together", Unit: "ns", By: "task"}
	for _, tasks := range taskSizes {
		p, jobs := runPath(tasks, 1)
		trials := float64(pathTrials * jobs)
		for n := range roles {
			all[n].add(tasks, float64(p.time[n])/trials)
		}
		codec.add(tasks, float64(p.codec)/trials)
	}
	return append(all, codec)
}

// runPath takes jobs of one size through a path, and returns it with the number
// of jobs in each of pathTrials trials. The first trial counts allocations, also
// those of maps and slices that grow.
func runPath(tasks, batch int) (*path, int) {
	p := newPath(operator.MaxServers / 4)
	jobs := max(1, pathTasks/tasks)
	p.counted = true
	p.trial(jobs, tasks, batch)
	runtime.GC()
	p.counted, p.timed, p.codec = false, true, 0
	for range pathTrials {
		p.trial(jobs, tasks, batch)
	}
	return p, jobs
}

// trial takes jobs through the path. Each is to be answered.
func (p *path) trial(jobs, tasks, batch int) {
	if p.run(jobs, tasks, batch) != jobs {
		panic("a job without an answer")
	}
}

// wireByTasks measures the bytes of the messages of one job that goes alone.
func wireByTasks() []slope {
	names := [messages]string{"submit", "run", "result", "answer"}
	var all []slope
	for n := range messages {
		all = append(all, slope{Name: "wire-bytes-" + names[n], What: "bytes of the envelopes that carry the " + names[n] + " part of one job, payloads and results of 64 bytes, up to 512 outcomes an envelope", Unit: "bytes", By: "task"})
	}
	single := slope{Name: "wire-bytes-result-single", What: "the same of the results with one outcome an envelope", Unit: "bytes", By: "task"}
	for _, tasks := range taskSizes {
		p := newPath(operator.MaxServers / 4)
		p.run(1, tasks, maxEvents)
		for n := range messages {
			all[n].add(tasks, float64(p.wire[n]))
		}
		p = newPath(operator.MaxServers / 4)
		p.run(1, tasks, 1)
		single.add(tasks, float64(p.wire[holderToOwner]))
	}
	return append(all, single)
}
