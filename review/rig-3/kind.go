package main

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// crashed is the number of workers that crash: 0.125 of all. The time between two crashes
	// is crashEvery. The first worker is down for minDownTime, and each further one for
	// moreDownTime longer.
	crashed      = 6
	crashEvery   = 430 * time.Millisecond
	minDownTime  = 2 * time.Second
	moreDownTime = 300 * time.Millisecond
)

// incarnationOfAnotherKind lets workers of kind b crash, one after the other, and start again under
// the same IDs and at the same addresses as workers of kind a, while jobs arrive whose tasks
// require kind b. It does so in several rounds. Between two rounds the workers crash again, and
// become workers of kind b.
func incarnationOfAnotherKind(d *deployment, trouble bool) (bool, error) {
	const (
		rounds   = 3
		runTime  = 200 * time.Millisecond
		patience = 1500 * time.Millisecond
		// jobEvery is the time between two jobs of two tasks each.
		jobEvery = 25 * time.Millisecond
		// calm is the time with traffic before the crashes and after the last return.
		calm = 3 * time.Second
	)
	r := route{name: "r-thumb", host: "thumb.example", prefix: "/thumb/", service: service, timeout: patience}
	d.configure(1, []string{service}, []route{r})
	if err := d.addWorkers(service, workersPerZone); err != nil {
		return false, err
	}
	if err := d.startInstances(); err != nil {
		return false, err
	}
	ctx, stopTraffic := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for n := 0; ctx.Err() == nil; n++ {
			j := d.newJob(workload{millicores: editorTask, runTime: runTime}, step{Count: 2, Label: "b"})
			group.Add(1)
			go func() {
				defer group.Done()
				ctx, stop := context.WithTimeout(context.Background(), patience)
				defer stop()
				d.submit(ctx, d.instances[n%len(d.instances)], r, j, patience)
			}()
			time.Sleep(jobEvery)
		}
	}()
	time.Sleep(calm)
	if trouble {
		ids := d.workersOfKind("b")[:crashed]
		for range rounds {
			for _, kind := range []string{"a", "b"} {
				if err := d.restartAs(ids, kind); err != nil {
					stopTraffic()
					group.Wait()
					return false, err
				}
			}
		}
	}
	time.Sleep(calm)
	stopTraffic()
	group.Wait()
	starts := d.history.all()
	if len(starts) == 0 {
		return false, errors.New("no task was started")
	}
	broken := false
	for _, s := range starts {
		if s.worker.kind != "b" {
			broken = true
			d.record.note("broken  ROUTE: %s, which requires kind b, started on %v, %v after the worker's start", s.task, s.worker, s.at.Sub(s.born))
		}
	}
	return broken, nil
}

// workersOfKind returns the IDs of the workers of a kind, in order.
func (d *deployment) workersOfKind(kind string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, w := range d.workers {
		if w.cfg.kind == kind {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// restartAs lets workers crash, one after the other, and starts each again after some
// seconds as a worker of the given kind. It returns when all are back.
func (d *deployment) restartAs(ids []string, kind string) error {
	restarts, _ := errgroup.WithContext(context.Background())
	for n, id := range ids {
		restarts.Go(func() error {
			w := d.worker(id)
			d.record.note("worker  %v crashes", w.cfg)
			w.crash()
			time.Sleep(minDownTime + time.Duration(n)*moreDownTime)
			cfg := w.cfg
			cfg.kind = kind
			if err := d.addWorker(cfg); err != nil {
				return err
			}
			d.record.note("worker  %v is back and registered", cfg)
			return nil
		})
		time.Sleep(crashEvery)
	}
	return restarts.Wait()
}
