package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"
)

const (
	// jobsPerSecond is the traffic of each zone with clients.
	jobsPerSecond = 8
	// releases is the number of releases that run at the same time. Each replaces one
	// worker in releaseGap.
	releases   = 3
	releaseGap = time.Second
	// drainTime is how long a worker serves after it has reported that it drains.
	drainTime = 9 * time.Second
	// beforeFault is how long the release lasts before the final fault, and recoverTime
	// is recover_s.
	beforeFault = 8 * time.Second
	downTime    = time.Second
	recoverTime = 12 * time.Second
	judgedTime  = 45 * time.Second
	// turnAwayDelay is when, after the restart, the store begins to turn the machines of a
	// zone away, and turnAwayTime for how long.
	turnAwayDelay = 1500 * time.Millisecond
	turnAwayTime  = 7 * time.Second
)

// A tally counts the jobs that were sent in a part of the day, and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

// release replaces the workers of a zone, one after the other, while all instances are
// killed and started again. It checks that a quarter of the jobs is served that are sent
// later than recover_s after the processes are back.
func release(env environment) result {
	d, err := newDeployment(deploymentConfig{
		program: env.program, directory: env.root, temporary: env.temporary, zones: []string{"zone-a", "zone-b", "zone-c"},
		instances: 3, workers: 16, cpuShare: 0.4, rec: env.rec,
		runTime: func(string) time.Duration { return 200 * time.Millisecond },
	})
	defer d.end()
	if err != nil {
		return result{err: err}
	}
	time.Sleep(2 * time.Second)
	var before, after tally
	traffic := newTraffic(env, d)
	traffic.count(&before)
	time.Sleep(2 * time.Second)
	if env.trouble {
		go d.replaceWorkers("zone-a")
		time.Sleep(beforeFault)
		env.rec.note("all processes are killed")
		traffic.count(nil)
		for _, i := range d.instances {
			i.kill()
		}
		time.Sleep(downTime)
		if err := d.restart(); err != nil {
			return result{err: err}
		}
		go d.turnAway("zone-a")
	} else {
		time.Sleep(beforeFault)
		traffic.count(nil)
	}
	time.Sleep(recoverTime)
	env.rec.note("from now on the jobs count")
	traffic.count(&after)
	time.Sleep(judgedTime)
	traffic.end()
	env.rec.note("before: %d of %d served; after: %d of %d served", before.served, before.sent, after.served, after.sent)
	if os.Getenv("REVIEW_LOG") != "" {
		d.decisions("event=zone-leadership", "event=worker-unlisted")
	}
	env.rec.note("tasks with two runs at once: %d", len(d.journal.doubled))
	for _, i := range d.instances {
		env.rec.note("%s has begun to lead a zone %d times", i.name, i.count("event=zone-leadership-started"))
	}
	switch {
	case 4*before.served < before.sent:
		return result{err: fmt.Errorf("before the fault %d of %d were served", before.served, before.sent)}
	case 4*after.served < after.sent:
		return result{broken: []string{fmt.Sprintf("%d of %d jobs served", after.served, after.sent)}}
	default:
		return result{}
	}
}

// restart starts all instances at the same time.
func (d *deployment) restart() error {
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// replaceWorkers replaces all workers of a zone: a new one starts, then an old one drains.
func (d *deployment) replaceWorkers(zone string) {
	for n, old := range d.workersOf(zone) {
		if n > 0 && n%releases == 0 {
			time.Sleep(releaseGap)
		}
		if _, err := d.addWorker(zone, "n-"+old.id, old.rack); err != nil {
			d.cfg.rec.note("no new worker: %v", err)
			return
		}
		d.drain(old, drainTime+time.Duration(rand.Int63n(int64(heartbeat))))
	}
}

// turnAway makes the store refuse the requests of a zone's instances for a time.
func (d *deployment) turnAway(zone string) {
	time.Sleep(turnAwayDelay)
	d.cfg.rec.note("the store turns %s away", zone)
	for _, i := range d.of(zone) {
		i.turnedAway.Store(true)
	}
	time.Sleep(turnAwayTime)
	d.cfg.rec.note("the store serves %s again", zone)
	for _, i := range d.of(zone) {
		i.turnedAway.Store(false)
	}
}

// traffic is the jobs of the clients of all zones but the first one.
type traffic struct {
	env  environment
	d    *deployment
	stop chan struct{}
	jobs sync.WaitGroup

	mu  sync.Mutex
	now *tally
}

func newTraffic(env environment, d *deployment) *traffic {
	t := &traffic{env: env, d: d, stop: make(chan struct{})}
	for z, zone := range d.cfg.zones[1:] {
		t.jobs.Go(func() {
			ticker := time.NewTicker(time.Second / jobsPerSecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ticker.C:
					t.jobs.Go(func() { t.job(zone, jobID(0x4000*(z+1)+n), n) })
				case <-t.stop:
					return
				}
			}
		})
	}
	return t
}

// count makes the jobs that are sent from now on count in a tally.
func (t *traffic) count(now *tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = now
}

// job sends a job to an instance of a zone, and sends it again once if it was not served.
func (t *traffic) job(zone, id string, n int) {
	t.mu.Lock()
	counted := t.now
	t.mu.Unlock()
	c := &client{rec: t.env.rec, deadline: 1500 * time.Millisecond}
	instances := t.d.of(zone)
	steps := []step{{Count: 2, CPU: taskMillicores, MemMb: 64, EstimatedMs: 200}}
	served := c.submit(instances[n%len(instances)], id, steps) == 200
	if !served {
		time.Sleep(resendAfter)
		served = c.submit(instances[(n+1)%len(instances)], id, steps) == 200
	}
	if counted == nil {
		return
	}
	counted.mu.Lock()
	defer counted.mu.Unlock()
	counted.sent++
	if served {
		counted.served++
	}
}

// end ends the traffic and waits for its last job.
func (t *traffic) end() {
	close(t.stop)
	t.jobs.Wait()
}
