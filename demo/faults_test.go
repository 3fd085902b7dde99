// Package demo_test provokes faults in real processes: the two programs on
// loopback networks, judged by what the worker stand-ins saw start.
package demo_test

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthwell/amaranthwell/caller"
)

// firstServer is the host number of the first backend server.
const firstServer = 101

// lossTimeout is the timeout of jobs whose answers may be lost for good.
const lossTimeout = 15 * time.Second

func TestFaults(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "../cmd/amaranthwell", "../cmd/amaranthwell-standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	for i, test := range []struct {
		name string
		run  func(n *network)
	}{
		{"killed-owner", killedOwner},
		{"paused-owner", pausedOwner},
		{"log-down", logDown},
		{"rolling-replacement", rollingReplacement},
		{"leaving-server", leavingServer},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t, programs, i+1)
			test.run(n)
			n.check()
		})
	}
}

// fleet starts eight backend servers with four slots each, four entry
// instances from the number 11 on, and publishes the tables.
func (n *network) fleet() []int {
	n.startWorker(firstServer, 8, 4)
	code, output := n.publish("--author", "first", n.tables(1, 4, n.servers(firstServer, 8)...))
	if code != 0 {
		n.t.Fatal(output)
	}
	entries := []int{11, 12, 13, 14}
	n.startEntries(entries...)
	return entries
}

// inFlight submits 20 jobs of 8 tasks under the keys of each entry instance,
// all through the others than the first, and waits until tasks run of the
// first one's keys. What it returns waits for the answers.
func (n *network) inFlight(entries []int) (all []submission, wait func() []answer) {
	for _, e := range entries {
		all = append(all, n.jobs(e, 20, 8, 200*time.Millisecond)...)
	}
	var answers []answer
	done := make(chan struct{})
	go func() {
		defer close(done)
		answers = n.settle(all, entries[1:], answered)
	}()
	n.await("tasks of the owner's jobs", func() bool {
		seen := n.judge(n.workers...)
		return slices.ContainsFunc(all[:20], func(s submission) bool { return len(seen.ByKey[s.Key]) > 0 })
	})
	return all, func() []answer { <-done; return answers }
}

// completes checks that new jobs of the entry instances complete, once the
// fault has been noticed.
func (n *network) completes(entries []int) {
	for _, e := range entries {
		n.await("a complete job", func() bool {
			a, ok := n.submit(n.jobs(e, 1, 8, time.Millisecond)[0], e)
			return ok && a.Status == caller.Complete
		})
	}
}

// killedOwner kills an entry instance with jobs in flight, and submits the same
// keys again through the others, before and after another process takes its
// place.
func killedOwner(n *network) {
	n.timeout = lossTimeout
	entries := n.fleet()
	all, wait := n.inFlight(entries)
	n.is.NoErr(n.entries[11].Process.Signal(syscall.SIGKILL))
	n.settle(all, entries[1:], answered)
	wait()
	n.completes(entries[1:])
	n.startEntry(11)
	n.awaitReady(11)
	for _, a := range n.settle(all[:20], entries, known) {
		if a.Status == caller.Unknown && a.Reason != caller.ReasonOwnerGone {
			n.t.Errorf("%s is unknown for %s, and its owner has ended", a.Key, a.Reason)
		}
	}
	n.completes(entries)
}

// pausedOwner stops an entry instance that owns jobs and holds backend servers
// until its peers no longer believe it to live, and lets it go on.
func pausedOwner(n *network) {
	const pause = 6 * time.Second
	n.timeout = lossTimeout
	entries := n.fleet()
	all, wait := n.inFlight(entries)
	process := n.entries[11].Process
	n.is.NoErr(process.Signal(syscall.SIGSTOP))
	stopped := time.Now()
	n.await("the end of the pause", func() bool {
		suspected := true
		for _, e := range entries[1:] {
			suspected = suspected && n.metric(e, "amaranthwell_peer_live") == len(entries)-2
		}
		return suspected && time.Since(stopped) >= pause
	})
	submitted := func() int {
		sum := 0
		for _, e := range entries[1:] {
			sum += n.metric(e, "amaranthwell_caller_submitted_total")
		}
		return sum
	}
	before := submitted()
	var group sync.WaitGroup
	group.Go(func() { n.settle(all, entries[1:], answered) })
	n.await("all submissions again", func() bool { return submitted() >= before+len(all) })
	n.is.NoErr(process.Signal(syscall.SIGCONT))
	group.Wait()
	wait()
	for _, a := range n.settle(all, entries, known) {
		if !known(a) {
			n.t.Errorf("%s stays unknown", a.Key)
		}
	}
	n.completes(entries)
}

// logDown takes the log away while jobs run and an entry instance starts, and
// then lets two edits race, the answer to one of them lost.
func logDown(n *network) {
	entries := n.fleet()
	faults := n.log() + "/v1/faults"
	n.put(faults, map[string]any{"down": true})
	_, wait := n.inFlight(entries)
	n.startEntry(15)
	n.awaitReady(15)
	entries = append(entries, 15)
	for _, a := range wait() {
		n.is.Equal(a.Status, caller.Complete) // jobs need no log
	}
	n.completes(entries)
	n.put(faults, map[string]any{"lose-answers": 1})

	ids := []string{uuid.NewString(), uuid.NewString()}
	edit := func(i int) (int, string) {
		return n.publish("--author", fmt.Sprint("author-", i), "--base", "1", "--edit-id", ids[i],
			n.tables(2+i, 4, n.servers(firstServer, 8)...))
	}
	var codes, repeated [2]int
	var group sync.WaitGroup
	for i := range ids {
		group.Go(func() { codes[i], _ = edit(i) })
	}
	group.Wait()
	for i := range ids {
		var output string
		repeated[i], output = edit(i)
		n.t.Logf("edit %d, repeated: exit code %d, %s", i, repeated[i], output)
	}
	n.is.Equal(codes, repeated)            // a repetition has the same verdict
	n.is.Equal(codes[0]+codes[1], 1)       // one is accepted (0), one refused (1)
	n.is.Equal(min(codes[0], codes[1]), 0) // none is unknown
	winner := fmt.Sprint("author-", slices.Index(codes[:], 0))
	for _, e := range entries {
		var c struct {
			Revision uint64 `json:"revision"`
			Author   string `json:"author"`
		}
		n.await("revision 2", func() bool { return n.get(n.url(e, 9090)+"/configuration", &c) && c.Revision == 2 })
		n.is.Equal(c.Author, winner)
	}
	n.completes(entries)
}

// rollingReplacement replaces all entry instances, one after another, while
// callers submit jobs. Every job must complete.
func rollingReplacement(n *network) {
	old := n.fleet()
	fresh := []int{21, 22, 23, 24}
	var stop atomic.Bool
	var group sync.WaitGroup
	var current sync.Map
	for i, e := range old {
		current.Store(i, e)
	}
	for i := range old {
		group.Go(func() { n.load(i, &current, &stop) })
	}
	for i, e := range old {
		n.startEntry(fresh[i])
		n.awaitReady(fresh[i])
		current.Store(i, fresh[i])
		n.is.NoErr(n.entries[e].Process.Signal(syscall.SIGTERM))
	}
	for _, e := range old {
		n.is.NoErr(n.entries[e].Wait()) // it ends by itself, with the exit code 0
	}
	stop.Store(true)
	group.Wait()
	for key, answers := range n.book.answers {
		for _, a := range answers {
			if a.Status != caller.Complete {
				n.t.Errorf("%s is %s: %s", key, a.Status, a.Reason)
			}
		}
	}
}

// load submits jobs, one after another, to the entry instance that the balancer
// gives at place i, until stop. A job's keys come from there too, and it is sent
// after the balancer may have taken its owner away.
func (n *network) load(i int, current *sync.Map, stop *atomic.Bool) {
	at := func() int { e, _ := current.Load(i); return e.(int) }
	for !stop.Load() {
		s := n.jobs(at(), 1, 8, 100*time.Millisecond)[0]
		if _, ok := n.submit(s, at()); !ok {
			n.t.Errorf("%s got no answer", s.Key)
		}
	}
}

// leavingServer lets backend servers leave: one that the platform's list says
// to leave, and one that says so itself.
func leavingServer(n *network) {
	const listed, silent = 121, 131
	n.startWorker(firstServer, 2, 4)
	n.startWorker(listed, 1, 4)
	n.startWorker(silent, 1, 4)
	servers := append(n.servers(firstServer, 2), n.address(listed, 9000), n.address(silent, 9000))
	code, output := n.publish("--author", "first", n.tables(1, 4, servers...))
	if code != 0 {
		n.t.Fatal(output)
	}
	entries := []int{11, 12, 13, 14}
	n.startEntries(entries...)
	// A round is more work than the slots of the servers that stay.
	round := func() (onListed, onSilent int) {
		l, s := n.judge(n.workers[1]).Started, n.judge(n.workers[2]).Started
		for _, a := range n.settle(n.jobs(11, 8, 8, 50*time.Millisecond), entries, answered) {
			if a.Status != caller.Complete {
				n.t.Errorf("%s is %s: %s", a.Key, a.Status, a.Reason)
			}
		}
		return n.judge(n.workers[1]).Started - l, n.judge(n.workers[2]).Started - s
	}
	n.await("starts on both servers", func() bool { l, s := round(); return l > 0 && s > 0 })

	n.listServer(n.address(listed, 9000), zones[0], "draining")
	n.put(n.workers[2]+"/v1/faults", map[string]any{"leaving": true})
	said := time.Now()
	n.await("no start on a leaving server", func() bool { l, s := round(); return l == 0 && s == 0 })
	n.t.Logf("no start in a whole round that ended %v after the list said so", time.Since(said))
	for range 10 {
		l, s := round()
		n.is.Equal(l+s, 0) // no task starts on a leaving server
	}
}
