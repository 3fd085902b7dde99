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

// settle is the time in which the instances of a world come to know each other:
// two heartbeats and the hold-down.
const settle = 4 * time.Second

func payloads(n int) [][]byte {
	tasks := make([][]byte, n)
	for i := range tasks {
		tasks[i] = fmt.Appendf(nil, "task-%d", i)
	}
	return tasks
}

// mustBeWhole checks an answer against the job's payloads.
func mustBeWhole(is *is.I, a caller.Answer, tasks [][]byte) {
	is.Helper()
	is.Equal(a.Status, caller.Complete)
	is.Equal(len(a.Results), len(tasks))
	for i := range tasks {
		is.Equal(string(a.Results[i]), "done:"+string(tasks[i]))
	}
}

func TestJobIsAnsweredWholeThroughAnyInstance(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 8, 50)
	w.run(settle)
	key := w.key(instanceAddress(0))
	tasks := payloads(300)
	id := w.submit(instanceAddress(5), caller.Job{Key: key, Route: "previews", Tasks: tasks})
	w.run(2 * time.Second)
	is.Equal(len(w.answers[id]), 1)
	a := w.answers[id][0]
	is.Equal(a.Key, key)
	mustBeWhole(is, a, tasks)
	is.Equal(len(w.starts), 300)
	for _, n := range w.starts {
		is.Equal(n, 1)
	}
	for _, n := range w.mostRunning {
		is.True(n <= 8) // slots
	}
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 8, 50)
	w.run(settle)
	key := w.key(instanceAddress(0))
	job := caller.Job{Key: key, Route: "previews", Tasks: payloads(20)}
	first := w.submit(instanceAddress(1), job)
	w.run(50 * time.Millisecond)
	second := w.submit(instanceAddress(2), job)
	w.run(2 * time.Second)
	third := w.submit(instanceAddress(3), job)
	w.run(time.Second)
	for _, id := range []entry.CallerID{first, second, third} {
		is.Equal(len(w.answers[id]), 1)
		mustBeWhole(is, w.answers[id][0], job.Tasks)
	}
	is.Equal(len(w.starts), 20)
}

func TestDrainWaitsUntilAnAnswerHasArrived(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, 6)
	w.run(settle)
	owner, relay := instanceAddress(0), instanceAddress(1)
	key := w.key(owner)
	id := w.submit(relay, caller.Job{Key: key, Route: "previews", Tasks: payloads(4)})
	w.run(50 * time.Millisecond)
	w.drain(owner)
	// The first answer is lost: it comes 100 ms after the start.
	w.lose = func(from, to netip.AddrPort) bool { return from == owner && to == relay }
	w.run(500 * time.Millisecond)
	w.lose = func(_, _ netip.AddrPort) bool { return false }
	w.run(time.Minute)
	is.True(!w.nodes[owner].up)
	is.Equal(len(w.answers[id]), 1)
	is.Equal(w.answers[id][0].Status, caller.Complete)
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 3, 6)
	w.run(settle)
	leaving := serverAddress(2)
	w.list.Instances = append(w.list.Instances, peer.Instance{
		Address: leaving, Kind: peer.BackendServer, Zone: zoneOf(2), Leaving: true,
	})
	w.setList(w.list)
	told := w.now
	for range 50 {
		w.submit(instanceAddress(0), caller.Job{Route: "previews", Tasks: payloads(20)})
		w.run(100 * time.Millisecond)
	}
	is.True(!w.startedAt[leaving].After(told))
	is.True(len(w.starts) == 1000) // 50 jobs of 20 tasks
}

func TestOwnersDeathLeavesTheOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, 3, 6)
	w.run(settle)
	owner := instanceAddress(0)
	job := caller.Job{Key: w.key(owner), Route: "previews", Tasks: payloads(4)}
	first := w.submit(instanceAddress(1), job)
	w.run(20 * time.Millisecond)
	w.kill(owner)
	w.run(100 * time.Millisecond)
	w.boot(owner)
	w.run(10 * time.Second)
	second := w.submit(instanceAddress(2), job)
	third := w.submit(owner, job)
	w.run(10 * time.Second)
	for _, id := range []entry.CallerID{first, second, third} {
		is.Equal(len(w.answers[id]), 1)
		is.Equal(w.answers[id][0].Status, caller.Unknown)
	}
	is.Equal(len(w.starts), 4)
}

func TestNewHolderKeepsWithinTheSlots(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, 6, 12)
	joins := instanceAddress(3)
	w.kill(joins)
	w.run(settle)
	w.runTime = func(entry.Start) time.Duration { return time.Second }
	for range 10 {
		w.submit(instanceAddress(0), caller.Job{Route: "thumbnails", Tasks: payloads(100)})
	}
	w.run(time.Second)
	w.boot(joins)
	w.run(5 * time.Second)
	w.drain(joins)
	w.run(15 * time.Second)
	is.Equal(len(w.starts), 1000) // 10 jobs of 100 tasks
	for _, most := range w.mostRunning {
		is.True(most <= 8) // slots
	}
}

func TestAnotherJobUnderTheSameKeyGetsNoneOfItsResults(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 3, 6)
	w.run(settle)
	key := w.key(instanceAddress(0))
	job := caller.Job{Key: key, Route: "previews", Tasks: payloads(4)}
	other := caller.Job{Key: key, Route: "previews", Tasks: payloads(5)}
	relay := instanceAddress(1)
	first := w.submit(relay, job)
	second := w.submit(relay, other)
	repeat := w.submit(relay, job)
	w.run(2 * time.Second)
	for _, id := range []entry.CallerID{first, repeat} {
		is.Equal(len(w.answers[id]), 1)
		mustBeWhole(is, w.answers[id][0], job.Tasks)
	}
	is.Equal(len(w.answers[second]), 1)
	is.Equal(w.answers[second][0].Status, caller.Unknown)
	is.Equal(w.answers[second][0].Reason, caller.ReasonKeyReused)
}

func TestAnInstanceOwnsABoundedNumberOfJobs(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 1, 1)
	w.run(settle)
	var ids []entry.CallerID
	for range entry.DefaultMaxJobs + 1 {
		ids = append(ids, w.submit(instanceAddress(0), caller.Job{Route: "previews", Tasks: payloads(1)}))
	}
	last := ids[len(ids)-1]
	is.Equal(len(w.answers[ids[0]]), 0)
	is.Equal(len(w.answers[last]), 1)
	is.Equal(w.answers[last][0].Status, caller.NotRun)
	is.Equal(w.answers[last][0].Reason, caller.ReasonOverload)
}
