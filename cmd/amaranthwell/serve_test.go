package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// A testPlatform is a store, workers and entry instances on loopback. The slices nodes,
// stops and done have one element for each instance.
type testPlatform struct {
	store   *standin.Store
	workers []*standin.LeasedWorker
	nodes   []platform.Node
	stops   []context.CancelFunc
	done    []chan error
}

// newTestPlatform starts a store, two workers and two entry instances in one zone.
func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	is := is.New(t)
	p := &testPlatform{store: standin.NewStore(standin.StoreConfig{})}
	store := httptest.NewServer(p.store)
	t.Cleanup(store.Close)
	p.startWorkers(t)
	for n := range 2 {
		p.startNode(t, n, store.Listener.Addr().String())
	}
	is.Equal(len(p.nodes), 2)
	return p
}

// startWorkers starts two workers, and lists them and the operators' tables in the store.
func (p *testPlatform) startWorkers(t *testing.T) {
	t.Helper()
	p.store.Put(platform.OperatorTopic, platform.ConfigurationKey, []byte(`{"version":1,"routes":[
		{"name":"previews","host":"photos.example","path_prefix":"/p/","service":"editor","max_attempts":2,
		"timeout_ms":3000,"stretch_factor":5,"target_latency_ms":2000}],"limits":{"max_body_bytes":100000}}`))
	for n := range 2 {
		worker := standin.NewLeasedWorker(standin.LeasedWorkerConfig{
			ID: fmt.Sprintf("w-%d", n), RunTime: 30 * time.Millisecond, MaxTasks: 4,
		})
		server := httptest.NewServer(worker)
		t.Cleanup(server.Close)
		p.store.Put(platform.WorkerTopic, fmt.Sprintf("w-%d", n), worker.ListRecord("editor", server.Listener.Addr().String(), "hr-north-a"))
		p.workers = append(p.workers, worker)
	}
}

// startNode starts an entry instance at an address of its own.
func (p *testPlatform) startNode(t *testing.T, n int, store string) {
	t.Helper()
	is := is.New(t)
	ip := fmt.Sprintf("127.0.3.%d", n+1)
	port := freePort(t, ip)
	file := filepath.Join(t.TempDir(), "node.json")
	text, err := json.Marshal(map[string]any{
		"node_name": fmt.Sprintf("entry-%d", n), "ip": ip, "zone": "hr-north-a", "zones": map[string]string{"hr-north-a": "hr-north"},
		"listen_addrs": map[string]string{"frontend": fmt.Sprintf("%s:%d", ip, port+2), "ready": fmt.Sprintf("%s:%d", ip, port+3)},
		"port_range":   []int{port, port + 1}, "bounds": map[string]any{"grace_s": 6}, "platform": map[string]string{"address": store},
	})
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, text, 0o600))
	node, err := platform.LoadNode(file)
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- newService(node, log.NewNopLogger()).run(ctx, nil) }()
	p.nodes = append(p.nodes, node)
	p.stops = append(p.stops, stop)
	p.done = append(p.done, done)
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// freePort returns the first of four consecutive unused ports.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	for port := 20_000; port < 30_000; port += 4 {
		free := true
		for n := range 4 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+n))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// awaitReady waits until an instance is ready for jobs.
func awaitReady(t *testing.T, ready netip.AddrPort) {
	t.Helper()
	for range 500 {
		resp, err := http.Get("http://" + ready.String() + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%v is not ready", ready)
}

// post submits a job, and returns the status and the body of the answer.
func post(node platform.Node, path, body string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+node.CallerAddress.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "photos.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

const previewJob = `{"best_effort":true,"spec":"s","pipeline":[{"count":3,"cpu":1000,"mem_mb":1,"estimated_ms":30}]}`

// Jobs are sent to both instances, of which one leads. All are answered, and each task
// is started once.
func TestServeAnswersJobs(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
	}
	var wait sync.WaitGroup
	for n := range 20 {
		wait.Go(func() {
			status, body, err := post(p.nodes[n%2], fmt.Sprintf("/p/%016x", n), previewJob)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, `{"state":"completed"}`)
		})
	}
	wait.Wait()
	tasks := 0
	for _, w := range p.workers {
		for _, starts := range w.Starts() {
			tasks++
			is.Equal(starts, 1)
		}
	}
	is.Equal(tasks, 60)

	status, _, err := post(p.nodes[0], "/q/0000000000000000", previewJob)
	is.NoErr(err)
	is.Equal(status, http.StatusNotFound)
	status, _, err = post(p.nodes[0], "/p/0000000000000099", `{"pipeline":[{"count":1,"cpu":1}]}`)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable) // not best effort: the job would have to be stored
}

// The leader shuts down while jobs run. The jobs complete through the other instance,
// and none is lost.
func TestServeAnswersJobsWhenLeaderShutsDown(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
	}
	var wait sync.WaitGroup
	for n := range 10 {
		wait.Go(func() {
			status, _, err := post(p.nodes[1], fmt.Sprintf("/p/%016x", n), previewJob)
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
		if n == 5 {
			// The first instance leads: it is the first candidate of the zone.
			p.stops[0]()
		}
		time.Sleep(10 * time.Millisecond)
	}
	wait.Wait()
	is.NoErr(<-p.done[0])
	p.done[0] <- nil
}

// Jobs are answered while the store is down.
func TestServeAnswersJobsWhenStoreIsDown(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
	}
	status, _, err := post(p.nodes[1], "/p/0000000000000001", previewJob)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	p.store.SetDown(true)
	status, _, err = post(p.nodes[0], "/p/0000000000000002", previewJob)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}
