//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// cancelBound is cancel_ms: later than that after the acknowledgement of its cancelling
	// no task of a job may be started.
	cancelBound = 3 * time.Second
	// resendDelay is resend_ms: a caller without an answer submits its job again after it.
	resendDelay = 1300 * time.Millisecond
	// editorTask is the processors that a task of the site's jobs needs, on average.
	editorTask = 6800
)

// service is the service of the workers, and workersPerZone their number in a zone.
const (
	service        = "editor"
	workersPerZone = 16
)

// addWorkers starts the workers of a service in all zones, of the kinds and speeds of the site.
func (d *deployment) addWorkers(service string, perZone int) error {
	kinds, speeds := []string{"a", "a", "b"}, []float64{0.55, 1.2, 1.2, 1.2}
	for z, zone := range zones {
		for n := range perZone {
			cfg := workerConfig{
				id: "i-" + service + "-" + zone.name + "-" + string(rune('a'+n)), service: service, zone: zone.name,
				kind: kinds[n%len(kinds)], rack: "r" + string(rune('1'+z)) + "-" + string(rune('1'+n/8)), millicores: 16000,
				speed: speeds[n%len(speeds)],
			}
			if err := d.addWorker(cfg); err != nil {
				return err
			}
		}
	}
	return nil
}

// startsAfter returns the starts of tasks of j after at.
func (d *deployment) startsAfter(j job, at time.Time) []startEvent {
	var late []startEvent
	for _, s := range d.history.of(j.id) {
		if s.at.After(at) {
			late = append(late, s)
		}
	}
	return late
}

// lateCopyOfCancelledJob cancels jobs, and later lets a copy of the request that submitted each
// of them arrive at another instance.
func lateCopyOfCancelledJob(d *deployment, trouble bool) (bool, error) {
	const (
		jobs = 10
		// runTime is the run time of a task, and cancelAfter the time from the submission
		// to the cancelling.
		runTime     = 900 * time.Millisecond
		cancelAfter = 300 * time.Millisecond
		patience    = 1500 * time.Millisecond
		// copyAfter is the time from the acknowledgement to the late copy.
		copyAfter = 4 * time.Second
	)
	r := route{name: "r-retouch", host: "retouch.example", prefix: "/retouch/", service: service, timeout: patience}
	d.configure(1, []string{service}, []route{r})
	if err := d.addWorkers(service, workersPerZone); err != nil {
		return false, err
	}
	if err := d.startInstances(); err != nil {
		return false, err
	}
	first, second := d.instances[0], d.instances[1]
	var group sync.WaitGroup
	var mu sync.Mutex
	broken, cancelled := false, 0
	for range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			j := d.newJob(workload{millicores: editorTask, runTime: runTime}, step{Count: 4})
			submitted := make(chan answer, 1)
			go func() { submitted <- d.submit(context.Background(), first, r, j, patience) }()
			time.Sleep(cancelAfter)
			ack := d.cancel(first, r, j)
			original := <-submitted
			if ack.status != http.StatusOK || original.status != http.StatusOK {
				return
			}
			if trouble {
				time.Sleep(copyAfter)
				ctx, stop := context.WithTimeout(context.Background(), patience)
				defer stop()
				d.submit(ctx, second, r, j, patience)
			} else {
				time.Sleep(copyAfter + patience)
			}
			late := d.startsAfter(j, ack.received.Add(cancelBound))
			mu.Lock()
			defer mu.Unlock()
			cancelled++
			for _, s := range late {
				broken = true
				d.record.note("broken  UNASKED: %s started %v after the cancelling of its job was acknowledged", s.task, s.at.Sub(ack.received))
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	if cancelled == 0 {
		return false, errors.New("no cancelling was acknowledged with 200")
	}
	return broken, nil
}
