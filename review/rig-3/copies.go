//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// twoLateCopies submits jobs three times each: the connections of the first two requests break,
// and the third one is answered. Copies of the first two requests arrive seconds later, at
// instances of two availability zones.
func twoLateCopies(d *deployment, trouble bool) (bool, error) {
	const (
		// workers is the number of workers of a zone. With so many, each zone has a leader of
		// its own.
		workers  = 21
		jobs     = 10
		runTime  = 600 * time.Millisecond
		patience = 1500 * time.Millisecond
		// breakAfter is the time from a submission to the loss of the connection.
		breakAfter = 50 * time.Millisecond
		// copyAfter is the time from the answer to the first copy, and nextCopyAfter that to
		// the second one.
		copyAfter     = 6 * time.Second
		nextCopyAfter = 200 * time.Millisecond
		jobEvery      = 300 * time.Millisecond
	)
	r := route{name: "r-retouch", host: "retouch.example", prefix: "/retouch/", service: service, timeout: patience}
	d.configure(1, []string{service}, []route{r})
	if err := d.addWorkers(service, workers); err != nil {
		return false, err
	}
	if err := d.startInstances(); err != nil {
		return false, err
	}
	inZone := make(map[string][]*instance)
	for _, i := range d.instances {
		inZone[i.zone] = append(inZone[i.zone], i)
	}
	zoneA, zoneB := inZone[zones[0].name], inZone[zones[1].name]
	send := func(i *instance, j job, patience time.Duration) answer {
		ctx, stop := context.WithTimeout(context.Background(), patience)
		defer stop()
		return d.submit(ctx, i, r, j, r.timeout)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	broken, answered := false, 0
	for range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			j := d.newJob(workload{millicores: editorTask, runTime: runTime}, step{Count: 4})
			send(zoneA[0], j, breakAfter)
			time.Sleep(resendDelay)
			send(zoneA[1], j, breakAfter)
			time.Sleep(resendDelay)
			if a := send(zoneA[2], j, patience); a.status != http.StatusOK {
				return
			}
			var copies sync.WaitGroup
			if trouble {
				time.Sleep(copyAfter)
				copies.Go(func() { send(zoneA[1], j, patience) })
				time.Sleep(nextCopyAfter)
				copies.Go(func() { send(zoneB[0], j, patience) })
			}
			copies.Wait()
			mu.Lock()
			defer mu.Unlock()
			answered++
			broken = d.ranTwice(j) || broken
		}()
		time.Sleep(jobEvery)
	}
	group.Wait()
	if answered == 0 {
		return false, errors.New("no job was completed")
	}
	return broken, nil
}

// ranTwice reports, and records as a broken rule, whether two runs of a task of j went on at the
// same time.
func (d *deployment) ranTwice(j job) bool {
	broken := false
	runs := d.history.of(j.id)
	for n, a := range runs {
		for _, b := range runs[:n] {
			if a.task != b.task || (!b.ended.IsZero() && !a.at.Before(b.ended)) {
				continue
			}
			broken = true
			d.record.note("broken  TWICE: %s started on %s at %.3f, while it ran on %s", a.task, a.worker.id, a.at.Sub(d.record.start).Seconds(), b.worker.id)
		}
	}
	return broken
}
