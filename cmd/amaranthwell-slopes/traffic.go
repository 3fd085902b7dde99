package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// concurrentTasks is the number of tasks that tasksOverHTTP runs at once.
const concurrentTasks = 64

// listByInstances measures the size and the time of one read of the platform's instance
// list over loopback, by the number of backend servers on the list.
func listByInstances() []slope {
	wire := slope{Name: "list-bytes-by-instances", What: "body of the store's entries of backend servers", Unit: "bytes", By: "instance"}
	spent := slope{Name: "list-time-by-instances", What: "logservice.ListClient.List, with the stand-in that answers, over loopback", Unit: "ns", By: "instance"}
	for _, n := range workerCounts {
		store := standin.NewStore(standin.StoreConfig{})
		for at := range n {
			worker := standin.NewLeasedWorker(standin.LeasedWorkerConfig{MaxTasks: 1})
			store.Put(platform.WorkerTopic, serverAddress(at).String(), worker.ListRecord("editing", serverAddress(at).String(), zoneName(at)))
		}
		server := httptest.NewServer(store)
		client, err := logservice.NewListClient(logservice.ListConfig{URL: server.URL})
		if err != nil {
			panic(err)
		}
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/log-newest?part=0&topic="+platform.WorkerTopic, http.NoBody))
		wire.add(n, float64(recorder.Body.Len()))
		spent.add(n, cpuNanos(func() {
			if _, err := client.List(context.Background(), start); err != nil {
				panic(err)
			}
		}))
		_ = client.Close()
		server.Close()
	}
	return []slope{wire, spent}
}

// tasksOverHTTP measures the processor time of requests to a backend server over
// loopback, in the client and the server together, by the number of tasks.
func tasksOverHTTP() []slope {
	s := slope{Name: "backend-time-by-tasks", What: "backend.Client.Run of tasks, 64 at once over loopback, with a bare HTTP server that echoes 64 bytes", Unit: "ns", By: "task"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client, err := backend.NewClient(backend.ClientConfig{})
	if err != nil {
		panic(err)
	}
	defer client.Close()
	payload := make([]byte, payloadBytes)
	for _, n := range []int{100, 400, 1300, 5200} {
		s.add(n, cpuNanos(func() {
			var group sync.WaitGroup
			for first := range concurrentTasks {
				group.Go(func() {
					for index := first; index < n; index += concurrentTasks {
						runTask(client, address, index, payload)
					}
				})
			}
			group.Wait()
		}))
	}
	return []slope{s}
}

// runTask runs one task. It panics if the task fails.
func runTask(client *backend.Client, address netip.AddrPort, index int, payload []byte) {
	o := client.Run(context.Background(), backend.Request{
		Server: address, Key: "key", Index: index, Attempt: 1, Route: routeName(0),
		Timeout: 5 * time.Second, Payload: payload,
	})
	if o.Kind != backend.Done {
		panic(o.Err)
	}
}

// An echoSubmitter is a caller.Submitter that answers each job with the payloads
// of its tasks.
type echoSubmitter struct{ keys *caller.KeyIssuer }

// Submit returns the payloads of the job's tasks as its results.
func (echoSubmitter) Submit(_ context.Context, job caller.Job) (caller.Answer, error) {
	return caller.Answer{Key: job.Key, Status: caller.Complete, Results: job.Tasks}, nil
}

// IssueKeys returns n new keys.
func (e echoSubmitter) IssueKeys(n int) ([]caller.Key, error) {
	keys := make([]caller.Key, 0, n)
	for range n {
		keys = append(keys, e.keys.Issue(start))
	}
	return keys, nil
}

// Cancel does nothing.
func (echoSubmitter) Cancel(context.Context, caller.Key) error { return nil }

// jobsFromCallers measures the time in which the HTTP handler of the callers' protocol
// serves one job, without a socket, by the number of the job's tasks.
func jobsFromCallers() []slope {
	s := slope{Name: "caller-time-by-tasks", What: "caller.NewHandler: one job with payloads of 64 bytes read and answered, without a socket", Unit: "ns", By: "task"}
	keys := newSubmissions().issuer
	handler := caller.NewHandler(caller.HandlerConfig{Submitter: echoSubmitter{keys}, UseWithin: 30 * time.Second})
	payload := `"` + base64.StdEncoding.EncodeToString(make([]byte, payloadBytes)) + `"`
	for _, n := range taskCounts {
		list := strings.Repeat(payload+",", n-1) + payload
		body := []byte(`{"route":"` + routeName(0) + `","tasks":[` + list + `]}`)
		s.add(n, cpuNanos(func() {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body)))
			if recorder.Code != http.StatusOK {
				panic(recorder.Body.String())
			}
		}))
	}
	return []slope{s}
}

// memoryByTasks measures the memory that the running tasks of one job take at its
// owner and at the holder.
func memoryByTasks() []slope {
	own := slope{Name: "job-memory-owner", What: "heap that a job takes at its owner while its tasks run, with payloads of 64 bytes", Unit: "bytes", By: "task"}
	hold := slope{Name: "job-memory-holder", What: "heap that a job takes at the holder while its tasks run, without payloads", Unit: "bytes", By: "task"}
	for _, n := range taskCounts {
		p := newJobPath(fleetWorkers)
		key, _ := p.instances[owner].IssueKey(p.now)
		var runs [][]byte
		own.add(n, retainedBytes(func() *jobPath {
			runs = p.submit(key, n)
			return p
		})-float64(totalCapacity(runs)))
		hold.add(n, retainedBytes(func() *jobPath {
			p.assign(runs)
			return p
		}))
	}
	return []slope{own, hold}
}

// totalCapacity returns the sum of the capacities of bodies in bytes.
func totalCapacity(bodies [][]byte) int {
	total := 0
	for _, b := range bodies {
		total += cap(b)
	}
	return total
}
