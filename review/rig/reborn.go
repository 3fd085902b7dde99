package main

import (
	"sync/atomic"
	"time"
)

const (
	// rebornRounds is the number of jobs.
	rebornRounds = 4
	// lateStart is how much later a start is carried out that was left unanswered.
	lateStart = 3 * time.Second
	// rebornTasks is the number of tasks of a job.
	rebornTasks = 2
	// rebornDown is how long the worker is down.
	rebornDown = time.Second
	// rebornWork is the work of a task.
	rebornWork = 3500 * time.Millisecond
)

// reborn has a worker leave the starts of a job unanswered, crash, start again under the id
// that it had, and carry out the starts late. It checks that no task has two runs at once.
func reborn(env environment) result {
	// left is the number of starts that are still to be left unanswered.
	var left atomic.Int64
	d, err := newDeployment(deploymentConfig{
		program: env.program, directory: env.root, temporary: env.temporary, zones: []string{"zone-a", "zone-b", "zone-c"},
		instances: 3, workers: 4, cpuShare: 0.4, rec: env.rec,
		runTime: func(string) time.Duration { return rebornWork },
		late: func(path, _ string) (time.Duration, bool) {
			return lateStart, path == "/run-start" && left.Add(-1) >= 0
		},
	})
	defer d.end()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(3 * time.Second)
	c := &client{rec: env.rec, deadline: 8 * time.Second}
	steps := []step{{Count: rebornTasks, CPU: taskMillicores, MemMb: 256, EstimatedMs: rebornWork.Milliseconds()}}
	for n := range rebornRounds {
		id := jobID(n)
		left.Store(0)
		if env.trouble {
			left.Store(rebornTasks)
		}
		answered := make(chan int)
		go func() { answered <- c.submit(d.of("zone-a")[0], id, steps) }()
		for d.journal.runs(id) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		if w := d.silent(id); w != nil {
			time.Sleep(500 * time.Millisecond)
			env.rec.note("%s crashes", w.id)
			w.crash(rebornDown)
			env.rec.note("%s is up again", w.id)
		}
		<-answered
		time.Sleep(4 * time.Second)
	}
	return result{broken: d.journal.doubled}
}
