package entry_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// A modelKey is the state of one key in the reference model. The model is one process
// with one map of keys. It keeps the first job under each key, and the events that allow
// an answer other than complete.
type modelKey struct {
	key caller.Key
	// firstJob is the first job under the key that reached its owner, or nil.
	firstJob *caller.Job
	// repeats holds the jobs submitted under the key, by caller.
	repeats map[entry.CallerID]caller.Job
	// incarnation is that of the owner when it issued the key.
	incarnation int
	// cancelled is set if a caller has cancelled the key's job.
	cancelled bool
	// crashAffected is set if an instance was killed while the job may have
	// run, or so shortly before its submission that the peers did not suspect
	// that instance yet.
	crashAffected bool
}

// A modelMachine drives a simulation and the reference model with the same events.
type modelMachine struct {
	sim  *simulation
	keys []*modelKey
	// lastKilled is when a process was last killed.
	lastKilled time.Time
}

const (
	modelInstances = 3
	// suspicionTime is longer than the silence after which a peer is suspect.
	// A killed instance may still be assigned tasks until it is suspect.
	suspicionTime = 5 * time.Second
)

func newModelMachine(t *rapid.T) *modelMachine {
	sim := newSimulation(rapid.Uint64Range(1, 1000).Draw(t, "seed"), modelInstances, 3)
	sim.run(settleTime)
	return &modelMachine{sim: sim}
}

// node draws an instance. The argument who names the draw in reports of failures.
func (m *modelMachine) node(t *rapid.T, who string) *node {
	return m.sim.nodes[instanceAddress(rapid.IntRange(0, modelInstances-1).Draw(t, who))]
}

// job returns a job with the given key and number of tasks.
func (m *modelMachine) job(key caller.Key, tasks int) caller.Job {
	return caller.Job{Key: key, Route: "previews", Timeout: 5 * time.Second, Tasks: payloads(tasks)}
}

// New submits a job with a new key.
func (m *modelMachine) New(t *rapid.T) {
	owner := m.node(t, "owner")
	if !owner.up {
		t.Skip("the owner is down")
	}
	k := &modelKey{key: m.sim.key(owner.address), incarnation: owner.incarnation, repeats: make(map[entry.CallerID]caller.Job)}
	m.keys = append(m.keys, k)
	m.submit(t, k)
}

// Repeat submits a job under a used key again.
func (m *modelMachine) Repeat(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	m.submit(t, rapid.SampledFrom(m.keys).Draw(t, "key"))
}

// submit submits a job under the key k through a random instance. At times its tasks
// differ from those of the first job under the key. The job reaches the key's owner
// before the next event.
func (m *modelMachine) submit(t *rapid.T, k *modelKey) {
	relay := m.node(t, "relay")
	if !relay.up {
		t.Skip("the relay is down")
	}
	job := m.job(k.key, rapid.SampledFrom([]int{4, 4, 4, 5}).Draw(t, "tasks"))
	k.repeats[m.sim.submit(relay.address, job)] = job
	if m.sim.now.Sub(m.lastKilled) < suspicionTime {
		k.crashAffected = true
	}
	m.sim.run(2 * messageDelay)
	if k.firstJob == nil && !m.ownerEnded(k) {
		k.firstJob = &job
	}
}

// Cancel cancels a key's job.
func (m *modelMachine) Cancel(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	k := rapid.SampledFrom(m.keys).Draw(t, "key")
	k.cancelled = true
	m.sim.deliver(m.node(t, "relay"), func(now time.Time, i *entry.Instance) { i.Cancel(now, k.key) })
}

// Pass advances the clock.
func (m *modelMachine) Pass(t *rapid.T) {
	m.sim.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// Kill kills a process that is up.
func (m *modelMachine) Kill(t *rapid.T) {
	n := m.node(t, "killed")
	if !n.up {
		t.Skip("the process is down")
	}
	m.sim.kill(n.address)
	m.lastKilled = m.sim.now
	for _, k := range m.keys {
		k.crashAffected = true
	}
}

// Boot restarts a process that was killed.
func (m *modelMachine) Boot(t *rapid.T) {
	n := m.node(t, "booted")
	if n.up {
		t.Skip("the process is up")
	}
	m.sim.boot(n.address)
	m.sim.run(settleTime)
}

// Check checks the invariants. It is called after every action.
func (m *modelMachine) Check(t *rapid.T) {
	for _, k := range m.keys {
		m.checkKey(t, k)
	}
	for task, n := range m.sim.starts {
		if n > 1 {
			t.Fatalf("task %s started %d times", task, n)
		}
	}
}

// ownerEnded reports whether the key's owner has ended.
func (m *modelMachine) ownerEnded(k *modelKey) bool {
	return m.sim.nodes[k.key.Owner].incarnation != k.incarnation
}

// checkKey fails unless the reference model allows each answer to a caller under the
// key k.
func (m *modelMachine) checkKey(t *rapid.T, k *modelKey) {
	var answered caller.Status
	for id, job := range k.repeats {
		for _, a := range m.sim.answers[id] {
			if k.firstJob != nil && !reflect.DeepEqual(job, *k.firstJob) {
				if a.Status != caller.Unknown {
					t.Fatalf("another job under a used key was answered %s", a.Status)
				}
				continue
			}
			m.checkStatus(t, k, a)
			if a.Status == caller.Unknown {
				continue
			}
			if answered != "" && answered != a.Status {
				t.Fatalf("callers of one key were answered %s and %s", answered, a.Status)
			}
			answered = a.Status
		}
	}
}

// checkStatus fails unless earlier events allow the status of the answer a to a caller
// of the first job under the key k.
func (m *modelMachine) checkStatus(t *rapid.T, k *modelKey, a caller.Answer) {
	switch a.Status {
	case caller.Complete:
		if len(a.Results) != len(k.firstJob.Tasks) {
			t.Fatalf("%d results of %d", len(a.Results), len(k.firstJob.Tasks))
		}
	case caller.Failed:
		if !k.cancelled && !k.crashAffected {
			t.Fatalf("failed (%s) without a cancellation or crash", a.Reason)
		}
	case caller.NotRun:
		if !k.cancelled && !k.crashAffected {
			t.Fatalf("not-run (%s) without a cancellation or crash", a.Reason)
		}
		if len(m.startsOf(k)) > 0 {
			t.Fatalf("not-run although %v started", m.startsOf(k))
		}
	default:
		expired := m.sim.now.Sub(simulationStart)-k.key.Issued >= entry.DefaultUseWithin
		if !m.ownerEnded(k) && !k.crashAffected && !expired {
			t.Fatalf("unknown (%s) although the owner has a record of the key", a.Reason)
		}
	}
}

// startsOf returns the tasks under the key that were started.
func (m *modelMachine) startsOf(k *modelKey) []string {
	var tasks []string
	for task := range m.sim.starts {
		if len(task) > len(k.key.String()) && task[:len(k.key.String())] == k.key.String() {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// TestInstancesAgreeWithReferenceModel drives three entry instances and the reference
// model with the same random events and compares the answers to callers.
func TestInstancesAgreeWithReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.sim.run(10 * time.Second)
		m.Check(t)
		for incarnation, ids := range m.sim.waitingCallers {
			for _, id := range ids {
				if len(m.sim.answers[id]) != 1 {
					t.Fatalf("a caller at %v got %d answers", incarnation, len(m.sim.answers[id]))
				}
			}
		}
	})
}
