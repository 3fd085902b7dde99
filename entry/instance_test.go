package entry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// settleTime is the time after which all instances of a simulation know each other
// and hold their backend servers: two heartbeats and the hold-down.
const settleTime = 4 * time.Second

// payloads returns the distinct payloads of n tasks.
func payloads(n int) [][]byte {
	tasks := make([][]byte, n)
	for i := range tasks {
		tasks[i] = fmt.Appendf(nil, "task-%d", i)
	}
	return tasks
}

// mustBeComplete checks that an answer is complete and holds the result of each of the
// job's payloads, in order.
func mustBeComplete(is *is.I, a caller.Answer, tasks [][]byte) {
	is.Helper()
	is.Equal(a.Status, caller.Complete)
	is.Equal(len(a.Results), len(tasks))
	for i := range tasks {
		is.Equal(string(a.Results[i]), "done:"+string(tasks[i]))
	}
}

// TestJobCompletesThroughAnyInstance checks that a job submitted through an instance
// other than its owner gets all results, starts each task once and stays within the
// slots of the backend servers.
func TestJobCompletesThroughAnyInstance(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 8, 50)
	sim.run(settleTime)
	key := sim.key(instanceAddress(0))
	tasks := payloads(300)
	id := sim.submit(instanceAddress(5), caller.Job{Key: key, Route: "previews", Tasks: tasks})
	sim.run(2 * time.Second)
	is.Equal(len(sim.answers[id]), 1)
	a := sim.answers[id][0]
	is.Equal(a.Key, key)
	mustBeComplete(is, a, tasks)
	is.Equal(len(sim.starts), 300)
	for _, n := range sim.starts {
		is.Equal(n, 1)
	}
	for _, n := range sim.maxRunning {
		is.True(n <= 8) // slots
	}
}

// TestResubmissionGetsTheFirstAnswer checks that submitting a job again under its key,
// while it runs or afterwards, gets the answer of the first run and starts nothing.
func TestResubmissionGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2, 8, 50)
	sim.run(settleTime)
	key := sim.key(instanceAddress(0))
	job := caller.Job{Key: key, Route: "previews", Tasks: payloads(20)}
	first := sim.submit(instanceAddress(1), job)
	sim.run(50 * time.Millisecond)
	second := sim.submit(instanceAddress(2), job)
	sim.run(2 * time.Second)
	third := sim.submit(instanceAddress(3), job)
	sim.run(time.Second)
	for _, id := range []entry.CallerID{first, second, third} {
		is.Equal(len(sim.answers[id]), 1)
		mustBeComplete(is, sim.answers[id][0], job.Tasks)
	}
	is.Equal(len(sim.starts), 20)
}

// TestDrainWaitsUntilAnAnswerHasArrived checks that a leaving owner does not end while
// the relay has not acknowledged an answer. The first envelope with the answer is lost.
func TestDrainWaitsUntilAnAnswerHasArrived(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3, 3, 6)
	sim.run(settleTime)
	owner, relay := instanceAddress(0), instanceAddress(1)
	key := sim.key(owner)
	id := sim.submit(relay, caller.Job{Key: key, Route: "previews", Tasks: payloads(4)})
	sim.run(50 * time.Millisecond)
	sim.drain(owner)
	// The first answer is lost: it is sent 100 ms after the start.
	sim.lose = func(from, to netip.AddrPort) bool { return from == owner && to == relay }
	sim.run(500 * time.Millisecond)
	sim.lose = func(_, _ netip.AddrPort) bool { return false }
	sim.run(time.Minute)
	is.True(!sim.nodes[owner].up)
	is.Equal(len(sim.answers[id]), 1)
	is.Equal(sim.answers[id][0].Status, caller.Complete)
}

// TestLeavingServerGetsNoNewTasks checks that no task starts on a backend server after
// the platform's list reports it as leaving, and that all tasks start on other servers.
func TestLeavingServerGetsNoNewTasks(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(4, 3, 6)
	sim.run(settleTime)
	leaving := serverAddress(2)
	sim.list.Instances = append(sim.list.Instances, peer.Instance{
		Address: leaving, Kind: peer.BackendServer, Zone: zoneOf(2), Leaving: true,
	})
	sim.setList(sim.list)
	listedAt := sim.now
	for range 50 {
		sim.submit(instanceAddress(0), caller.Job{Route: "previews", Tasks: payloads(20)})
		sim.run(100 * time.Millisecond)
	}
	is.True(!sim.startedAt[leaving].After(listedAt))
	is.True(len(sim.starts) == 1000) // 50 jobs of 20 tasks
}

// TestOwnerCrashLeavesOutcomeUnknown checks that after a crash and restart of a job's
// owner the job is answered as unknown, also when it is resubmitted, and that its tasks
// are not started again.
func TestOwnerCrashLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(5, 3, 6)
	sim.run(settleTime)
	owner := instanceAddress(0)
	job := caller.Job{Key: sim.key(owner), Route: "previews", Tasks: payloads(4)}
	first := sim.submit(instanceAddress(1), job)
	sim.run(20 * time.Millisecond)
	sim.kill(owner)
	sim.run(100 * time.Millisecond)
	sim.boot(owner)
	sim.run(10 * time.Second)
	second := sim.submit(instanceAddress(2), job)
	third := sim.submit(owner, job)
	sim.run(10 * time.Second)
	for _, id := range []entry.CallerID{first, second, third} {
		is.Equal(len(sim.answers[id]), 1)
		is.Equal(sim.answers[id][0].Status, caller.Unknown)
	}
	is.Equal(len(sim.starts), 4)
}

// TestHolderChangeStaysWithinSlots checks that no backend server runs more tasks than
// it has slots while its holder changes. A new holder would exceed the slots if it
// ignored the tasks of the former holder that still run.
func TestHolderChangeStaysWithinSlots(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6, 6, 12)
	joining := instanceAddress(3)
	sim.kill(joining)
	sim.run(settleTime)
	sim.runTime = func(entry.Start) time.Duration { return time.Second }
	for range 10 {
		sim.submit(instanceAddress(0), caller.Job{Route: "thumbnails", Tasks: payloads(100)})
	}
	sim.run(time.Second)
	sim.boot(joining)
	sim.run(5 * time.Second)
	sim.drain(joining)
	sim.run(15 * time.Second)
	is.Equal(len(sim.starts), 1000) // 10 jobs of 100 tasks
	for _, most := range sim.maxRunning {
		is.True(most <= 8) // slots
	}
}

// TestAnotherJobUnderTheSameKeyGetsNoneOfItsResults checks that a job with other tasks
// under a used key is answered as unknown because the key was reused, and that the first
// job gets its own results, even if both wait at the same relay.
func TestAnotherJobUnderTheSameKeyGetsNoneOfItsResults(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(7, 3, 6)
	sim.run(settleTime)
	key := sim.key(instanceAddress(0))
	job := caller.Job{Key: key, Route: "previews", Tasks: payloads(4)}
	other := caller.Job{Key: key, Route: "previews", Tasks: payloads(5)}
	relay := instanceAddress(1)
	first := sim.submit(relay, job)
	second := sim.submit(relay, other)
	repeat := sim.submit(relay, job)
	sim.run(2 * time.Second)
	for _, id := range []entry.CallerID{first, repeat} {
		is.Equal(len(sim.answers[id]), 1)
		mustBeComplete(is, sim.answers[id][0], job.Tasks)
	}
	is.Equal(len(sim.answers[second]), 1)
	is.Equal(sim.answers[second][0].Status, caller.Unknown)
	is.Equal(sim.answers[second][0].Reason, caller.ReasonKeyReused)
}

// TestOwnedJobsAreBounded checks that an instance refuses a job when it owns MaxJobs
// open jobs.
func TestOwnedJobsAreBounded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(8, 1, 1)
	sim.run(settleTime)
	var ids []entry.CallerID
	for range entry.DefaultMaxJobs + 1 {
		ids = append(ids, sim.submit(instanceAddress(0), caller.Job{Route: "previews", Tasks: payloads(1)}))
	}
	last := ids[len(ids)-1]
	is.Equal(len(sim.answers[ids[0]]), 0)
	is.Equal(len(sim.answers[last]), 1)
	is.Equal(sim.answers[last][0].Status, caller.NotRun)
	is.Equal(sim.answers[last][0].Reason, caller.ReasonOverload)
}
