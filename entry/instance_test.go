package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
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
