//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthwell/amaranthwell/standin"
)

const (
	// heartbeatEvery is the time between a worker's writes to the store (heartbeat_ms).
	heartbeatEvery = 1500 * time.Millisecond
	// leadTime is the time from the start of the machines to the traffic.
	leadTime = 10 * time.Second
	// program is what the build of the deploy file makes.
	program = "target/amaranthwell"
)

// zones are the availability zones, with the number of entry instances in each.
var zones = []struct {
	name      string
	instances int
}{{"zone-a", 3}, {"zone-b", 3}, {"zone-c", 2}}

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, service string
	timeout                     time.Duration
	// urgency is the priority of the queue: 0 comes first.
	urgency int
}

// instance is a process of the program.
type instance struct {
	name, zone string
	// address is where callers are served, ready that of the health check, and metrics that
	// of the metrics.
	address, ready, metrics string
	// ip and port are those at which the ports of the process begin.
	ip      string
	port    int
	process *exec.Cmd
}

// deployment is the system under test with the platform around it.
type deployment struct {
	record  *record
	history *history
	dir     string
	net     string
	store   *standin.Store
	storeAt string

	instances []*instance

	mu      sync.Mutex
	workers []*worker
	// loads holds what the tasks of each job need.
	loads    map[string]workload
	stopping chan struct{}
	stopped  sync.WaitGroup
}

// newDeployment starts the platform. The instances follow with startInstances.
func newDeployment(record *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: record, history: &history{}, dir: dir,
		net:   fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250),
		store: standin.NewStore(standin.StoreConfig{AppendDelay: 2 * time.Millisecond}),
		loads: make(map[string]workload), stopping: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", d.net+".1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = listener.Addr().String()
	go func() {
		server := &http.Server{Handler: d.store, ReadHeaderTimeout: 10 * time.Second}
		_ = server.Serve(listener)
	}()
	return d, nil
}

// addWorker starts a worker and registers it in the store.
func (d *deployment) addWorker(cfg workerConfig) error {
	listener, err := net.Listen("tcp", d.net+".2:0")
	if err != nil {
		return err
	}
	w := startWorker(cfg, listener, d.record, d.history, d.load)
	address := listener.Addr().String()
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	d.store.Put("keyed.servers", cfg.id, w.entry(address, 1))
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		ticker := time.NewTicker(heartbeatEvery)
		defer ticker.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-d.stopping:
				return
			case <-ticker.C:
			}
			d.store.Put("keyed.servers", cfg.id, w.entry(address, sequence))
		}
	}()
	return nil
}

// load returns what a task needs.
func (d *deployment) load(task string) workload {
	job, _, _ := strings.Cut(task, ".")
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loads[job]
}

// configure writes a version of the configuration, which the store acknowledges at once, and
// returns the time of that.
func (d *deployment) configure(version int, services []string, routes []route) time.Time {
	type row = map[string]any
	config := row{"version": version, "limits": row{"max_body_bytes": 262144}}
	var routeRows, serviceRows []row
	for _, r := range routes {
		routeRows = append(routeRows, row{
			"name": r.name, "host": r.host, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": 60, "priority": r.urgency, "service": r.service, "max_attempts": 4, "stretch_factor": 1.6,
		})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, row{"name": s, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "admission_control": true})
	}
	config["routes"], config["services"] = routeRows, serviceRows
	text, err := json.Marshal(config)
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	d.store.Put("keyed.op", "config", text)
	acknowledged := time.Now()
	d.record.note("config  version %d acknowledged: %s", version, text)
	return acknowledged
}

// startInstances starts the entry instances with settings like those of DEPLOY.md, and waits
// until the traffic may begin.
func (d *deployment) startInstances() error {
	port, err := freePort(d.net + ".1")
	if err != nil {
		return err
	}
	n := 0
	for _, zone := range zones {
		for range zone.instances {
			n++
			ip := fmt.Sprintf("%s.%d", d.net, 10+n)
			i := &instance{
				name: fmt.Sprintf("frontend-%s-%d", zone.name, n), zone: zone.name,
				address: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1), metrics: fmt.Sprintf("%s:%d", ip, port+3),
			}
			if err := d.startInstance(i, ip, port); err != nil {
				return err
			}
			d.instances = append(d.instances, i)
		}
	}
	time.Sleep(leadTime)
	for _, i := range d.instances {
		if status := i.readiness(); status != http.StatusOK {
			return fmt.Errorf("%s is not ready: status %d", i.name, status)
		}
	}
	return nil
}

// readiness returns the status of the health check, or 0.
func (i *instance) readiness() int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// freePort returns the first of several ports in a row that are free at ip.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	port := listener.Addr().(*net.TCPAddr).Port
	return min(port, 65000), nil
}

// startInstance starts the process of i, whose ports begin at port.
func (d *deployment) startInstance(i *instance, ip string, port int) error {
	zoneRegions := make(map[string]string)
	for _, z := range zones {
		zoneRegions[z.name] = "region"
	}
	settings := map[string]any{
		"node_name": i.name, "role": "entry", "machine_class": "frontend", "serves": []string{"frontend"},
		"ip": ip, "zone": i.zone, "region": "region", "zones": zoneRegions,
		"listen_addrs": map[string]string{"frontend": i.address, "ready": i.ready},
		"port_range":   []int{port + 2, port + 17}, "seeds": []string{}, "bootstrap": true,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeatEvery.Milliseconds(),
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "hold_max_ms": 1000, "stop_ms": 50,
			"cancel_ms": 3000, "cross_rack_factor": 2, "fencing_enabled": true, "lease_ms": 3000, "resend_ms": 1300,
		},
		"control_mode": "push",
		"platform":     map[string]any{"address": d.storeAt, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 32},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, i.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.ip, i.port = ip, port
	i.process = exec.Command(program, "serve")
	i.process.Env = append(os.Environ(), "AMARANTHWELL_NODE_FILE="+path)
	i.process.Stdout, i.process.Stderr = log, log
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.process.Start(); err != nil {
		return err
	}
	d.record.note("process %s started", i.name)
	return nil
}

// killAll kills all processes, and starts them again after downTime.
func (d *deployment) killAll(downTime time.Duration) error {
	for _, i := range d.instances {
		d.signal(i, syscall.SIGKILL)
	}
	for _, i := range d.instances {
		_ = i.process.Wait()
	}
	time.Sleep(downTime)
	for _, i := range d.instances {
		if err := d.startInstance(i, i.ip, i.port); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of i.
func (d *deployment) signal(i *instance, s syscall.Signal) {
	d.record.note("process %s gets %v", i.name, s)
	_ = i.process.Process.Signal(s)
}

// leads reports whether i leads an availability zone, by its metrics.
func (i *instance) leads() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return strings.Contains(readAll(response.Body), "amaranthwell_zone_leading 1")
}

// follower returns an instance that leads no availability zone, other than those given.
func (d *deployment) follower(others ...*instance) *instance {
	for _, i := range d.instances {
		used := false
		for _, o := range others {
			used = used || o == i
		}
		if !used && !i.leads() {
			return i
		}
	}
	return nil
}

// close ends all processes. It keeps the logs of the instances if keepLogs is set.
func (d *deployment) close(keepLogs bool) {
	close(d.stopping)
	for _, i := range d.instances {
		if i.process != nil && i.process.ProcessState == nil {
			_ = i.process.Process.Kill()
			_ = i.process.Wait()
		}
	}
	d.mu.Lock()
	workers := d.workers
	d.mu.Unlock()
	for _, w := range workers {
		w.close()
	}
	d.stopped.Wait()
	if !keepLogs {
		_ = os.RemoveAll(d.dir)
	}
}
