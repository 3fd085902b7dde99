package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the pages, as the settings of the small deployment give them.
const (
	drainBound  = 2 * time.Second
	cancelBound = 3 * time.Second
)

// settled is how long after the first list of a new life's runs was answered a start on it counts:
// a start that was on its way then is not held against the sender.
const settled = 50 * time.Millisecond

var (
	kindA = kind{millicores: 64000, memory: 131072, labels: []string{"a", "r1-1"}, guards: true}
	kindB = kind{millicores: 96000, memory: 196608, labels: []string{"b", "r1-2"}, guards: true}
)

// perZone are the instances of a small site in its three zones.
var perZone = []int{3, 3, 2}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newClient returns a client that keeps connections to each instance.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// traffic hands jobs in at the given interval, at the instances in turn, until stop is closed. It
// returns once all are answered.
func (r *rig) traffic(every time.Duration, next func(n int) job, stop <-chan struct{}) map[int]int {
	client := newClient()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[int]int)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return answers
		case <-ticker.C:
			wg.Add(1)
			go func() {
				defer wg.Done()
				status, _ := r.submit(client, r.instances[n%len(r.instances)], next(n), 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				answers[status]++
			}()
		}
	}
}

// downTime is how long a crashed worker is down, and crashEvery the time between two crashes.
const (
	downTime   = 250 * time.Millisecond
	crashEvery = 3 * time.Second
)

// crashInTurns has workers crash and start again under their IDs, each four times, one at a time. In
// its next life a worker is of the kind next, in the one after that as before, and so on.
func (r *rig) crashInTurns(workers []*worker, next kind, trouble bool) error {
	before := kindB
	before.guards = next.guards
	for n := range 4 * len(workers) {
		time.Sleep(crashEvery - downTime)
		if trouble {
			workers[n/2%len(workers)].crash()
		}
		time.Sleep(downTime)
		if !trouble {
			continue
		}
		k := next
		if n%2 == 1 {
			k = before
		}
		if err := workers[n/2%len(workers)].begin(k); err != nil {
			return err
		}
	}
	time.Sleep(crashEvery)
	return nil
}

// whenListed says when s came, seen from the first list of runs of the worker's life, and whether
// it counts.
func (s start) whenListed() (string, bool) {
	if s.listedAt.IsZero() {
		return "before its life had listed its runs", false
	}
	after := s.at.Sub(s.listedAt)
	return fmt.Sprintf("%d ms after its life, born %d, had listed its runs for the first time", after.Milliseconds(), s.life.born.UnixMilli()), after > settled
}

// fleet returns the workers of a rig with four workers of kind B among others of kind A.
func fleet(guards bool) (kinds []kind, isB []int) {
	a, b := kindA, kindB
	a.guards, b.guards = guards, guards
	kinds, isB = slices.Repeat([]kind{a}, 12), []int{2, 3, 7, 10}
	for _, n := range isB {
		kinds[n] = b
	}
	return kinds, isB
}

func (r *rig) pick(numbers []int) []*worker {
	var picked []*worker
	for _, n := range numbers {
		picked = append(picked, r.workers[n])
	}
	return picked
}

// runKinds has workers crash and start again under their IDs as another kind, with other labels.
func runKinds(record string, trouble bool) (bool, error) {
	kinds, isB := fleet(true)
	r, err := newRig(record, perZone, kinds, true)
	if r != nil {
		defer func() { r.close(err != nil) }()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	answers := make(chan map[int]int, 1)
	go func() {
		answers <- r.traffic(25*time.Millisecond, func(n int) job {
			s := step{Count: 2, CPU: 27000, MemMb: 64, EstimatedMs: 200, lasts: 200 * time.Millisecond}
			if n%3 > 0 {
				s.Label = "b"
			}
			return job{id: newID(), steps: []step{s}}
		}, stop)
	}()
	if err = r.crashInTurns(r.pick(isB), kindA, trouble); err != nil {
		return false, err
	}
	close(stop)
	r.note("answers %v", <-answers)
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := 0
	for _, s := range r.starts {
		if s.need.label == "" || slices.Contains(s.life.kind.labels, s.need.label) {
			continue
		}
		when, counts := s.whenListed()
		if counts {
			broken++
		}
		r.noteLocked("ROUTE: %s, which needs label %q, starts on %s with labels %v, %d ms after its entry was stored, %s; counts=%t",
			s.task, s.need.label, s.worker.id, s.life.kind.labels, s.at.Sub(s.life.born).Milliseconds(), when, counts)
	}
	return r.verdict("ROUTE", broken, 500)
}

// runRoom has workers that don't guard their capacity crash and start again under their IDs as a
// smaller kind.
func runRoom(record string, trouble bool) (bool, error) {
	kinds, isB := fleet(false)
	r, err := newRig(record, perZone, kinds, false)
	if r != nil {
		defer func() { r.close(err != nil) }()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	answers := make(chan map[int]int, 1)
	go func() { answers <- r.traffic(15*time.Millisecond, r.plainJobs(2, 200*time.Millisecond), stop) }()
	if err = r.crashInTurns(r.pick(isB), kinds[0], trouble); err != nil {
		return false, err
	}
	close(stop)
	r.note("answers %v", <-answers)
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := 0
	for _, s := range r.starts {
		if s.used <= s.life.kind.millicores {
			continue
		}
		when, counts := s.whenListed()
		if counts {
			broken++
		}
		r.noteLocked("LIMIT: %s starts on %s, which then uses %d of %d thousandths of a core, %d ms after its entry was stored, %s; counts=%t",
			s.task, s.worker.id, s.used, s.life.kind.millicores, s.at.Sub(s.life.born).Milliseconds(), when, counts)
	}
	return r.verdict("LIMIT", broken, 500)
}

// verdict reports how many starts have broken a rule. The case could not run with fewer than least
// starts. The caller holds r.mu.
func (r *rig) verdict(rule string, broken, least int) (bool, error) {
	text := fmt.Sprintf("%d starts, %d break %s", len(r.starts), broken, rule)
	r.noteLocked("%s", text)
	fmt.Println(text)
	if len(r.starts) < least {
		return false, fmt.Errorf("only %d starts", len(r.starts))
	}
	return broken > 0, nil
}

// resendAfter is when clients send a job again that got no answer.
const resendAfter = 1300 * time.Millisecond

// platformAddress is the platform's address for the clients of one zone. It forwards the connections
// of a client to its home instance, and those of its retries to another one.
type platformAddress struct {
	listener net.Listener
	home     string
	// reset has a value for each connection that is to be reset.
	reset chan bool
}

func newPlatformAddress(address, home string) (*platformAddress, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platformAddress{listener: listener, home: home, reset: make(chan bool, 1)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			select {
			case <-p.reset:
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			default:
				go forward(c, home)
			}
		}
	}()
	return p, nil
}

// runCancel has a client cancel jobs, of which each is handed in on one connection and cancelled on
// another one. Of two jobs the connection with the DELETE is reset, and of the other two the one with
// the POST. The client sends such a request again.
func runCancel(record string, trouble bool) (bool, error) {
	r, err := newRig(record, perZone, slices.Repeat([]kind{kindA}, 12), true)
	if r != nil {
		defer func() { r.close(err != nil) }()
	}
	if err != nil {
		return false, err
	}
	home, other := r.instances[1], r.instances[2]
	platform, err := newPlatformAddress(fmt.Sprintf("%s.240:%d", r.network, r.port), r.caller(home))
	if err != nil {
		return false, err
	}
	defer platform.listener.Close()
	acked := make(map[string]time.Time)
	var wg sync.WaitGroup
	for n := range 4 {
		j := job{id: newID()}
		for n := range 14 {
			s := step{Count: 1, CPU: 27000, MemMb: 64, EstimatedMs: 450, lasts: 450 * time.Millisecond}
			if n > 0 {
				s.DependsOn = []int{n - 1}
			}
			j.steps = append(j.steps, s)
		}
		postLost := n >= 2
		if trouble && postLost {
			platform.reset <- true
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _ := r.submitAt(newClient(), platform.listener.Addr().String(), j, 12*time.Second)
			if status == 0 {
				time.Sleep(resendAfter)
				r.submit(newClient(), other, j, 12*time.Second)
			}
		}()
		time.Sleep(resendAfter + 700*time.Millisecond)
		if trouble && !postLost {
			platform.reset <- true
		}
		status, text := r.cancel(platform.listener.Addr().String(), home, j)
		if status == 0 {
			status, text = r.cancel(r.caller(other), other, j)
		}
		if status/100 != 2 && status != http.StatusGone {
			return false, fmt.Errorf("DELETE is answered %d %s", status, text)
		}
		acked[j.id] = time.Now()
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := make(map[string]bool)
	for _, s := range r.starts {
		id := s.task[:16]
		if after := s.at.Sub(acked[id]); after > cancelBound {
			broken[id] = true
			r.noteLocked("UNASKED: %s starts %d ms after the cancelling of its job was acknowledged", s.task, after.Milliseconds())
		}
	}
	text := fmt.Sprintf("%d jobs cancelled, %d break UNASKED", len(acked), len(broken))
	r.noteLocked("%s", text)
	fmt.Println(text)
	if len(r.starts) < len(acked) {
		return false, fmt.Errorf("only %d starts", len(r.starts))
	}
	return len(broken) > 0, nil
}

// cancel sends a DELETE to an address, where it reaches the instance i unless its connection is
// reset.
func (r *rig) cancel(address string, i *instance, j job) (int, string) {
	status, text := r.request(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodDelete, address, j, nil, time.Second)
	if status == 0 {
		r.note("client's connection with DELETE %s is reset: %s", j.id, text)
	} else {
		r.note("client gets %d %s for DELETE %s, which has reached %s", status, text, j.id, i.name)
	}
	return status, text
}

// forward connects a client with an instance.
func forward(client net.Conn, address string) {
	defer client.Close()
	instance, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer instance.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(instance, client)
	go pass(client, instance)
	<-done
}

// plainJobs returns jobs with the given number of tasks, each of which takes lasts.
func (r *rig) plainJobs(tasks int, lasts time.Duration) func(int) job {
	return func(int) job {
		s := step{Count: tasks, CPU: 27000, MemMb: 64, EstimatedMs: int(lasts.Milliseconds()), lasts: lasts}
		return job{id: newID(), steps: []step{s}}
	}
}

// runEntry has another writer write an entry without some fields under the ID of a worker. Its
// address is that of another worker.
func runEntry(record string, trouble bool) (bool, error) {
	r, err := newRig(record, perZone, slices.Repeat([]kind{kindA}, 12), true)
	if r != nil {
		defer func() { r.close(err != nil) }()
	}
	if err != nil {
		return false, err
	}
	broken := 0
	running := make(map[string][]string)
	r.mu.Lock()
	r.onStart = func(s start) {
		if others := running[s.task]; len(others) > 0 {
			broken++
			r.noteLocked("TWICE: %s starts on %s while it runs on %v", s.task, s.worker.id, others)
		}
		running[s.task] = append(running[s.task], s.worker.id)
	}
	r.onEnd = func(w *worker, task string, _ int, _ string) {
		running[task] = slices.DeleteFunc(running[task], func(id string) bool { return id == w.id })
	}
	r.mu.Unlock()
	stop := make(chan struct{})
	answers := make(chan map[int]int, 1)
	go func() { answers <- r.traffic(80*time.Millisecond, r.plainJobs(2, 700*time.Millisecond), stop) }()
	time.Sleep(3 * time.Second)
	for n := range 4 {
		w, other := r.workers[n], r.workers[n+4]
		if trouble {
			r.putForeign(w, other.address)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	r.note("answers %v", <-answers)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict("TWICE", broken, 200)
}

// putForeign writes an entry under the ID of w as another writer: the fields labels, slots,
// version, sequence, cold_remaining_ms and born are missing.
func (r *rig) putForeign(w *worker, address string) {
	body, err := json.Marshal(map[string]any{
		"service": r.service, "address": address, "zone": w.zone, "state": "ready",
		"capacity": map[string]int{"cpu": kindA.millicores, "mem_mb": kindA.memory},
	})
	if err != nil {
		panic(err)
	}
	r.store.put("keyed.servers", w.id, body)
	r.note("another writer writes %s under the ID of %s", body, w.id)
}

// runGarbled has another writer write bytes that can't be read under the ID of a worker that is
// draining, after each of the worker's own entries.
func runGarbled(record string, trouble bool) (bool, error) {
	r, err := newRig(record, perZone, slices.Repeat([]kind{kindA}, 12), true)
	if r != nil {
		defer func() { r.close(err != nil) }()
	}
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	answers := make(chan map[int]int, 1)
	go func() { answers <- r.traffic(25*time.Millisecond, r.plainJobs(2, 200*time.Millisecond), stop) }()
	time.Sleep(2 * time.Second)
	drained := make(map[string]time.Time)
	for n := range 3 {
		w := r.workers[n]
		if trouble {
			r.setAccepted(func(topic, key string, value []byte) {
				if topic == "keyed.servers" && key == w.id && len(value) > 2 {
					time.AfterFunc(10*time.Millisecond, func() {
						r.store.put("keyed.servers", w.id, []byte{0xff, 0xfe})
						r.note("another writer writes two bytes that can't be read under the ID of %s", w.id)
					})
				}
			})
		}
		drained[w.id] = w.drain()
		time.Sleep(6 * time.Second)
		r.setAccepted(nil)
		w.leave()
		time.Sleep(time.Second)
	}
	close(stop)
	r.note("answers %v", <-answers)
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := 0
	for _, s := range r.starts {
		if at, ok := drained[s.worker.id]; ok && s.at.Sub(at) > drainBound {
			broken++
			r.noteLocked("DRAIN: %s starts on %s %d ms after the store accepted that it is draining", s.task, s.worker.id, s.at.Sub(at).Milliseconds())
		}
	}
	return r.verdict("DRAIN", broken, 500)
}

// setAccepted sets what is called with each record that the store has accepted.
func (r *rig) setAccepted(f func(topic, key string, value []byte)) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.accepted = f
}
