package main

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// Guards against instances that start without the number of workers, because the leader
// took a failed append for a successful one.
func TestWorkerCountIsWrittenAfterAFailedAppend(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	awaitReady(t, p.nodes[0].ReadyAddress)
	store := httptest.NewServer(p.store)
	defer store.Close()
	client := platform.NewStore(store.Listener.Addr().String())
	defer client.Close()
	writes := func() (n int) {
		records, _, err := client.ReadKeyed(t.Context(), platform.MemberTopic, 0, 0)
		is.NoErr(err)
		for _, r := range records {
			if _, ok, _ := platform.DecodeWorkerCount(r); ok {
				n++
			}
		}
		return n
	}
	await := func(n int) {
		for range 500 {
			if writes() >= n {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatalf("the number of workers was not written %d times", n)
	}
	await(1)

	// A third worker, and expired records: the leader reads the whole table again, while
	// the store refuses appends.
	worker := standin.NewLeasedWorker(standin.LeasedWorkerConfig{ID: "w-2", RunTime: time.Millisecond, MaxTasks: 1})
	p.store.Put(platform.WorkerTopic, "w-2", worker.ListRecord("editor", "127.0.0.1:9", "hr-north-a"))
	p.store.SetFaults(standin.StoreFaults{RefuseAppends: true})
	p.store.Expire(platform.WorkerTopic, p.store.End(platform.WorkerTopic))
	time.Sleep(2 * workersEvery)
	p.store.SetFaults(standin.StoreFaults{})
	await(2)
}
