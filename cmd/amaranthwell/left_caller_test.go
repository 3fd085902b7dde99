package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// TestJobOfALeftCallerEnds guards against a program that does not ask for the connections of its
// callers, and against a request that is never finished. The reader of net/http stops at a byte
// that follows the body, and notices the end of the connection no more. Without a check of the
// connection, the job goes on until its deadline, or for ever.
func TestJobOfALeftCallerEnds(t *testing.T) {
	for name, trailing := range map[string]string{"nothing follows": "", "one byte follows": "\n", "two bytes follow": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &testPlatform{store: standin.NewStore(standin.StoreConfig{})}
			store := httptest.NewServer(p.store)
			t.Cleanup(store.Close)
			p.store.Put(platform.OperatorTopic, platform.ConfigurationKey, []byte(`{"version":1,"routes":[
				{"name":"previews","host":"photos.example","path_prefix":"/p/","service":"editor","max_attempts":2,
				"timeout_ms":3000,"stretch_factor":5,"target_latency_ms":2000}],"limits":{"max_body_bytes":100000}}`))
			worker := standin.NewLeasedWorker(standin.LeasedWorkerConfig{ID: "w-0", RunTime: time.Minute, MaxTasks: 4})
			server := httptest.NewServer(worker)
			t.Cleanup(server.Close)
			p.store.Put(platform.WorkerTopic, "w-0", worker.ListRecord("editor", server.Listener.Addr().String(), "hr-north-a"))
			p.startNode(t, 0, store.Listener.Addr().String())
			awaitReady(t, p.nodes[0].ReadyAddress)

			const patience = 20 * time.Second
			address := p.nodes[0].CallerAddress.String()
			conn := submitUntilOpen(t, address, patience)
			deadline := time.Now().Add(patience / 2) // well before the job's
			_, err := conn.Write([]byte(trailing))
			is.NoErr(err)
			is.NoErr(conn.Close())
			for jobIsOpen(t, address) && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			is.True(time.Now().Before(deadline)) // the job ended before its deadline
		})
	}
}

// submitUntilOpen submits the job on a new connection until the instance at address has it. The
// instance refuses it while it does not know the worker yet.
func submitUntilOpen(t *testing.T, address string, patience time.Duration) net.Conn {
	t.Helper()
	is := is.New(t)
	body := `{"best_effort":true,"spec":"s","pipeline":[{"count":1,"cpu":1000,"mem_mb":1,"estimated_ms":2500}]}`
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /p/0000000000000052 HTTP/1.1\r\nHost: photos.example\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", patience.Milliseconds(), len(body), body)
		is.NoErr(err)
		for range 50 {
			if jobIsOpen(t, address) {
				return conn
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.NoErr(conn.Close())
	}
	t.Fatal("the job was refused until the deadline")
	return nil
}

// jobIsOpen reports whether the instance at address has the job of TestJobOfALeftCallerEnds.
func jobIsOpen(t *testing.T, address string) bool {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/p/0000000000000052", nil)
	is.NoErr(err)
	req.Host = "photos.example"
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	return resp.StatusCode == http.StatusOK
}
