package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// servicePool, routeHost and routePrefix are the names of the only service and route.
	servicePool = "editor"
	routeHost   = "jobs.example"
	routePrefix = "/retouch/"
	// taskMillicores is what each task needs.
	taskMillicores = 4000
	// heartbeat is heartbeat_ms, the time between two writes of a worker's entry.
	heartbeat = 1500 * time.Millisecond
	// startTimeout bounds the start of all processes.
	startTimeout = 20 * time.Second
)

// A deploymentConfig describes a deployment on loopback addresses.
type deploymentConfig struct {
	// program is the command of the deploy file, and directory where it runs.
	program   []string
	directory string
	// temporary holds the settings files and the logs.
	temporary string
	zones     []string
	// instances is the number of instances in each zone, workers that of workers.
	instances, workers int
	cpuShare           float64
	runTime            func(task string) time.Duration
	// proxied is set if the instances reach each other through proxies.
	proxied bool
	// late says which commands the workers leave unanswered. It may be nil.
	late func(path, task string) (time.Duration, bool)
	rec  *recorder
}

// A deployment is the store, the workers and the instances of the system.
type deployment struct {
	cfg       deploymentConfig
	network   int
	store     *store
	journal   *runJournal
	instances []*instance
	stop      chan struct{}

	mu      sync.Mutex
	workers []*worker
	servers []*http.Server
}

// An instance is one process of the system on a machine of its own.
type instance struct {
	name, zone, ip string
	callers, ready string
	metrics        string
	settings       string
	// peers is the proxy through which other instances reach this one, or nil.
	peers *proxy
	// peerListen is the address on which the process listens for its peers then.
	peerListen string
	// turnedAway is set while the store refuses the requests of this instance.
	turnedAway atomic.Bool
	cfg        deploymentConfig
	logs       *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// newDeployment starts the store, the workers and the instances, and waits until all
// instances are ready.
func newDeployment(cfg deploymentConfig) (*deployment, error) {
	d := &deployment{cfg: cfg, network: 1 + os.Getpid()%200, store: newStore(), journal: newRunJournal(cfg.rec), stop: make(chan struct{})}
	d.endOnSignal()
	d.store.put("keyed.op", "config", d.configuration())
	for z, zone := range cfg.zones {
		for n := range cfg.workers {
			if _, err := d.addWorker(zone, fmt.Sprintf("w-%s-%d", zone, n), fmt.Sprintf("r%d-%d", z+1, n/8)); err != nil {
				return d, err
			}
		}
	}
	for z, zone := range cfg.zones {
		for n := range cfg.instances {
			i, err := d.newInstance(zone, z, n)
			if err != nil {
				return d, err
			}
			d.instances = append(d.instances, i)
		}
	}
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

// serve serves handler on a free port of the loopback address.
func (d *deployment) serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

// addWorker starts a worker, which writes its entry every heartbeat_ms.
func (d *deployment) addWorker(zone, id, rack string) (*worker, error) {
	w := newWorker(id, zone, rack, 16000, d.cfg.runTime, d.journal)
	w.late = d.cfg.late
	server, address, err := d.serve(w)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		state := "ready"
		for sequence := 1; ; sequence++ {
			d.store.put("keyed.servers", w.id, w.entry(servicePool, address, state, sequence))
			select {
			case <-ticker.C:
			case <-w.draining:
				state = "draining"
				w.draining = nil
			case <-w.leaving:
				d.store.put("keyed.servers", w.id, nil)
				_ = server.Close()
				return
			case <-d.stop:
				return
			}
		}
	}()
	return w, nil
}

// drain makes a worker leave: it reports that it drains, and exits after a time.
func (d *deployment) drain(w *worker, after time.Duration) {
	close(w.draining)
	time.AfterFunc(after, func() { close(w.leaving) })
}

// silent returns the worker that last left a command of a job unanswered.
func (d *deployment) silent(job string) *worker {
	for _, zone := range d.cfg.zones {
		for _, w := range d.workersOf(zone) {
			if task, ok := w.lateTask.Load().(string); ok && jobOf(task) == job {
				return w
			}
		}
	}
	return nil
}

// workersOf returns the workers of a zone.
func (d *deployment) workersOf(zone string) []*worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*worker
	for _, w := range d.workers {
		if w.zone == zone {
			all = append(all, w)
		}
	}
	return all
}

func (d *deployment) configuration() []byte {
	body, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "retouch", "host": routeHost, "path_prefix": routePrefix, "service": servicePool, "timeout_ms": 20000,
			"priority": 1, "max_attempts": 3, "stretch_factor": 1.6, "target_latency_ms": 60,
		}},
		"services": []any{map[string]any{"name": servicePool, "admission_control": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// newInstance writes the settings of the n-th instance of a zone.
func (d *deployment) newInstance(zone string, z, n int) (*instance, error) {
	i := &instance{
		name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", d.network, z+1, n+1), cfg: d.cfg,
	}
	// The addresses of this network belong to this deployment, but for a collision
	// with another run: then the port is taken and the next one is tried.
	port := 7000
	for ; port < 7900; port += 10 {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", i.ip, port))
		if err == nil {
			_ = listener.Close()
			break
		}
	}
	// Each instance has an address of its own for the store, which can turn it away.
	_, storeAt, err := d.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.store.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, err
	}
	i.callers, i.ready = fmt.Sprintf("%s:%d", i.ip, port+2), fmt.Sprintf("%s:%d", i.ip, port+3)
	i.metrics = fmt.Sprintf("%s:%d", i.ip, port+1)
	if d.cfg.proxied {
		i.peerListen = fmt.Sprintf("%s:%d", i.ip, port+4)
		if i.peers, err = newProxy(fmt.Sprintf("%s:%d", i.ip, port), i.peerListen); err != nil {
			return nil, err
		}
	}
	zones := make(map[string]string)
	for _, name := range d.cfg.zones {
		zones[name] = "region"
	}
	settings, err := json.MarshalIndent(map[string]any{
		"node_name": i.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"}, "ip": i.ip,
		"zone": zone, "region": "region", "zones": zones,
		"listen_addrs": map[string]string{"frontend": i.callers, "ready": i.ready},
		"port_range":   []int{port, port + 1}, "seeds": []string{}, "bootstrap": true, "fault_counted": true,
		"limits":   map[string]any{"cpu_share": d.cfg.cpuShare, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "hold_max_ms": 1000, "stop_ms": 50, "cancel_ms": 3000,
			"recover_s": 12, "fencing_enabled": true, "resend_ms": resendAfter.Milliseconds(),
		},
		"control_mode": "push",
		"platform": map[string]any{
			"address": storeAt, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 32, "append_ms": 2.0,
			"partition_bw_s": 20.0, "read_bw_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	i.settings = filepath.Join(d.cfg.temporary, i.name+".json")
	if err := os.WriteFile(i.settings, settings, 0o600); err != nil {
		return nil, err
	}
	i.logs, err = os.Create(filepath.Join(d.cfg.temporary, i.name+".log"))
	return i, err
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	arguments := i.cfg.program[1:]
	if i.peers != nil {
		arguments = append(slices.Clone(arguments), "--peer-listen", i.peerListen)
	}
	i.cmd = exec.Command(i.cfg.program[0], arguments...)
	i.cmd.Dir = i.cfg.directory
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHWELL_NODE_FILE=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = i.logs, i.logs
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.cfg.rec.note("%s starts, process %d", i.name, i.cmd.Process.Pid)
	return nil
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	_ = i.cmd.Process.Signal(syscall.SIGKILL)
	_ = i.cmd.Wait()
	i.cmd = nil
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// isReady makes the load balancer's health check.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leads reports whether the instance leads a zone, by its metrics.
func (i *instance) leads() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "amaranthwell_zone_leading "); ok {
			n, err := strconv.ParseFloat(value, 64)
			return err == nil && n > 0
		}
	}
	return false
}

// leaders returns the instances that lead a zone.
func (d *deployment) leaders() []*instance {
	var leaders []*instance
	for _, i := range d.instances {
		if i.leads() {
			leaders = append(leaders, i)
		}
	}
	return leaders
}

// of returns the instances of a zone.
func (d *deployment) of(zone string) []*instance {
	var all []*instance
	for _, i := range d.instances {
		if i.zone == zone {
			all = append(all, i)
		}
	}
	return all
}

// endOnSignal ends all processes when this one is to end.
func (d *deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.end()
		os.Exit(2)
	}()
}

// end ends all processes and stand-ins.
func (d *deployment) end() {
	close(d.stop)
	for _, i := range d.instances {
		i.kill()
		_ = i.logs.Close()
		if i.peers != nil {
			i.peers.close()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// count returns the number of lines of the instance's log that contain a word.
func (i *instance) count(word string) int {
	text, err := os.ReadFile(i.logs.Name())
	if err != nil {
		return -1
	}
	return bytes.Count(text, []byte(word))
}

// decisions writes those lines of the instances' logs to the record that contain one of
// the words.
func (d *deployment) decisions(words ...string) {
	for _, i := range d.instances {
		text, err := os.ReadFile(i.logs.Name())
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			for _, word := range words {
				if bytes.Contains(line, []byte(word)) {
					d.cfg.rec.note("log: %s", line)
					break
				}
			}
		}
	}
}
