package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// clockRates are the rates of the workers' clocks, which are allowed to be 2 % slow.
var clockRates = []float64{1, 0.98, 1.01}

// A cluster is the system under test: stand-ins of the platform, entry instances in
// processes of their own, and the checker of what workers and callers observe.
type cluster struct {
	checker *runChecker
	cfg     clusterConfig
	// subnet is the third octet of the instances' IP addresses.
	subnet    uint64
	instances []*instance
	store     *standin.Store
	// late is set while commands to workers are carried out late, and calm once the
	// faults are over.
	late, calm atomic.Bool
	// proxies are in front of the store, the workers and the instances' peer
	// addresses.
	proxies []*proxy
}

// clusterConfig is the part of a cluster that differs between tests. Most tasks take taskTime.
type clusterConfig struct {
	instancesPerZone, tasksPerWorker int
	taskTime                         time.Duration
}

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "amaranthwell")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/amaranthwell").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// newCluster starts the stand-ins and the instances, and stops them when the test ends.
func newCluster(t *testing.T, binary string, seed uint64, cfg clusterConfig) *cluster {
	t.Helper()
	is := is.New(t)
	c := &cluster{
		checker: &runChecker{running: make(map[string]int), ran: make(map[string]bool), answered: make(map[string][]int)},
		cfg:     cfg,
		store:   standin.NewStore(standin.StoreConfig{}),
		subnet:  firstSubnet + seed%subnets,
	}
	server := httptest.NewServer(c.store)
	t.Cleanup(server.Close)
	c.putRoute(1, "/p/")
	names := make(map[string]string)
	for z := range zones {
		names[zone(z)] = "hr-north"
	}
	for z := range zones {
		for n := range workersPerZone {
			c.addWorker(t, fmt.Sprintf("w-%d-%d", z, n), zone(z))
		}
		for n := range cfg.instancesPerZone {
			c.addInstance(t, binary, z*cfg.instancesPerZone+n, zone(z), names, server.Listener.Addr().String())
		}
	}
	for _, i := range c.instances {
		is.NoErr(i.start())
	}
	t.Cleanup(func() {
		for _, i := range c.instances {
			i.signal(syscall.SIGKILL)
			i.wait()
		}
	})
	return c
}

// putRoute writes a configuration whose only route has the given prefix.
func (c *cluster) putRoute(version int, prefix string) {
	c.store.Put(platform.OperatorTopic, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"previews",
		"host":"photos.example","path_prefix":%q,"service":"editor","max_attempts":3,"timeout_ms":3000,
		"stretch_factor":4,"target_latency_ms":1500}]}`, version, prefix))
}

// awaitRoute waits until the instance knows a route with the given prefix. It returns
// false if ctx ends first.
func (i *instance) awaitRoute(ctx context.Context, prefix string) bool {
	return awaitOK(ctx, "http://"+i.settings.CallerAddress.String()+prefix)
}

func zone(n int) string { return "hr-north-" + string(rune('a'+n)) }

// runTime returns how long a task takes, which depends on its name.
func (c *cluster) runTime(task string) time.Duration {
	if !c.calm.Load() && xxhash.Sum64String(task)%longTasks == 0 {
		return longTaskTime
	}
	return c.cfg.taskTime
}

func (c *cluster) addWorker(t *testing.T, id, zone string) {
	worker := standin.NewLeasedWorker(standin.LeasedWorkerConfig{
		ID: id, RunTimeOf: c.runTime, MaxTasks: c.cfg.tasksPerWorker, Started: c.checker.started, Ended: c.checker.ended, Lapsed: c.checker.lapsed,
		LateBy: func() time.Duration {
			if c.late.Load() && rand.Float64() < lateShare {
				return lateTime
			}
			return 0
		},
		ClockRate: clockRates[len(c.proxies)%len(clockRates)],
	})
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	p := newProxy(t, "127.0.0.1:0", server.Listener.Addr().String())
	c.proxies = append(c.proxies, p)
	c.store.Put(platform.WorkerTopic, id, worker.ListRecord("editor", p.address(), zone))
}

func (c *cluster) addInstance(t *testing.T, binary string, number int, zone string, zones map[string]string, store string) {
	t.Helper()
	is := is.New(t)
	ip := fmt.Sprintf("127.0.%d.%d", c.subnet, number+1)
	port := freePorts(t, ip)
	peerListen := fmt.Sprintf("%s:%d", ip, port+4)
	storeProxy := newProxy(t, "127.0.0.1:0", store)
	c.proxies = append(c.proxies, storeProxy, newProxy(t, fmt.Sprintf("%s:%d", ip, port), peerListen))
	text, err := json.Marshal(map[string]any{
		"node_name": fmt.Sprintf("entry-%d", number), "ip": ip, "zone": zone, "zones": zones,
		"listen_addrs": map[string]string{"frontend": fmt.Sprintf("%s:%d", ip, port+2), "ready": fmt.Sprintf("%s:%d", ip, port+3)},
		"port_range":   []int{port, port + 1}, "bounds": map[string]any{"grace_s": 6}, "limits": map[string]any{"cpu_share": cpuShare}, "platform": map[string]string{"address": storeProxy.address()},
	})
	is.NoErr(err)
	dir := t.TempDir()
	file := filepath.Join(dir, "node.json")
	is.NoErr(os.WriteFile(file, text, 0o600))
	settings, err := platform.LoadNode(file)
	is.NoErr(err)
	log, err := os.Create(filepath.Join(dir, "log"))
	is.NoErr(err)
	t.Cleanup(func() {
		if t.Failed() {
			lines, _ := os.ReadFile(log.Name())
			t.Logf("log of entry-%d:\n%s", number, lines)
		}
		_ = log.Close()
	})
	c.instances = append(c.instances, &instance{settings: settings, file: file, binary: binary, peerListen: peerListen, log: log})
}

// portsPerInstance is the number of ports of an instance.
const portsPerInstance = 5

// freePorts returns the first of portsPerInstance consecutive ports that are free.
func freePorts(t *testing.T, ip string) int {
	t.Helper()
	// While the lock is held, no process is forked: a process that a parallel seed
	// forks would inherit the listeners and keep the ports open until it executes its
	// program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for port := 21_000; port < 31_000; port += portsPerInstance {
		var open []net.Listener
		for n := range portsPerInstance {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+n)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == portsPerInstance {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// awaitReady waits until the instance is ready. It returns false if ctx ends first.
func (i *instance) awaitReady(ctx context.Context) bool {
	return awaitOK(ctx, "http://"+i.settings.ReadyAddress.String()+"/readyz")
}

// awaitOK waits until a request for url, with the host of the route, is answered with
// status 200. It returns false if ctx ends first.
func awaitOK(ctx context.Context, url string) bool {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return false
		}
		req.Host = "photos.example"
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}
