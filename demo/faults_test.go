// Package demo_test injects faults into real processes of the two programs on
// loopback networks, and checks the answers against the task starts that the worker
// stand-ins count.
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

// firstServer is the last octet of the first backend server's address.
const firstServer = 101

// lossTimeout is the timeout of jobs whose answers may be lost permanently.
const lossTimeout = 15 * time.Second

// TestAnswersMatchStartsUnderFaults injects one fault per subtest while jobs run, and
// checks afterwards that no task started twice and that every answer agrees with what
// the workers ran.
func TestAnswersMatchStartsUnderFaults(t *testing.T) {
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
			n.checkAnswers()
		})
	}
}

// startFleet starts eight backend servers with four slots each, publishes the tables
// and starts the entry instances 11 to 14.
func (n *network) startFleet() []int {
	n.startWorker(firstServer, 8, 4)
	code, output := n.publish("--author", "first", n.tables(1, 4, n.servers(firstServer, 8)...))
	if code != 0 {
		n.t.Fatal(output)
	}
	entries := []int{11, 12, 13, 14}
	n.startEntries(entries...)
	return entries
}

// submitInBackground submits 20 jobs of 8 tasks under keys of each entry instance,
// all through instances other than the first, and waits until tasks under the first
// one's keys have started. The function that it returns waits for the answers.
func (n *network) submitInBackground(entries []int) (all []submission, wait func() []answer) {
	for _, e := range entries {
		all = append(all, n.newSubmissions(e, 20, 8, 200*time.Millisecond)...)
	}
	var answers []answer
	done := make(chan struct{})
	go func() {
		defer close(done)
		answers = n.submitUntil(all, entries[1:], anyAnswer)
	}()
	n.await("tasks of the owner's jobs", func() bool {
		counted := n.workerStarts(n.workers...)
		return slices.ContainsFunc(all[:20], func(s submission) bool { return len(counted.ByKey[s.Key]) > 0 })
	})
	return all, func() []answer { <-done; return answers }
}

// awaitCompleteJobs waits until a new job of each entry instance completes. Jobs may
// fail before the fault is detected.
func (n *network) awaitCompleteJobs(entries []int) {
	for _, e := range entries {
		n.await("a complete job", func() bool {
			a, ok := n.submit(n.newSubmissions(e, 1, 8, time.Millisecond)[0], e)
			return ok && a.Status == caller.Complete
		})
	}
}

// killedOwner kills an entry instance while its jobs run. It submits the jobs again under
// the same keys, through the other instances before the restart, and those of the killed
// owner through all instances after it.
func killedOwner(n *network) {
	n.timeout = lossTimeout
	entries := n.startFleet()
	all, wait := n.submitInBackground(entries)
	n.is.NoErr(n.entries[11].Process.Signal(syscall.SIGKILL))
	n.submitUntil(all, entries[1:], anyAnswer)
	wait()
	n.awaitCompleteJobs(entries[1:])
	n.startEntry(11)
	n.awaitReady(11)
	for _, a := range n.submitUntil(all[:20], entries, outcomeKnown) {
		if a.Status == caller.Unknown && a.Reason != caller.ReasonOwnerGone {
			n.t.Errorf("%s is unknown with reason %s, although its owner has ended", a.Key, a.Reason)
		}
	}
	n.awaitCompleteJobs(entries)
}

// pausedOwner pauses an entry instance that owns jobs and holds backend servers until
// its peers no longer count it as live, and resumes it after the same keys have been
// submitted again through the others.
func pausedOwner(n *network) {
	const pause = 6 * time.Second
	n.timeout = lossTimeout
	entries := n.startFleet()
	all, wait := n.submitInBackground(entries)
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
	group.Go(func() { n.submitUntil(all, entries[1:], anyAnswer) })
	n.await("all submissions again", func() bool { return submitted() >= before+len(all) })
	n.is.NoErr(process.Signal(syscall.SIGCONT))
	group.Wait()
	wait()
	for _, a := range n.submitUntil(all, entries, outcomeKnown) {
		if !outcomeKnown(a) {
			n.t.Errorf("%s stays unknown", a.Key)
		}
	}
	n.awaitCompleteJobs(entries)
}

// logDown makes the log unavailable while jobs run and an entry instance starts, and
// then publishes two edits concurrently, the answer to one of which is lost.
func logDown(n *network) {
	entries := n.startFleet()
	faults := n.log() + "/v1/faults"
	n.put(faults, map[string]any{"down": true})
	_, wait := n.submitInBackground(entries)
	n.startEntry(15)
	n.awaitReady(15)
	entries = append(entries, 15)
	for _, a := range wait() {
		n.is.Equal(a.Status, caller.Complete) // jobs need no log
	}
	n.awaitCompleteJobs(entries)
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
	n.is.Equal(codes, repeated)            // a repeated edit has the same result
	n.is.Equal(codes[0]+codes[1], 1)       // one edit is accepted (0), one refused (1)
	n.is.Equal(min(codes[0], codes[1]), 0) // no outcome is unknown
	winner := fmt.Sprint("author-", slices.Index(codes[:], 0))
	for _, e := range entries {
		var c struct {
			Revision uint64 `json:"revision"`
			Author   string `json:"author"`
		}
		n.await("revision 2", func() bool { return n.get(n.url(e, 9090)+"/configuration", &c) && c.Revision == 2 })
		n.is.Equal(c.Author, winner)
	}
	n.awaitCompleteJobs(entries)
}

// rollingReplacement replaces all entry instances, one after another, while
// callers submit jobs. Every job must complete.
func rollingReplacement(n *network) {
	old := n.startFleet()
	replacements := []int{21, 22, 23, 24}
	var stop atomic.Bool
	var group sync.WaitGroup
	var current sync.Map
	for i, e := range old {
		current.Store(i, e)
	}
	for i := range old {
		group.Go(func() { n.submitContinuously(i, &current, &stop) })
	}
	for i, e := range old {
		n.startEntry(replacements[i])
		n.awaitReady(replacements[i])
		current.Store(i, replacements[i])
		n.is.NoErr(n.entries[e].Process.Signal(syscall.SIGTERM))
	}
	for _, e := range old {
		n.is.NoErr(n.entries[e].Wait()) // it ends by itself with exit code 0
	}
	stop.Store(true)
	group.Wait()
	for key, answers := range n.answerLog.answers {
		for _, a := range answers {
			if a.Status != caller.Complete {
				n.t.Errorf("%s is %s: %s", key, a.Status, a.Reason)
			}
		}
	}
}

// submitContinuously submits jobs, one after another, to the entry instance that
// current holds at i, as a balancer would choose it, until stop is set. The job's key
// comes from the instance that current held before, so that a job may be submitted
// after its owner has been replaced.
func (n *network) submitContinuously(i int, current *sync.Map, stop *atomic.Bool) {
	at := func() int { e, _ := current.Load(i); return e.(int) }
	for !stop.Load() {
		s := n.newSubmissions(at(), 1, 8, 100*time.Millisecond)[0]
		if _, ok := n.submit(s, at()); !ok {
			n.t.Errorf("%s got no answer", s.Key)
		}
	}
}

// leavingServer makes two backend servers leave: one that the platform's list marks
// as draining, and one that reports it in its own answers. After that, no
// task may start on them.
func leavingServer(n *network) {
	const listed, selfReported = 121, 131
	n.startWorker(firstServer, 2, 4)
	n.startWorker(listed, 1, 4)
	n.startWorker(selfReported, 1, 4)
	servers := append(n.servers(firstServer, 2), n.address(listed, 9000), n.address(selfReported, 9000))
	code, output := n.publish("--author", "first", n.tables(1, 4, servers...))
	if code != 0 {
		n.t.Fatal(output)
	}
	entries := []int{11, 12, 13, 14}
	n.startEntries(entries...)
	// A batch has more tasks than the servers that stay have slots.
	runBatch := func() (onListed, onSelfReported int) {
		l, s := n.workerStarts(n.workers[1]).Started, n.workerStarts(n.workers[2]).Started
		for _, a := range n.submitUntil(n.newSubmissions(11, 8, 8, 50*time.Millisecond), entries, anyAnswer) {
			if a.Status != caller.Complete {
				n.t.Errorf("%s is %s: %s", a.Key, a.Status, a.Reason)
			}
		}
		return n.workerStarts(n.workers[1]).Started - l, n.workerStarts(n.workers[2]).Started - s
	}
	n.await("starts on both servers", func() bool { l, s := runBatch(); return l > 0 && s > 0 })

	n.listServer(n.address(listed, 9000), zones[0], "draining")
	n.put(n.workers[2]+"/v1/faults", map[string]any{"leaving": true})
	leftAt := time.Now()
	n.await("no start on a leaving server", func() bool { l, s := runBatch(); return l == 0 && s == 0 })
	n.t.Logf("a batch without a start on the leaving servers ended %v after they began to leave", time.Since(leftAt))
	for range 10 {
		l, s := runBatch()
		n.is.Equal(l+s, 0) // no task starts on a leaving server
	}
}
