package main

import (
	"fmt"
	"time"
)

const (
	// cancelBound is cancel_ms: after it, no task of a cancelled job may start.
	cancelBound = 3 * time.Second
	// cancelRounds is how many jobs are cancelled.
	cancelRounds = 3
	// chainSteps is the number of steps of a job, which follow each other.
	chainSteps = 9
)

// cancelElsewhere cancels jobs, while their client waits for their end, at another instance
// than the one that took them. It checks that no task of a job starts later than cancel_ms
// after its cancelling was acknowledged.
func cancelElsewhere(env environment) result {
	d, err := newDeployment(deploymentConfig{
		program: env.program, directory: env.root, temporary: env.temporary, zones: []string{"zone-a", "zone-b", "zone-c"},
		instances: 2, workers: 8, cpuShare: 0.4, rec: env.rec,
		runTime: func(string) time.Duration { return 900 * time.Millisecond },
	})
	defer d.end()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(2 * time.Second)
	c := &client{rec: env.rec, deadline: 12 * time.Second}
	var steps []step
	for n := range chainSteps {
		s := step{Count: 2, CPU: taskMillicores, MemMb: 256, EstimatedMs: 900}
		if n > 0 {
			s.DependsOn = []int{n - 1}
		}
		steps = append(steps, s)
	}
	var broken []string
	for n := range cancelRounds {
		id := jobID(n)
		answered := make(chan int)
		go func() { answered <- c.submit(d.of("zone-a")[0], id, steps) }()
		for d.journal.runs(id) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		var cancelled time.Time
		if env.trouble {
			time.Sleep(500 * time.Millisecond)
			status := c.cancel(d.of("zone-a")[1], id)
			if status == 410 || status/100 == 2 {
				cancelled = time.Now()
			}
		}
		<-answered
		broken = append(broken, d.journal.startsAfter(id, cancelled, cancelBound)...)
	}
	return result{broken: broken}
}

// startsAfter describes the starts of a job's tasks later than bound after its cancelling
// was acknowledged, which was at cancelled. It returns nil if cancelled is zero.
func (j *runJournal) startsAfter(job string, cancelled time.Time, bound time.Duration) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	if cancelled.IsZero() {
		return nil
	}
	var late []string
	for _, s := range j.starts {
		if after := s.at.Sub(cancelled); jobOf(s.task) == job && after > bound {
			late = append(late, fmt.Sprintf("%s starts %v after the cancelling was acknowledged", s.task, after.Round(time.Millisecond)))
		}
	}
	return late
}
