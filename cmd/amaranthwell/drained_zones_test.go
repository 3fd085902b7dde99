package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// drainKey is the key of the request to drain the zone of the test platform.
const drainKey = "evacuate/hr-north-a"

// jobNumber numbers the jobs of awaitStatus.
var jobNumber = 0x1000

// awaitStatus submits jobs to an instance until one is answered with status, if that is
// not 200 because of a drained zone.
func awaitStatus(t *testing.T, node platform.Node, status int) {
	t.Helper()
	var got int
	var body string
	for range 500 {
		jobNumber++
		var err error
		got, body, err = post(node, fmt.Sprintf("/p/%016x", jobNumber), previewJob)
		if err == nil && got == status && (status == http.StatusOK || strings.Contains(body, "drained")) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s answers %d %s instead of %d", node.Name, got, body, status)
}

// A refusingStore is a standin.Store that refuses all requests at its own address.
type refusingStore struct {
	*standin.Store
	refuses atomic.Bool
}

// ServeHTTP answers one request.
func (s *refusingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.refuses.Load() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.Store.ServeHTTP(w, r)
}

// startCount returns the number of starts on all workers.
func (p *testPlatform) startCount() int {
	starts := 0
	for _, w := range p.workers {
		for _, n := range w.Starts() {
			starts += n
		}
	}
	return starts
}

// gauge returns the value of a gauge at an instance, or an empty string.
func gauge(t *testing.T, node platform.Node, name string) string {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get("http://" + node.MetricsAddress.String() + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Guards against a request of the operators that is not read from the store: while the zone
// of all workers is drained, jobs are refused and no task is started. Once the request is
// deleted, jobs are answered again.
func TestServeStartsNothingInADrainedZone(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
		awaitStatus(t, node, http.StatusOK)
	}
	p.store.Put(platform.OperatorTopic, drainKey, []byte("{}"))
	for _, node := range p.nodes {
		awaitStatus(t, node, http.StatusServiceUnavailable)
	}
	time.Sleep(2 * metricsEvery)
	before := p.startCount()
	for n, node := range p.nodes {
		status, _, err := post(node, fmt.Sprintf("/p/%016x", n), previewJob)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(gauge(t, node, "amaranthwell_zones_drained"), "1")
		is.True(gauge(t, node, `amaranthwell_zone_drained_seconds{zone="hr-north-a"}`) != "-1")
		is.Equal(gauge(t, node, `amaranthwell_zone_drained_runs{zone="hr-north-a"}`), "0")
	}
	is.Equal(p.startCount(), before)
	p.store.Put(platform.OperatorTopic, drainKey, nil)
	for _, node := range p.nodes {
		awaitStatus(t, node, http.StatusOK)
	}
}

// Guards against a request that stays in force after it was deleted while the store refused
// all reads and its record of the deletion has expired: the list that is read afterwards
// does not contain it. Until then the last list applies.
func TestDrainRequestThatIsNotListedAnyMoreHasEnded(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	p.store.Put(platform.OperatorTopic, drainKey, []byte("{}"))
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
		awaitStatus(t, node, http.StatusServiceUnavailable)
	}
	p.store.SetDown(true)
	time.Sleep(100 * time.Millisecond) // until waiting reads have ended
	p.store.Put(platform.OperatorTopic, drainKey, nil)
	p.store.Expire(platform.OperatorTopic, p.store.End(platform.OperatorTopic))
	awaitStatus(t, p.nodes[0], http.StatusServiceUnavailable)
	is.Equal(p.startCount(), 0)
	p.store.SetDown(false)
	for _, node := range p.nodes {
		awaitStatus(t, node, http.StatusOK)
	}
}

// Guards against an instance that the store refuses and that does not learn of a request
// from its peers: the first instance, which leads, loses the store.
func TestServeLearnsOfADrainedZoneFromItsPeers(t *testing.T) {
	is := is.New(t)
	p := &testPlatform{store: standin.NewStore(standin.StoreConfig{})}
	refusing := &refusingStore{Store: p.store}
	stores := []*httptest.Server{httptest.NewServer(refusing), httptest.NewServer(p.store)}
	p.startWorkers(t)
	for n, store := range stores {
		t.Cleanup(store.Close)
		p.startNode(t, n, store.Listener.Addr().String())
	}
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
		awaitStatus(t, node, http.StatusOK)
	}
	refusing.refuses.Store(true)
	stores[0].CloseClientConnections()
	p.store.Put(platform.OperatorTopic, drainKey, []byte("{}"))
	for _, node := range p.nodes {
		awaitStatus(t, node, http.StatusServiceUnavailable)
	}
	before := p.startCount()
	for n, node := range p.nodes {
		status, _, err := post(node, fmt.Sprintf("/p/%016x", n), previewJob)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
	}
	is.Equal(p.startCount(), before)
}
