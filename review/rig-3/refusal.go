//go:build review

package main

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request.
type kind struct {
	route route
	// perSecond is the mean number of jobs a second, and tasks the number of tasks of each.
	perSecond float64
	tasks     int
	// load is what the tasks of a job of mean work need.
	load workload
}

// request is a request of a kind, and whether it was served.
type request struct {
	kind   string
	sent   time.Time
	served bool
}

// traffic sends jobs of several kinds, each on a new connection to an instance of its choice.
type traffic struct {
	d *deployment

	mu       sync.Mutex
	rng      *rand.Rand
	bursts   []burst
	requests []request
	group    sync.WaitGroup
}

// float returns a random number in [0, 1), and normal one of the normal distribution.
func (t *traffic) float() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

func (t *traffic) normal() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.NormFloat64()
}

// A burst multiplies the requests of a kind by factor between from and to.
type burst struct {
	kind     string
	from, to time.Time
	factor   float64
}

// maxFactor is the largest factor of a burst.
const maxFactor = 1.9

// factor returns by how much the requests of a kind are multiplied at now.
func (t *traffic) factor(now time.Time, kind string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.bursts {
		if b.kind == kind && !now.Before(b.from) && now.Before(b.to) {
			return b.factor
		}
	}
	return 1
}

// addBurst adds a burst that begins at from and lasts for length.
func (t *traffic) addBurst(kind string, from time.Time, length time.Duration, factor float64) {
	t.d.record.note("burst   of %s, %v times as many, from %.1f s on, for %v", kind, factor, from.Sub(t.d.record.start).Seconds(), length)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bursts = append(t.bursts, burst{kind: kind, from: from, to: from.Add(length), factor: factor})
}

// run sends jobs of kind k until ctx ends.
func (t *traffic) run(ctx context.Context, k kind) {
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		for ctx.Err() == nil {
			wait := -math.Log(1-t.float()) / (k.perSecond * maxFactor)
			time.Sleep(time.Duration(wait * float64(time.Second)))
			if t.float()*maxFactor > t.factor(time.Now(), k.route.name) {
				continue
			}
			t.group.Add(1)
			go func() {
				defer t.group.Done()
				t.send(k)
			}()
		}
	}()
}

// Figures of the site: workSpread is the deviation of the logarithm of a job's work, and
// estimateError that of the estimate.
const (
	workSpread    = 0.4
	estimateError = 0.4
	// unevenness is the deviation of the logarithm of the run times of the tasks of a job.
	unevenness = 0.15
	// summaryTime is the time over which the record sums up what was served.
	summaryTime = 2 * time.Second
)

func (t *traffic) send(k kind) {
	load := k.load
	load.runTime = time.Duration(float64(load.runTime) * math.Exp(workSpread*t.normal()-workSpread*workSpread/2))
	estimate := float64(load.runTime.Milliseconds()) * (1 + estimateError*(2*t.float()-1))
	j := t.d.newJob(load, step{Count: k.tasks, EstimatedMs: int64(estimate) + 1})
	i := t.d.instances[int(t.float()*float64(len(t.d.instances)))]
	ctx, stop := context.WithTimeout(context.Background(), k.route.timeout)
	defer stop()
	a := t.d.submit(ctx, i, k.route, j, k.route.timeout)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, request{
		kind: k.route.name, sent: a.sent, served: a.status == http.StatusOK && strings.Contains(a.body, "completed"),
	})
}

// served returns the number of requests that were sent between from and to, and how many of
// them were served.
func (t *traffic) served(name string, from, to time.Time) (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if (name != "" && r.kind != name) || r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, served
}

// kindRefusedAfterRecovery kills all processes, as at the end of a day. After they are back,
// callers of two kinds of request pause for some seconds, while many users of the third kind
// come at once.
func kindRefusedAfterRecovery(d *deployment, trouble bool) (bool, error) {
	const (
		patience = 1500 * time.Millisecond
		// before is the time with traffic before the final fault, downTime that until the
		// processes are started again, and after that for which the requests count.
		before   = 10 * time.Second
		downTime = time.Second
		after    = 48 * time.Second
		// recoverBound is recover_s.
		recoverBound = 12 * time.Second
		// The bursts begin burstAfter after the start of the processes, and follow each
		// other. The pause begins pauseAfter after the start.
		burstAfter = 500 * time.Millisecond
		burstTime  = 3800 * time.Millisecond
		bursts     = 3
		pauseAfter = 1200 * time.Millisecond
		pauseTime  = 18 * time.Second
		// pauseFactor is the factor of the requests during the pause.
		pauseFactor = 0.001
		workers     = 4
	)
	urgent := kind{
		route:     route{name: "r-preview", host: "editor.example", prefix: "/preview/", service: service, timeout: patience},
		perSecond: 9, tasks: 8, load: workload{millicores: editorTask, runTime: 60 * time.Millisecond, uneven: unevenness},
	}
	others := []kind{{
		route:     route{name: "r-thumb", host: "editor.example", prefix: "/thumb/", service: service, timeout: patience, urgency: 1},
		perSecond: 45, tasks: 2, load: workload{millicores: editorTask, runTime: 100 * time.Millisecond, uneven: unevenness},
	}, {
		route:     route{name: "r-retouch", host: "editor.example", prefix: "/retouch/", service: service, timeout: patience, urgency: 2},
		perSecond: 2, tasks: 4, load: workload{millicores: editorTask, runTime: 900 * time.Millisecond, uneven: unevenness},
	}}
	routes := []route{urgent.route}
	for _, k := range others {
		routes = append(routes, k.route)
	}
	d.configure(1, []string{service}, routes)
	if err := d.addWorkers(service, workers); err != nil {
		return false, err
	}
	if err := d.startInstances(); err != nil {
		return false, err
	}
	t := &traffic{d: d, rng: rand.New(rand.NewPCG(1, 0))}
	ctx, stop := context.WithCancel(context.Background())
	defer t.group.Wait()
	defer stop()
	start := time.Now()
	for _, k := range append([]kind{urgent}, others...) {
		t.run(ctx, k)
	}
	time.Sleep(before)
	fault := time.Now()
	if err := d.killAll(downTime); err != nil {
		return false, err
	}
	back := time.Now()
	if trouble {
		for n := range bursts {
			t.addBurst(urgent.route.name, back.Add(burstAfter+time.Duration(n)*burstTime), burstTime, maxFactor)
		}
		for _, k := range others {
			t.addBurst(k.route.name, back.Add(pauseAfter), pauseTime, pauseFactor)
		}
	}
	time.Sleep(recoverBound + after)
	end := time.Now()
	stop()
	t.group.Wait()
	for at := start; at.Before(end); at = at.Add(summaryTime) {
		for _, r := range routes {
			sent, served := t.served(r.name, at, at.Add(summaryTime))
			d.record.note("served  %s sent from %.0f s on, for %v: %d of %d", r.name, at.Sub(d.record.start).Seconds(), summaryTime, served, sent)
		}
	}
	sentBefore, servedBefore := t.served("", start, fault)
	sent, served := t.served("", back.Add(recoverBound), end)
	d.record.note("served  before the final fault: %d of %d; later than recover_s after the machines were back: %d of %d", servedBefore, sentBefore, served, sent)
	if sent == 0 || servedBefore*4 < sentBefore {
		return false, errors.New("too little was served before the final fault")
	}
	if served*4 >= sent {
		return false, nil
	}
	d.record.note("broken  RECOVER: less than a quarter was served")
	return true, nil
}
