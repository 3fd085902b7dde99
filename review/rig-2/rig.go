// Command rig-2 runs the script cases of the second review: it starts instances of the product as
// processes of their own, and is itself the platform's store, its workers and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// need is what a task asks for.
type need struct {
	millicores, memory int
	label              string
}

// start is a run that a worker has begun.
type start struct {
	at       time.Time
	worker   *worker
	life     *life
	task     string
	number   int
	spec     string
	need     need
	used     int
	listedAt time.Time
}

// step is a step of a job, as the client sends it.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMb       int    `json:"mem_mb"`
	EstimatedMs int    `json:"estimated_ms"`
	DependsOn   []int  `json:"depends_on,omitempty"`
	Label       string `json:"required_label,omitempty"`

	lasts time.Duration
}

// job is a job of a client on one of the queues.
type job struct {
	id    string
	queue int
	steps []step
}

// instance is a process of the product.
type instance struct {
	name, zone, ip string
	// log is the file with the process's output.
	log     string
	command *exec.Cmd
	exited  chan struct{}
}

// rig is a small deployment.
type rig struct {
	dir     string
	network string
	port    int
	service string
	host    string
	zones   []string
	begun   time.Time

	store     *store
	servers   []*http.Server
	instances []*instance
	workers   []*worker

	mu       sync.Mutex
	record   *os.File
	jobs     map[string]job
	starts   []start
	onStart  func(start)
	onEnd    func(w *worker, task string, number int, how string)
	tableVer int
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *rig) noteLocked(format string, args ...any) {
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) needOf(task string) (need, time.Duration) {
	parts := strings.Split(task, ".")
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[parts[0]]
	var n int
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &n)
	}
	if !ok || n >= len(j.steps) {
		return need{}, 100 * time.Millisecond
	}
	s := j.steps[n]
	return need{s.CPU, s.MemMb, s.Label}, s.lasts
}

func (r *rig) started(s start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
	r.noteLocked("worker %s starts %s run %d", s.worker.id, s.task, s.number)
	if r.onStart != nil {
		r.onStart(s)
	}
}

func (r *rig) ended(w *worker, task string, number int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked("worker %s ends %s run %d %s", w.id, task, number, how)
	if r.onEnd != nil {
		r.onEnd(w, task, number, how)
	}
}

// newRig starts a store, workers of the given kinds (in turns over the zones) and instances, as
// many in each zone as perZone says. It writes the record to recordFile, and returns once all
// instances are ready.
func newRig(recordFile string, perZone []int, kinds []kind, guards bool) (*rig, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r := &rig{
		dir: temp, network: fmt.Sprintf("127.%d.%d", 30+pid%190, pid/190%250), service: "loan-desk",
		host:  "nony24.example",
		zones: []string{"gauteng-a", "gauteng-b", "gauteng-c"}, begun: time.Now(), store: newStore(),
		record: record, jobs: make(map[string]job), port: 21000 + pid%200*40,
	}
	r.endOnSignal()
	if err := r.listen(r.storeAddress(), r.store); err != nil {
		return r, err
	}
	r.configure(guards)
	for n, k := range kinds {
		w := &worker{
			rig: r, id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), address: fmt.Sprintf("%s.%d:%d", r.network, 100+n, r.port),
			zone: r.zones[n%len(r.zones)],
		}
		r.workers = append(r.workers, w)
		if err := w.begin(k); err != nil {
			return r, err
		}
	}
	for z, count := range perZone {
		for n := range count {
			if err := r.launch(z, n); err != nil {
				return r, err
			}
		}
	}
	for _, i := range r.instances {
		if err := r.awaitReady(i); err != nil {
			return r, err
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(time.Until(r.begun.Add(10 * time.Second)))
	r.note("all instances are ready")
	return r, nil
}

func (r *rig) storeAddress() string { return fmt.Sprintf("%s.250:%d", r.network, r.port) }

func (r *rig) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// queues is the number of queues, and urgent the only one with the highest priority. prefix returns
// the beginning of the paths of one.
const (
	queues = 8
	urgent = queues - 1
)

func prefix(queue int) string { return fmt.Sprintf("/lohu93%d/", queue) }

// configure writes the operator's configuration.
func (r *rig) configure(guards bool) {
	r.tableVer += 3
	var routes []map[string]any
	for n := range queues {
		priority := 2
		if n == urgent {
			priority = 0
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("lohu93%d", n), "host": r.host, "path_prefix": prefix(n), "service": r.service,
			"timeout_ms": 12000, "priority": priority, "max_attempts": 4, "stretch_factor": 1.6, "target_latency_ms": 60,
		})
	}
	body, err := json.Marshal(map[string]any{
		"version":  r.tableVer,
		"routes":   routes,
		"services": []map[string]any{{"name": r.service, "admission_control": guards}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	r.store.put("keyed.op", "config", body)
}

// launch starts the n-th instance of a zone.
func (r *rig) launch(z, n int) error {
	i := &instance{
		name: fmt.Sprintf("frontend-%s-%d", r.zones[z], n+1), zone: r.zones[z],
		ip: fmt.Sprintf("%s.%d", r.network, 10*(z+1)+n), exited: make(chan struct{}),
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", i.ip, r.port+port) }
	zones := map[string]string{}
	for _, zone := range r.zones {
		zones[zone] = "gauteng"
	}
	node, err := json.Marshal(map[string]any{
		"node_name": i.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"},
		"ip": i.ip, "zone": i.zone, "region": "gauteng", "zones": zones,
		"listen_addrs": map[string]string{"frontend": at(1), "ready": at(2), "control_plane": at(3)},
		"port_range":   []int{r.port + 10, r.port + 25}, "seeds": []string{}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"heartbeat_ms": heartbeatEvery.Milliseconds(), "discovery": "platform", "entry": "vip", "control_mode": "push",
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "hold_max_ms": 1000,
			"stop_ms": 50, "cancel_ms": 3000, "cross_rack_factor": 3, "fencing_enabled": true, "resend_ms": 1300,
		},
		"platform": map[string]any{"address": r.storeAddress(), "form": "log"},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, i.name+".json")
	if err := os.WriteFile(file, node, 0o600); err != nil {
		return err
	}
	if err := r.startProcess(i); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = append(r.instances, i)
	return nil
}

// startProcess starts the process of an instance.
func (r *rig) startProcess(i *instance) error {
	i.log = filepath.Join(r.dir, i.name+".log")
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	i.command = exec.Command("target/amaranthwell", "serve")
	i.command.Env = []string{"AMARANTHWELL_NODE_FILE=" + filepath.Join(r.dir, i.name+".json"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	i.command.Stdout, i.command.Stderr = out, out
	if err := i.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), i.command
	i.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// caller and ready return the addresses of an instance.
func (r *rig) caller(i *instance) string { return fmt.Sprintf("%s:%d", i.ip, r.port+1) }
func (r *rig) ready(i *instance) string  { return fmt.Sprintf("%s:%d", i.ip, r.port+2) }

func (r *rig) awaitReady(i *instance) error {
	for range 200 {
		if response, err := http.Get("http://" + r.ready(i) + "/readyz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-i.exited:
			return fmt.Errorf("%s has ended", i.name)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// endOnSignal ends all processes that the rig has started when this one is told to end.
func (r *rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		r.endInstances()
		os.Exit(statusNotRun)
	}()
}

func (r *rig) endInstances() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		_ = i.command.Process.Kill()
		<-i.exited
	}
}

// close ends all processes that the rig has started.
func (r *rig) close(keepLogs bool) {
	r.endInstances()
	for _, w := range r.workers {
		if w.life != nil && w.life.server != nil {
			_ = w.life.server.Close()
		}
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.record.Close()
	if keepLogs {
		fmt.Fprintln(os.Stderr, "logs:", r.dir)
	} else {
		_ = os.RemoveAll(r.dir)
	}
}

// request sends a request about a job and returns the status and the body. A status of 0 means
// that no response arrived.
func (r *rig) request(client *http.Client, method, address string, j job, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+prefix(j.queue)+j.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = r.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in at an instance and returns the final answer.
func (r *rig) submit(client *http.Client, i *instance, j job, wait time.Duration) (int, string) {
	return r.submitAt(client, r.caller(i), j, wait)
}

// submitAt hands a job in at an address and returns the final answer.
func (r *rig) submitAt(client *http.Client, address string, j job, wait time.Duration) (int, string) {
	r.mu.Lock()
	r.jobs[j.id] = j
	r.noteLocked("client sends POST %s to %s", j.id, address)
	r.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": "job " + j.id, "pipeline": j.steps, "best_effort": true})
	if err != nil {
		panic(err)
	}
	status, text := r.request(client, http.MethodPost, address, j, body, wait)
	r.note("client gets %d %s for POST %s", status, text, j.id)
	return status, text
}
