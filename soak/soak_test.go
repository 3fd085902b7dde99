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
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// The size of the soak.
const (
	zones          = 2
	nodesPerZone   = 2
	workersPerZone = 3
	tasksPerWorker = 4
	taskTime       = 120 * time.Millisecond
	faultsFor      = 6 * time.Second
	arrivalGap     = 25 * time.Millisecond
	// resendAfter is when a caller comes again that got no answer.
	resendAfter = 1300 * time.Millisecond
	patience    = 2500 * time.Millisecond
	// The processes of a seed have addresses of their own.
	firstNet = 10
	nets     = 200
)

// clockRates are those of the workers' clocks, which may be 2 % slow.
var clockRates = []float64{1, 0.98, 1.01}

// A world is the stand-ins, the processes and the judge.
type world struct {
	judge *judge
	// net is the third byte of the processes' addresses.
	net   uint64
	nodes []*node
	store *standin.Store
	// proxies stand before the store, the workers and the processes' peers.
	proxies []*proxy
}

func newWorld(t *testing.T, binary string, seed uint64) *world {
	t.Helper()
	is := is.New(t)
	w := &world{
		judge: &judge{running: make(map[string]int), ran: make(map[string]bool), answered: make(map[string][]int)},
		store: standin.NewStore(standin.StoreConfig{}),
		net:   firstNet + seed%nets,
	}
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	w.store.Put(platform.OperatorTopic, platform.ConfigurationKey, []byte(`{"version":1,"routes":[{"name":"previews",
		"host":"photos.example","path_prefix":"/p/","service":"editor","max_attempts":3,"timeout_ms":3000,
		"stretch_factor":4,"target_latency_ms":1500}]}`))
	names := make(map[string]string)
	for z := range zones {
		names[zone(z)] = "hr-north"
	}
	for z := range zones {
		for n := range workersPerZone {
			w.addWorker(t, fmt.Sprintf("w-%d-%d", z, n), zone(z))
		}
		for n := range nodesPerZone {
			w.addNode(t, binary, z*nodesPerZone+n, zone(z), names, server.Listener.Addr().String())
		}
	}
	for _, n := range w.nodes {
		is.NoErr(n.start())
	}
	t.Cleanup(func() {
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
			n.wait()
		}
	})
	return w
}

func zone(n int) string { return "hr-north-" + string(rune('a'+n)) }

func (w *world) addWorker(t *testing.T, id, zone string) {
	worker := standin.NewLeasedWorker(standin.LeasedWorkerConfig{
		ID: id, RunTime: taskTime, MaxTasks: tasksPerWorker, Started: w.judge.started, Ended: w.judge.ended,
		ClockRate: clockRates[len(w.proxies)%len(clockRates)],
	})
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	p := newProxy(t, "127.0.0.1:0", server.Listener.Addr().String())
	w.proxies = append(w.proxies, p)
	w.store.Put(platform.WorkerTopic, id, worker.ListRecord("editor", p.address(), zone))
}

func (w *world) addNode(t *testing.T, binary string, number int, zone string, zones map[string]string, store string) {
	t.Helper()
	is := is.New(t)
	ip := fmt.Sprintf("127.0.%d.%d", w.net, number+1)
	port := freePorts(t, ip)
	listens := fmt.Sprintf("%s:%d", ip, port+4)
	toStore := newProxy(t, "127.0.0.1:0", store)
	w.proxies = append(w.proxies, toStore, newProxy(t, fmt.Sprintf("%s:%d", ip, port), listens))
	text, err := json.Marshal(map[string]any{
		"node_name": fmt.Sprintf("entry-%d", number), "ip": ip, "zone": zone, "zones": zones,
		"listen_addrs": map[string]string{"frontend": fmt.Sprintf("%s:%d", ip, port+2), "ready": fmt.Sprintf("%s:%d", ip, port+3)},
		"port_range":   []int{port, port + 1}, "bounds": map[string]any{"grace_s": 6}, "platform": map[string]string{"address": toStore.address()},
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
	w.nodes = append(w.nodes, &node{node: settings, file: file, binary: binary, listens: listens, log: log})
}

// portsPerNode is the number of ports of a process.
const portsPerNode = 5

// freePorts returns the first of the ports of a process, which nobody uses.
func freePorts(t *testing.T, ip string) int {
	t.Helper()
	// A process that another seed forks meanwhile would hold the ports open until
	// it has begun its own program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for port := 21_000; port < 31_000; port += portsPerNode {
		var open []net.Listener
		for n := range portsPerNode {
			if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+n)); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == portsPerNode {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// awaitReady waits until an instance is ready, or ctx ends.
func (n *node) awaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + n.node.Ready.String() + "/readyz")
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

// submit hands a job in at an instance, and again at others while no answer
// says how it ended. It returns the last status.
func (w *world) submit(id string, random *rand.Rand) int {
	body := `{"best_effort":true,"spec":"s","pipeline":[{"count":3,"cpu":1000,"mem_mb":1,"estimated_ms":120}]}`
	status := 0
	for range 3 {
		n := w.nodes[random.IntN(len(w.nodes))]
		status = post("http://"+n.node.Callers.String()+"/p/"+id, body)
		w.judge.mu.Lock()
		w.judge.answered[id] = append(w.judge.answered[id], status)
		w.judge.mu.Unlock()
		if status != 0 && status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
			return status
		}
		time.Sleep(resendAfter)
	}
	return status
}

// post returns the status of the answer, or 0 if none came.
func post(url, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "photos.example"
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	// The status says all.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const (
	// processKinds is the number of kinds of fault of a process, which come before
	// those of connections and the store; kinds is the number of all. Half of them
	// are treatments of connections.
	processKinds = 3
	kinds        = 14
)

// fault does something at random, and undoes it.
func (w *world) fault(random *rand.Rand, wait *sync.WaitGroup) {
	n := w.nodes[random.IntN(len(w.nodes))]
	lasts := time.Duration(200+random.IntN(2500)) * time.Millisecond
	p := w.proxies[random.IntN(len(w.proxies))]
	with := delaying + treatment(random.IntN(int(treatments-delaying)))
	kind := random.IntN(kinds)
	if kind >= processKinds {
		wait.Go(func() { w.harm(kind, p, with, lasts) })
		return
	}
	wait.Go(func() {
		n.turn.Lock()
		defer n.turn.Unlock()
		switch kind {
		case 0:
			n.signal(syscall.SIGKILL)
			n.wait()
			time.Sleep(lasts)
			_ = n.start()
		case 1:
			n.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			n.signal(syscall.SIGCONT)
		case 2:
			n.signal(syscall.SIGTERM)
			n.wait()
			_ = n.start()
		}
	})
}

// harm does something to connections or to the store, and undoes it.
func (w *world) harm(kind int, p *proxy, with treatment, lasts time.Duration) {
	switch kind {
	case 3:
		w.store.SetDown(true)
		time.Sleep(lasts)
		w.store.SetDown(false)
	case 4:
		w.store.SetFaults(standin.StoreFaults{Delay: slowBy, LoseAnswers: 3, DropRequests: 3})
		time.Sleep(lasts)
		w.store.SetFaults(standin.StoreFaults{})
	case 5:
		for _, topic := range []string{platform.WorkerTopic, platform.OperatorTopic, platform.MemberTopic} {
			w.store.Expire(topic, w.store.End(topic))
		}
	case 6:
		p.reset()
	default:
		p.treat(with, lasts)
	}
}

// seeds returns the seeds to run: one, or SOAK_SEEDS from SOAK_FIRST on.
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

// TestSoak checks, under series of faults, that no task has two runs at once and
// that no job ran of which all answers say that it had not, and that jobs are
// served once the faults are over.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "amaranthwell")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/amaranthwell").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	first, n := seeds()
	for seed := first; seed < first+n; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			soak(t, binary, seed)
		})
	}
}

func soak(t *testing.T, binary string, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 7))
	w := newWorld(t, binary, seed)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, n := range w.nodes {
		is.True(n.awaitReady(ctx))
	}
	var jobs, faults sync.WaitGroup
	next := 0
	arrive := func(d time.Duration) []string {
		var ids []string
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(arrivalGap) {
			id := fmt.Sprintf("%016x", next)
			next++
			ids = append(ids, id)
			own := rand.New(rand.NewPCG(seed, uint64(next)))
			jobs.Go(func() { w.submit(id, own) })
		}
		return ids
	}
	for range 2 + random.IntN(4) {
		at := time.Duration(random.Int64N(int64(faultsFor)))
		r := rand.New(rand.NewPCG(seed, random.Uint64()))
		faults.Go(func() {
			time.Sleep(at)
			w.fault(r, &faults)
		})
	}
	arrive(faultsFor)
	faults.Wait()
	for _, n := range w.nodes {
		is.True(n.awaitReady(ctx)) // all are back
	}
	time.Sleep(2 * time.Second)
	calm := arrive(500 * time.Millisecond)
	jobs.Wait()

	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	is.Equal(w.judge.faults, nil)
	for id, statuses := range w.judge.answered {
		refused := 0
		for _, status := range statuses {
			if status == http.StatusServiceUnavailable {
				refused++
			}
		}
		if refused == len(statuses) && w.judge.ran[id] {
			t.Errorf("job %s ran, and was said not to have", id)
		}
	}
	for _, id := range calm {
		statuses := w.judge.answered[id]
		is.Equal(statuses[len(statuses)-1], http.StatusOK) // served once all is calm
	}
}
