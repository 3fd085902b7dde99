package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// restartDelay is how long the platform takes to start a killed process again.
	restartDelay = 100 * time.Millisecond
	// receiverRounds is how often an instance is killed.
	receiverRounds = 6
)

// receiverRestart kills an instance that leads nothing while it waits for the end of a
// client's job. The platform starts it again after a short delay, and the client sends its
// job again to an instance of another zone. It checks that no task has two runs at once.
func receiverRestart(env environment) result {
	d, err := newDeployment(deploymentConfig{
		program: env.program, directory: env.root, temporary: env.temporary, zones: []string{"zone-a", "zone-b", "zone-c"},
		instances: 3, workers: 21, cpuShare: 0.4, rec: env.rec,
		runTime: func(string) time.Duration { return 2500 * time.Millisecond },
	})
	defer d.end()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(4 * time.Second)
	leaders := d.leaders()
	for _, i := range leaders {
		env.rec.note("%s leads", i.name)
	}
	if len(leaders) != len(d.cfg.zones) {
		return result{err: fmt.Errorf("%d zones have a leader of their own", len(leaders))}
	}
	var receiver *instance
	for _, i := range d.of("zone-a") {
		if !i.leads() {
			receiver = i
		}
	}
	if receiver == nil {
		return result{err: errors.New("zone-a has no instance that leads nothing")}
	}
	for n := range receiverRounds {
		receiverRound(env, d, receiver, jobID(n))
	}
	d.decisions("event=job-suspended", "event=job-dropped", "event=run-stopped")
	return result{broken: d.journal.doubled}
}

// receiverRound submits a job to receiver, kills receiver and submits the job again.
func receiverRound(env environment, d *deployment, receiver *instance, id string) {
	c := &client{rec: env.rec, deadline: 8 * time.Second}
	steps := []step{{Count: 2, CPU: taskMillicores, MemMb: 256, EstimatedMs: 2500}}
	answered := make(chan int)
	go func() { answered <- c.submit(receiver, id, steps) }()
	for d.journal.runs(id) < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if env.trouble {
		env.rec.note("%s is killed", receiver.name)
		receiver.kill()
		time.Sleep(restartDelay)
		if err := receiver.start(); err != nil {
			env.rec.note("%s does not start: %v", receiver.name, err)
		}
	}
	if <-answered == 0 {
		time.Sleep(resendAfter - restartDelay)
		c.submit(d.of("zone-b")[1], id, steps)
	}
	time.Sleep(time.Second)
	for !receiver.isReady() {
		time.Sleep(50 * time.Millisecond)
	}
}
