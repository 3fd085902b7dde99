package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// lateStopRounds is the number of jobs that are given up.
	lateStopRounds = 4
	// lateStopWork is the work of a task, which is within the range of the site's jobs.
	lateStopWork = 3500 * time.Millisecond
	// lateBy is how much later a command is carried out that was left unanswered.
	lateBy = 3 * time.Second
	// unansweredStops is the number of stops of each job that are left unanswered.
	unansweredStops = 8
)

// lateStop has clients give up jobs at their deadline and send them again to another zone,
// while the workers leave the stops of these jobs unanswered and carry them out late. It
// checks that no task has two runs at once.
func lateStop(env environment) result {
	// orders counts all commands to workers, and unanswered those that were left
	// unanswered.
	var orders, unanswered, stops atomic.Int64
	d, err := newDeployment(deploymentConfig{
		program: env.program, directory: env.root, temporary: env.temporary, zones: []string{"zone-a", "zone-b", "zone-c"},
		instances: 3, workers: 21, cpuShare: 0.4, rec: env.rec,
		runTime: func(string) time.Duration { return lateStopWork },
		late: func(path, _ string) (time.Duration, bool) {
			orders.Add(1)
			if !env.trouble || path != "/run-stop" || stops.Add(1) > unansweredStops {
				return 0, false
			}
			unanswered.Add(1)
			return lateBy, true
		},
	})
	defer d.end()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(4 * time.Second)
	if leaders := d.leaders(); len(leaders) != len(d.cfg.zones) {
		return result{err: fmt.Errorf("%d zones have a leader of their own", len(leaders))}
	}
	c := &client{rec: env.rec, deadline: 1500 * time.Millisecond}
	for n := range lateStopRounds {
		id := jobID(n)
		stops.Store(0)
		steps := []step{{Count: 1, CPU: taskMillicores, MemMb: 256, EstimatedMs: lateStopWork.Milliseconds()}}
		if c.submit(d.of("zone-a")[0], id, steps) != 200 {
			time.Sleep(resendAfter)
			stops.Store(unansweredStops)
			c.submit(d.of("zone-b")[1], id, steps)
		}
		time.Sleep(5 * time.Second)
	}
	env.rec.note("%d of %d orders to workers were left unanswered", unanswered.Load(), orders.Load())
	return result{broken: d.journal.doubled}
}
