package demo_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/platform"
)

// Time limits of the tests. They affect a result only if they expire.
const (
	// testTimeout is the time within which an awaited condition must hold.
	testTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b"}

// A network is one loopback network with stand-ins of the platform and its workers,
// and with entry instances. The log and the list of servers and instances are in
// separate stores, so that one can fail without the other.
type network struct {
	t        *testing.T
	is       *is.I
	programs string
	dir      string
	number   int
	// timeout is the timeout of jobs.
	timeout time.Duration
	// workers holds the control URLs of the workers.
	workers   []string
	entries   map[int]*exec.Cmd
	answerLog answerLog
}

// newNetwork starts the stores of the platform in the network 127.30.number.0/24.
func newNetwork(t *testing.T, programs string, number int) *network {
	n := &network{t: t, is: is.New(t), programs: programs, dir: t.TempDir(), number: number, timeout: testTimeout, entries: map[int]*exec.Cmd{}}
	n.start("log", "amaranthwell-standin", "store", "--address", n.address(1, 7100))
	n.start("instances", "amaranthwell-standin", "store", "--address", n.address(1, 7200))
	const readiness = "/log-newest?part=0&topic=" + platform.WorkerTopic
	n.await("the log", func() bool { return n.get(n.log()+readiness, nil) })
	n.await("the list", func() bool { return n.get(n.list()+readiness, nil) })
	return n
}

func (n *network) address(host, port int) string {
	return fmt.Sprintf("127.30.%d.%d:%d", n.number, host, port)
}

func (n *network) url(host, port int) string { return "http://" + n.address(host, port) }
func (n *network) log() string               { return n.url(1, 7100) }
func (n *network) list() string              { return n.url(1, 7200) }

// start starts a program, which is killed when the test ends.
func (n *network) start(name, program string, args ...string) *exec.Cmd {
	output, err := os.Create(filepath.Join(n.dir, name+".log"))
	n.is.NoErr(err)
	cmd := exec.Command(filepath.Join(n.programs, program), args...)
	cmd.Stdout, cmd.Stderr = output, output
	n.is.NoErr(cmd.Start())
	n.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = output.Close()
		if text, err := os.ReadFile(output.Name()); err == nil && n.t.Failed() {
			n.t.Logf("%s: %s", name, text[max(0, len(text)-2000):])
		}
	})
	return cmd
}

// startWorker starts a worker with count backend servers at the addresses from host
// on, with slots each, and adds them to the platform's list.
func (n *network) startWorker(host, count, slots int) {
	control := n.address(host, 9001)
	n.start(fmt.Sprint("worker-", host), "amaranthwell-standin", "worker",
		"--first-address", n.address(host, 9000), "--count", fmt.Sprint(count),
		"--slots", fmt.Sprint(slots), "--control", control)
	n.workers = append(n.workers, "http://"+control)
	n.await("worker", func() bool { return n.get("http://"+control+"/v1/starts", nil) })
	for i := range count {
		n.listServer(n.address(host+i, 9000), zones[i%2], "ready")
	}
}

// startEntry starts an entry instance, which adds itself to the platform's list.
func (n *network) startEntry(number int) {
	file := filepath.Join(n.dir, fmt.Sprintf("entry-%d.toml", number))
	text := fmt.Sprintf("peer-address = %q\ncaller-address = %q\noperator-address = %q\nzone = %q\nlog = %q\ninstances = %q\n",
		n.address(number, 7000), n.address(number, 8080), n.address(number, 9090), zones[number%2], n.log(), n.list())
	n.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	n.entries[number] = n.start(fmt.Sprint("entry-", number, "-", time.Now().UnixNano()), "amaranthwell", "entry", "--settings", file)
}

// startEntries starts entry instances, and waits until each is ready and counts all
// others as live.
func (n *network) startEntries(numbers ...int) {
	for _, e := range numbers {
		n.startEntry(e)
	}
	for _, e := range numbers {
		n.awaitReady(e)
		n.await("peers", func() bool { return n.metric(e, "amaranthwell_peer_live") >= len(n.entries)-1 })
	}
}

func (n *network) awaitReady(entry int) {
	n.await(fmt.Sprint("readiness of ", entry), func() bool { return n.get(n.url(entry, 9090)+"/ready", nil) })
}

// metric returns the value of a metric of an entry instance, or -1 if it can't be
// read.
func (n *network) metric(entry int, name string) int {
	response, err := client.Get(n.url(entry, 9090) + "/metrics")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(text), "\n") {
		var value int
		if _, err := fmt.Sscanf(line, name+" %d", &value); err == nil {
			return value
		}
	}
	return -1
}

// listServer writes a backend server's record to the platform's list.
func (n *network) listServer(address, zone, state string) {
	n.put(n.list()+"/v1/records/"+platform.WorkerTopic+"/"+address, map[string]any{
		"service": "editing", "address": address, "zone": zone, "state": state, "capacity": map[string]int{"cpu": 1},
	})
}

// put sends a PUT request with a JSON body and expects status 204.
func (n *network) put(url string, body any) {
	text, err := json.Marshal(body)
	n.is.NoErr(err)
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
	n.is.NoErr(err)
	response, err := client.Do(request)
	n.is.NoErr(err)
	defer response.Body.Close()
	n.is.Equal(response.StatusCode, http.StatusNoContent)
}

// client cancels requests that take longer than any answer may take.
var client = &http.Client{Timeout: testTimeout}

// get reports whether url answers 200, and decodes the JSON body into v.
func (n *network) get(url string, v any) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && (v == nil || json.NewDecoder(response.Body).Decode(v) == nil)
}

// await waits until a condition holds, and fails the test after testTimeout.
func (n *network) await(what string, holds func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			n.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// tables writes tables with one route and one pool of the servers, and returns the
// file's name. Tables with different shares have different files.
func (n *network) tables(share, slots int, servers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[routes]]\nname = \"previews\"\npool = \"editing\"\nurgency = 50\nshare = %d\nidempotent = false\ntimeout = \"60s\"\n[[pools]]\nname = \"editing\"\n", share)
	for i, s := range servers {
		fmt.Fprintf(&b, "[[pools.servers]]\naddress = %q\nzone = %q\nrack = \"rack-1\"\nslots = %d\nconnections = 64\ncores = 16\nmemory-mib = 1024\n", s, zones[i%2], slots)
	}
	file := filepath.Join(n.dir, fmt.Sprintf("tables-%d.toml", share))
	n.is.NoErr(os.WriteFile(file, []byte(b.String()), 0o600))
	return file
}

// servers returns the addresses of count backend servers from host on.
func (n *network) servers(host, count int) []string {
	var all []string
	for i := range count {
		all = append(all, n.address(host+i, 9000))
	}
	return all
}

// publish runs the publish command and returns its exit code and output.
func (n *network) publish(args ...string) (int, string) {
	args = append([]string{"publish", "--log", n.log(), "--timeout", testTimeout.String()}, args...)
	cmd := exec.Command(filepath.Join(n.programs, "amaranthwell"), args...)
	output, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(output)
}
