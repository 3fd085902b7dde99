//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"
)

// configBound is config_apply_ms: a request that is sent later than that after the
// acknowledgement of a version is to be handled as that version says.
const configBound = 2 * time.Second

// jobResumedOnOldService changes the service of a route while a job of the route is going on. The
// instance at which the job's caller waits then freezes. The caller leaves, and submits the job
// again at another instance.
func jobResumedOnOldService(d *deployment, trouble bool) (bool, error) {
	const (
		runTime  = 600 * time.Millisecond
		steps    = 8
		patience = 9 * time.Second
		// changeAfter is the time from the submission to the change of the configuration,
		// freezeAfter that from the change to the freeze, and leaveAfter that from the
		// freeze until the caller leaves.
		changeAfter = 300 * time.Millisecond
		freezeAfter = 700 * time.Millisecond
		leaveAfter  = 500 * time.Millisecond
		// freezeTime is for how long the instance stands still.
		freezeTime = 4 * time.Second
	)
	const oldService, newService = "editor", "studio"
	r := route{name: "r-retouch", host: "retouch.example", prefix: "/retouch/", service: oldService, timeout: patience}
	services := []string{oldService, newService}
	d.configure(1, services, []route{r})
	for _, s := range services {
		if err := d.addWorkers(s, workersPerZone/2); err != nil {
			return false, err
		}
	}
	if err := d.startInstances(); err != nil {
		return false, err
	}
	home := d.follower()
	other := d.follower(home)
	if home == nil || other == nil {
		return false, errors.New("no two instances without leadership")
	}
	j := d.newJob(workload{millicores: editorTask, runTime: runTime}, chain(steps)...)
	waiting, leave := context.WithCancel(context.Background())
	first := make(chan answer, 1)
	go func() { first <- d.submit(waiting, home, r, j, patience) }()
	time.Sleep(changeAfter)
	changed := r
	changed.service = newService
	acknowledged := d.configure(2, services, []route{changed})
	time.Sleep(freezeAfter)
	if trouble {
		d.signal(home, syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { d.signal(home, syscall.SIGCONT) })
	}
	time.Sleep(leaveAfter)
	leave()
	<-first
	time.Sleep(resendDelay)
	// A job that was never submitted before shows that the new version is in force.
	fresh := d.newJob(workload{millicores: editorTask, runTime: runTime}, step{Count: 1})
	probe := make(chan answer, 1)
	go func() { probe <- d.submit(context.Background(), other, r, fresh, patience) }()
	again := d.submit(context.Background(), other, r, j, patience)
	probed := <-probe
	switch {
	case probed.status != http.StatusOK || again.status != http.StatusOK:
		return false, errors.New("a job was not served")
	case again.sent.Sub(acknowledged) <= configBound:
		return false, errors.New("the job was submitted again too early")
	}
	broken := d.ranOn(fresh, probed.sent, oldService)
	return d.ranOn(j, again.sent, oldService) || broken, nil
}

// ranOn reports, and records as a broken rule, whether tasks of j were started after sent on
// workers of a service.
func (d *deployment) ranOn(j job, sent time.Time, service string) bool {
	broken := false
	for _, s := range d.startsAfter(j, sent) {
		if s.worker.service == service {
			broken = true
			d.record.note("broken  CONFIG: %s of a request sent at %.3f started on %v", s.task, sent.Sub(d.record.start).Seconds(), s.worker)
		}
	}
	return broken
}
