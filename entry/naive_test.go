package entry_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// A naiveKey is what the naive version, one process with one map, knows of one
// key: the job that came first, and what has happened that allows another end
// than a whole answer.
type naiveKey struct {
	key       caller.Key
	first     *caller.Job
	repeats   map[entry.CallerID]caller.Job
	life      int
	cancelled bool
	// shaken says that an instance died while the job may have run, or
	// unnoticed before.
	shaken bool
}

// A naiveMachine drives a world and the naive version with the same events.
type naiveMachine struct {
	world *world
	keys  []*naiveKey
	// killed is when a process was last killed.
	killed time.Time
}

const (
	naiveInstances = 3
	// unnoticed is longer than the silence after which a peer is suspected:
	// until then it is given tasks.
	unnoticed = 5 * time.Second
)

func newNaiveMachine(t *rapid.T) *naiveMachine {
	w := newWorld(rapid.Uint64Range(1, 1000).Draw(t, "seed"), naiveInstances, 3)
	w.run(settle)
	return &naiveMachine{world: w}
}

func (m *naiveMachine) node(t *rapid.T, who string) *node {
	return m.world.nodes[instanceAddress(rapid.IntRange(0, naiveInstances-1).Draw(t, who))]
}

func (m *naiveMachine) job(key caller.Key, tasks int) caller.Job {
	return caller.Job{Key: key, Route: "previews", Timeout: 5 * time.Second, Tasks: payloads(tasks)}
}

// New submits a job with a new key.
func (m *naiveMachine) New(t *rapid.T) {
	owner := m.node(t, "owner")
	if !owner.up {
		t.Skip("the owner is down")
	}
	k := &naiveKey{key: m.world.key(owner.address), life: owner.life, repeats: make(map[entry.CallerID]caller.Job)}
	m.keys = append(m.keys, k)
	m.submit(t, k)
}

// Repeat submits a key again.
func (m *naiveMachine) Repeat(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	m.submit(t, rapid.SampledFrom(m.keys).Draw(t, "key"))
}

// submit sends a job to an instance; at times its tasks are others than the
// first one's. The job reaches its owner before anything else happens.
func (m *naiveMachine) submit(t *rapid.T, k *naiveKey) {
	relay := m.node(t, "relay")
	if !relay.up {
		t.Skip("the relay is down")
	}
	job := m.job(k.key, rapid.SampledFrom([]int{4, 4, 4, 5}).Draw(t, "tasks"))
	k.repeats[m.world.submit(relay.address, job)] = job
	if m.world.now.Sub(m.killed) < unnoticed {
		k.shaken = true
	}
	m.world.run(2 * worldDelay)
	if k.first == nil && !m.lost(k) {
		k.first = &job
	}
}

// Cancel cancels a key's job.
func (m *naiveMachine) Cancel(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	k := rapid.SampledFrom(m.keys).Draw(t, "key")
	k.cancelled = true
	m.world.give(m.node(t, "relay"), func(now time.Time, i *entry.Instance) { i.Cancel(now, k.key) })
}

// Pass lets time pass.
func (m *naiveMachine) Pass(t *rapid.T) {
	m.world.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// Kill ends a process, and Boot starts one anew.
func (m *naiveMachine) Kill(t *rapid.T) {
	n := m.node(t, "killed")
	if !n.up {
		t.Skip("it is down")
	}
	m.world.kill(n.address)
	m.killed = m.world.now
	for _, k := range m.keys {
		k.shaken = true
	}
}

// Boot starts a process that was killed.
func (m *naiveMachine) Boot(t *rapid.T) {
	n := m.node(t, "booted")
	if n.up {
		t.Skip("it is up")
	}
	m.world.boot(n.address)
	m.world.run(settle)
}

// Check runs after every step.
func (m *naiveMachine) Check(t *rapid.T) {
	for _, k := range m.keys {
		m.check(t, k)
	}
	for task, n := range m.world.starts {
		if n > 1 {
			t.Fatalf("task %s started %d times", task, n)
		}
	}
}

// lost reports whether the key's owner has ended.
func (m *naiveMachine) lost(k *naiveKey) bool { return m.world.nodes[k.key.Owner].life != k.life }

// check fails unless the naive version allows each answer about the key.
func (m *naiveMachine) check(t *rapid.T, k *naiveKey) {
	var said caller.Status
	for id, job := range k.repeats {
		for _, a := range m.world.answers[id] {
			if k.first != nil && !reflect.DeepEqual(job, *k.first) {
				if a.Status != caller.Unknown {
					t.Fatalf("another job under a used key was told %s", a.Status)
				}
				continue
			}
			m.checkStatus(t, k, a)
			if a.Status == caller.Unknown {
				continue
			}
			if said != "" && said != a.Status {
				t.Fatalf("callers of one key were told %s and %s", said, a.Status)
			}
			said = a.Status
		}
	}
}

// checkStatus fails unless something has happened that allows the status.
func (m *naiveMachine) checkStatus(t *rapid.T, k *naiveKey, a caller.Answer) {
	switch a.Status {
	case caller.Complete:
		if len(a.Results) != len(k.first.Tasks) {
			t.Fatalf("%d results of %d", len(a.Results), len(k.first.Tasks))
		}
	case caller.Failed:
		if !k.cancelled && !k.shaken {
			t.Fatalf("failed (%s) although nothing did", a.Reason)
		}
	case caller.NotRun:
		if !k.cancelled && !k.shaken {
			t.Fatalf("not-run (%s) although nothing kept it", a.Reason)
		}
		if len(m.startsOf(k)) > 0 {
			t.Fatalf("not-run although %v started", m.startsOf(k))
		}
	default:
		old := m.world.now.Sub(worldStart)-k.key.Issued >= entry.DefaultUseWithin
		if !m.lost(k) && !k.shaken && !old {
			t.Fatalf("unknown (%s) although the owner knows", a.Reason)
		}
	}
}

func (m *naiveMachine) startsOf(k *naiveKey) []string {
	var tasks []string
	for task := range m.world.starts {
		if len(task) > len(k.key.String()) && task[:len(k.key.String())] == k.key.String() {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// TestInstancesAgreeWithNaive drives three entry instances and the naive version
// with the same events.
func TestInstancesAgreeWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newNaiveMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.world.run(10 * time.Second)
		m.Check(t)
		for life, ids := range m.world.waits {
			for _, id := range ids {
				if len(m.world.answers[id]) != 1 {
					t.Fatalf("a caller at %v got %d answers", life, len(m.world.answers[id]))
				}
			}
		}
	})
}
