package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// cutAfter is the time from the start of a job's first task until its worker is cut off, and cutTime
// how long that lasts.
const (
	cutAfter = 30 * time.Millisecond
	cutTime  = 5050 * time.Millisecond
)

// zonedWorkers is a number of workers for which each of three zones has a leader of its own.
const zonedWorkers = 63

// runEnded has a worker cut off that ends the first task of a job and can't say so. The client gets
// 504 and sends the job again, to another zone.
func runEnded(record string, trouble bool) (bool, error) {
	r, err := newRig(record, []int{3, 3, 3}, slices.Repeat([]kind{kindA}, zonedWorkers), true)
	if r != nil {
		defer func() { r.close(err != nil) }()
	}
	if err != nil {
		return false, err
	}
	broken := 0
	running := make(map[string][]string)
	first := make(map[string]chan *worker)
	r.mu.Lock()
	r.onStart = func(s start) {
		if others := running[s.task]; len(others) > 0 {
			broken++
			r.noteLocked("TWICE: %s starts on %s of %s while it runs on %v", s.task, s.worker.id, s.worker.zone, others)
		}
		running[s.task] = append(running[s.task], s.worker.id)
		if c := first[s.task]; c != nil {
			delete(first, s.task)
			c <- s.worker
		}
	}
	r.onEnd = func(w *worker, task string, _ int, _ string) {
		running[task] = slices.DeleteFunc(running[task], func(id string) bool { return id == w.id })
	}
	r.mu.Unlock()
	const rounds = 6
	var answers []string
	for round := range rounds {
		long := job{id: newID(), queue: round, steps: []step{
			{Count: 1, CPU: 27000, MemMb: 64, EstimatedMs: 450, lasts: 900 * time.Millisecond},
			{Count: 1, CPU: 27000, MemMb: 64, EstimatedMs: 820, DependsOn: []int{0}, lasts: 2400 * time.Millisecond},
		}}
		c := make(chan *worker, 1)
		r.mu.Lock()
		first[long.id+".0.0.0"] = c
		r.mu.Unlock()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			status, text := r.submit(client, r.instances[2], long, 9*time.Second)
			if status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
				time.Sleep(resendAfter)
				status, text = r.submit(client, r.instances[4], long, 9*time.Second)
			}
			answers = append(answers, fmt.Sprint(status, " ", text))
		}()
		w := <-c
		if trouble {
			time.Sleep(cutAfter)
			w.cut(cutTime)
		}
		<-answered
		time.Sleep(500 * time.Millisecond)
	}
	r.note("answers %s", strings.Join(answers, ", "))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict("TWICE", broken, 2*rounds)
}
