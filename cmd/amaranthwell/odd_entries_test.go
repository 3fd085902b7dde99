package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
)

// nesting is the depth of JSON arrays in an entry. Opened and closed, they take 250,000
// of the 262,144 bytes that a record of the store may have.
const nesting = 125_000

// oddEntries are entries of another writer among those of the workers, by their keys.
func oddEntries() map[string]string {
	entry := func(address, zone, capacity string) string {
		return fmt.Sprintf(`{"service":"editor","address":%q,"zone":%q,"state":"ready","capacity":%s,"born":1}`, address, zone, capacity)
	}
	const capacity, zone = `{"cpu":16000,"mem_mb":100}`, "hr-north-a"
	return map[string]string{
		"deeply-nested":          strings.Repeat("[", nesting),
		"nested-field":           `{"labels":` + strings.Repeat(`[`, nesting) + strings.Repeat(`]`, nesting) + `}`,
		"port-out-of-range":      entry("127.0.0.1:99999", zone, capacity),
		"port-negative":          entry("127.0.0.1:-1", zone, capacity),
		"port-zero":              entry("127.0.0.1:0", zone, capacity),
		"number-too-large":       entry("127.0.0.1:9", zone, `{"cpu":1e400,"mem_mb":100}`),
		"number-beyond-int":      entry("127.0.0.1:9", zone, `{"cpu":99999999999999999999,"mem_mb":100}`),
		"capacity-too-large":     entry("127.0.0.1:9", zone, `{"cpu":9000000000000000000,"mem_mb":9000000000000000000}`),
		"capacity-negative":      entry("127.0.0.1:9", zone, `{"cpu":-5,"mem_mb":-5}`),
		"unknown-zone":           entry("127.0.0.1:9", "nowhere", capacity),
		"key-\xff-not-utf-8":     entry("127.0.0.1:9", zone, capacity),
		"value-not-utf-8":        entry("127.0.0.1:9", zone, "\xff\xfe"),
		"":                       entry("127.0.0.1:9", zone, capacity),
		strings.Repeat("k", 255): "\x00",
	}
}

// Guards against instances that end, that do not follow the worker table any more or that
// lose their links, because of one odd entry among those of the workers.
func TestServeAnswersJobsBesideOddWorkerEntries(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
	}
	for key, value := range oddEntries() {
		p.store.Put(platform.WorkerTopic, key, []byte(value))
	}
	// Both instances answer jobs while the leader reads the entries and sends its
	// worker table to the other one.
	for n := range 200 {
		status, body, err := post(p.nodes[n%2], fmt.Sprintf("/p/%016x", n), previewJob)
		is.NoErr(err)
		if status != http.StatusOK {
			t.Fatalf("job %d is answered %d %s", n, status, body)
		}
	}
}

// Guards against a caller that makes the links between instances fail with a job ID that
// no message can carry.
func TestServeRefusesJobIDsThatAreNotHexadecimal(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t)
	for _, node := range p.nodes {
		awaitReady(t, node.ReadyAddress)
	}
	for _, node := range p.nodes {
		for _, id := range []string{strings.Repeat("%ff", 16), "5c0e7a21d94b36fg", "5c0e7a21d94b36f"} {
			status, _, err := post(node, "/p/"+id, previewJob)
			is.NoErr(err)
			is.Equal(status, http.StatusBadRequest)
		}
		status, _, err := post(node, "/p/5c0e7a21d94b36f8", previewJob)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
}
