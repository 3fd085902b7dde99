package main

import (
	"errors"
	"fmt"
	"time"
)

// resetRounds is how often connections are reset.
const resetRounds = 8

// resetConnections resets, at the same moment, the connection of a client to an instance
// and the connections of other instances to the leader of the zone. The client sends its
// job again to an instance of another zone. It checks that no task has two runs at once.
func resetConnections(env environment) result {
	d, err := newDeployment(deploymentConfig{
		program: env.program, directory: env.root, temporary: env.temporary, zones: []string{"zone-a", "zone-b", "zone-c"},
		instances: 3, workers: 21, cpuShare: 0.4, proxied: true, rec: env.rec,
		runTime: func(string) time.Duration { return 2500 * time.Millisecond },
	})
	defer d.end()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(4 * time.Second)
	if leaders := d.leaders(); len(leaders) != len(d.cfg.zones) {
		return result{err: fmt.Errorf("%d zones have a leader of their own", len(leaders))}
	}
	var receiver, leader *instance
	for _, i := range d.of("zone-a") {
		if i.leads() {
			leader = i
		} else {
			receiver = i
		}
	}
	if receiver == nil || leader == nil {
		return result{err: errors.New("zone-a has no leader, or nobody else")}
	}
	for n := range resetRounds {
		resetRound(env, d, receiver, leader, jobID(n))
	}
	d.decisions("event=job-suspended", "event=job-abandoned", "event=job-withdrawn")
	return result{broken: d.journal.doubled}
}

// resetRound submits a job to receiver, resets connections and submits the job again.
func resetRound(env environment, d *deployment, receiver, leader *instance, id string) {
	c := &client{rec: env.rec, deadline: 8 * time.Second}
	steps := []step{{Count: 2, CPU: taskMillicores, MemMb: 256, EstimatedMs: 2500}}
	answered := make(chan int)
	go func() { answered <- c.submit(receiver, id, steps) }()
	for d.journal.runs(id) < 2 {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if env.trouble {
		env.rec.note("connections of the client to %s and of instances to %s are reset", receiver.name, leader.name)
		leader.peers.reset()
		c.reset()
	}
	if <-answered == 0 {
		time.Sleep(resendAfter)
		c.submit(d.of("zone-b")[1], id, steps)
	}
	time.Sleep(time.Second)
}
