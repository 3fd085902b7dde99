package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// The size of the system under test, the times of the run and the load.
const (
	zones            = 2
	instancesPerZone = 2
	workersPerZone   = 3
	tasksPerWorker   = 4
	taskTime         = 120 * time.Millisecond
	// During the faults one of longTasks tasks takes longTaskTime, longer than it takes
	// until a caller submits its job again.
	longTasks    = 12
	longTaskTime = 2500 * time.Millisecond
	// cpuShare is the processor capacity of an instance in cores. It is enough to lead
	// the workers of one zone, but not those of both.
	cpuShare = 0.02
	// One of impatientCallers callers closes its first connection after impatience.
	impatientCallers = 10
	impatience       = 400 * time.Millisecond
	// lateShare is the share of the commands to workers that are carried out lateTime
	// later, and get no answer, while that fault lasts.
	lateShare = 0.5
	lateTime  = 3 * time.Second
	// quickRestart is too short for peers to notice the silence of a process.
	quickRestart = 100 * time.Millisecond
	faultPhase   = 6 * time.Second
	arrivalGap   = 25 * time.Millisecond
	// resubmitAfter is the time after which a caller submits a job again whose
	// outcome is unknown.
	resubmitAfter = 1300 * time.Millisecond
	// callerTimeout is a caller's deadline for each request.
	callerTimeout = 2500 * time.Millisecond
	// The instances of each seed have addresses in a subnet 127.0.N.0/24 of their own.
	// N is in [firstSubnet, firstSubnet+subnets).
	firstSubnet = 10
	subnets     = 200
	// configurationDeadline is the time after the last fault within which a new
	// configuration must be in force: 3 s until an instance counts as connected again,
	// and 2 s for the configuration, by the bounds of the platform's deployments.
	configurationDeadline = 5 * time.Second
)

// clockRates are the rates of the workers' clocks, which are allowed to be 2 % slow.
var clockRates = []float64{1, 0.98, 1.01}

// A cluster is the system under test: stand-ins of the platform, entry instances in
// processes of their own, and the checker of what workers and callers observe.
type cluster struct {
	checker *runChecker
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

// newCluster starts the stand-ins and the instances, and stops them when the test ends.
func newCluster(t *testing.T, binary string, seed uint64) *cluster {
	t.Helper()
	is := is.New(t)
	c := &cluster{
		checker: &runChecker{running: make(map[string]int), ran: make(map[string]bool), answered: make(map[string][]int)},
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
		for n := range instancesPerZone {
			c.addInstance(t, binary, z*instancesPerZone+n, zone(z), names, server.Listener.Addr().String())
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
	return taskTime
}

func (c *cluster) addWorker(t *testing.T, id, zone string) {
	worker := standin.NewLeasedWorker(standin.LeasedWorkerConfig{
		ID: id, RunTimeOf: c.runTime, MaxTasks: tasksPerWorker, Started: c.checker.started, Ended: c.checker.ended,
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

// submit submits a job to a random instance. While the outcome is unknown, because there
// is no answer or its status is 502 or 504, it submits the job again, up to three times
// in all. It returns the last status.
func (c *cluster) submit(id string, random *rand.Rand) int {
	body := `{"best_effort":true,"spec":"s","pipeline":[{"count":3,"cpu":1000,"mem_mb":1,"estimated_ms":120}]}`
	status := 0
	for n := range 3 {
		i := c.instances[random.IntN(len(c.instances))]
		timeout := callerTimeout
		if n == 0 && random.IntN(impatientCallers) == 0 {
			timeout = impatience
		}
		status = post("http://"+i.settings.CallerAddress.String()+"/p/"+id, body, timeout)
		c.checker.mu.Lock()
		c.checker.answered[id] = append(c.checker.answered[id], status)
		c.checker.mu.Unlock()
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			return status
		}
		time.Sleep(resubmitAfter)
	}
	return status
}

// post posts a job and returns the status of the answer, or 0 if there is no answer within
// timeout.
func post(url, body string, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "photos.example"
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	// Only the status matters.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const (
	// Kinds of fault are numbers less than faultKinds. Those less than
	// processFaultKinds act on a process, 4 to 6 on the store, 7 resets the
	// connections of a proxy, 8 delays commands to workers, and all higher ones set the
	// mode of a proxy.
	processFaultKinds = 4
	faultKinds        = 16
)

// injectFault injects a random fault into a process, a proxy or the store, and ends it
// after a random time. It does so in a goroutine that is added to wait.
func (c *cluster) injectFault(random *rand.Rand, wait *sync.WaitGroup) {
	i := c.instances[random.IntN(len(c.instances))]
	duration := time.Duration(200+random.IntN(2500)) * time.Millisecond
	p := c.proxies[random.IntN(len(c.proxies))]
	mode := delayAll + proxyMode(random.IntN(int(proxyModes-delayAll)))
	kind := random.IntN(faultKinds)
	if kind >= processFaultKinds {
		wait.Go(func() { c.injectConnectionOrStoreFault(kind, p, mode, duration) })
		return
	}
	wait.Go(func() {
		i.faultMu.Lock()
		defer i.faultMu.Unlock()
		switch kind {
		case 0:
			i.signal(syscall.SIGKILL)
			i.wait()
			time.Sleep(duration)
			_ = i.start()
		case 1:
			i.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			i.signal(syscall.SIGCONT)
		case 2:
			i.signal(syscall.SIGTERM)
			i.wait()
			_ = i.start()
		case 3:
			i.signal(syscall.SIGKILL)
			i.wait()
			time.Sleep(quickRestart)
			_ = i.start()
		}
	})
}

// injectConnectionOrStoreFault injects a fault of the given kind into p or the store,
// and ends it after duration. Only the kinds that set the mode of p use mode.
func (c *cluster) injectConnectionOrStoreFault(kind int, p *proxy, mode proxyMode, duration time.Duration) {
	switch kind {
	case 4:
		c.store.SetDown(true)
		time.Sleep(duration)
		c.store.SetDown(false)
	case 5:
		c.store.SetFaults(standin.StoreFaults{Delay: faultDelay, LoseAnswers: 3, DropRequests: 3})
		time.Sleep(duration)
		c.store.SetFaults(standin.StoreFaults{})
	case 6:
		for _, topic := range []string{platform.WorkerTopic, platform.OperatorTopic, platform.MemberTopic} {
			c.store.Expire(topic, c.store.End(topic))
		}
	case 7:
		p.reset()
	case 8:
		c.late.Store(true)
		time.Sleep(duration)
		c.late.Store(false)
	default:
		p.runMode(mode, duration)
	}
}

// seeds returns the first seed, SOAK_FIRST or 0, and the number of seeds to run,
// SOAK_SEEDS or 1.
func seeds() (first, n uint64) {
	n = 1
	if v, err := strconv.ParseUint(os.Getenv("SOAK_SEEDS"), 10, 64); err == nil {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("SOAK_FIRST"), 10, 64); err == nil {
		first = v
	}
	return first, n
}

// TestNoTaskRunsTwiceUnderRandomFaults runs jobs while random faults overlap. It
// checks that no task has two runs at once, that a job did not run if all its answers
// report that it did not, and that jobs succeed once the faults are over. Then all
// connections to the store go silent, and a new configuration must still arrive.
func TestNoTaskRunsTwiceUnderRandomFaults(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "amaranthwell")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/amaranthwell").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	first, n := seeds()
	for seed := first; seed < first+n; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed)
		})
	}
}

func runSeed(t *testing.T, binary string, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 7))
	c := newCluster(t, binary, seed)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, i := range c.instances {
		is.True(i.awaitReady(ctx))
	}
	var jobs, faults sync.WaitGroup
	nextJob := 0
	arrive := func(d time.Duration) []string {
		var ids []string
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(arrivalGap) {
			id := fmt.Sprintf("%016x", nextJob)
			nextJob++
			ids = append(ids, id)
			jobRandom := rand.New(rand.NewPCG(seed, uint64(nextJob)))
			jobs.Go(func() { c.submit(id, jobRandom) })
		}
		return ids
	}
	for range 8 + random.IntN(8) {
		at := time.Duration(random.Int64N(int64(faultPhase)))
		r := rand.New(rand.NewPCG(seed, random.Uint64()))
		faults.Go(func() {
			time.Sleep(at)
			c.injectFault(r, &faults)
		})
	}
	arrive(faultPhase)
	faults.Wait()
	for _, i := range c.instances {
		is.True(i.awaitReady(ctx)) // all instances have recovered
	}
	c.calm.Store(true)
	time.Sleep(2 * time.Second)
	afterFaults := arrive(500 * time.Millisecond)
	jobs.Wait()

	c.store.SilenceConnections()
	c.putRoute(2, "/r/")
	inForce, cancelInForce := context.WithTimeout(ctx, configurationDeadline)
	defer cancelInForce()
	for _, i := range c.instances {
		is.True(i.awaitRoute(inForce, "/r/")) // the configuration arrives although all connections to the store are silent
	}

	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	is.Equal(c.checker.violations, nil)
	for id, statuses := range c.checker.answered {
		refused := 0
		for _, status := range statuses {
			if status == http.StatusServiceUnavailable {
				refused++
			}
		}
		if refused == len(statuses) && c.checker.ran[id] {
			t.Errorf("job %s ran, but all answers report that it did not", id)
		}
	}
	for _, id := range afterFaults {
		statuses := c.checker.answered[id]
		is.Equal(statuses[len(statuses)-1], http.StatusOK) // jobs succeed after the faults
	}
}
