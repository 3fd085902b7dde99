package backend_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// begin is an arbitrary instant at which the tests start.
var begin = time.Unix(1_000_000, 0)

// servers returns n backend servers with the given number of slots each.
func servers(n, slots int) []operator.Server {
	rows := make([]operator.Server, n)
	for i := range rows {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 8000)
		rows[i] = operator.Server{Address: address, Slots: slots, Cores: 16, MemoryMiB: 64 << 10}
	}
	return rows
}

func newScheduler(t testing.TB) *backend.Scheduler[int] {
	sched, err := backend.NewScheduler[int](backend.SchedulerConfig{Pool: "editing"})
	if err != nil {
		t.Fatal(err)
	}
	return sched
}

func ExampleScheduler() {
	now := time.Unix(0, 0)
	sched, err := backend.NewScheduler[string](backend.SchedulerConfig{Pool: "editing"})
	if err != nil {
		panic(err)
	}
	sched.SetRoutes([]operator.Route{{Name: "preview", Pool: "editing", Urgency: 90, Share: 10}})
	sched.SetServers(now, []operator.Server{{Address: netip.MustParseAddrPort("127.0.0.1:8000"), Slots: 1}})
	sched.Push(now, backend.Task[string]{ID: "first", Route: "preview"})
	sched.Push(now, backend.Task[string]{ID: "second", Route: "preview"})
	start, ok := sched.Next(now)
	fmt.Println(start.ID, start.Server, ok)
	_, ok = sched.Next(now)
	fmt.Println(ok)
	sched.Done(now.Add(time.Second), start.ID, backend.Outcome{Kind: backend.Done})
	start, ok = sched.Next(now.Add(time.Second))
	fmt.Println(start.ID, ok)
	// Output:
	// first 127.0.0.1:8000 true
	// false
	// second true
}

// A model tracks the expected state of a Scheduler's tasks and servers.
type model struct {
	sched *backend.Scheduler[int]
	now   time.Time
	// held holds the servers of the last SetServers, and slots their numbers
	// of slots by address.
	held  []operator.Server
	slots map[netip.AddrPort]int
	// waiting maps the ID of each waiting task to its deadline, which is zero
	// if there is none. started maps the ID of each running task to its Start.
	waiting map[int]time.Time
	started map[int]backend.Start[int]
	// running is the number of this instance's running tasks by server, and
	// formerHolderTasks the number of the former holder's tasks.
	running           map[netip.AddrPort]int
	formerHolderTasks map[netip.AddrPort]int
	// leaving reports which servers the platform's list marks as leaving, and
	// known which servers were ever held.
	leaving map[netip.AddrPort]bool
	known   map[netip.AddrPort]bool
	// lastID is the ID of the task that was pushed last.
	lastID int
}

// TestEachTaskIsInOneState checks with random operations that each pushed
// task is always in exactly one of the states waiting, running, removed,
// overdue and done, and that the tasks on a server never exceed its slots,
// cores and memory.
func TestEachTaskIsInOneState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sched, err := backend.NewScheduler[int](backend.SchedulerConfig{})
		if err != nil {
			t.Fatal(err)
		}
		m := &model{
			sched:             sched,
			now:               begin,
			slots:             map[netip.AddrPort]int{},
			waiting:           map[int]time.Time{},
			started:           map[int]backend.Start[int]{},
			running:           map[netip.AddrPort]int{},
			formerHolderTasks: map[netip.AddrPort]int{},
			leaving:           map[netip.AddrPort]bool{},
			known:             map[netip.AddrPort]bool{},
		}
		sched.SetRoutes([]operator.Route{
			{Name: "a", Share: 3, Urgency: 9, Cores: 10},
			{Name: "b", Share: 1, Urgency: 1, MemoryMiB: 40 << 10},
		})
		m.setServers(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"push":    m.push,
			"remove":  m.remove,
			"next":    m.next,
			"done":    m.done,
			"overdue": m.overdue,
			"servers": m.setServers,
			"leaving": m.setLeaving,
			"foreign": m.setFormerHolderTasks,
		})
	})
}

func (m *model) check(t *rapid.T) {
	queued := 0
	for _, q := range m.sched.Load().Routes {
		queued += q.Queued
	}
	// A task that Next found overdue is no longer queued, but not yet
	// returned by RemoveOverdue.
	if queued > len(m.waiting) {
		t.Fatalf("%d queued, want at most %d", queued, len(m.waiting))
	}
	for addr, n := range m.running {
		if m.sched.Running(addr) != n {
			t.Fatalf("%d tasks running on %v, want %d", m.sched.Running(addr), addr, n)
		}
	}
	if l := m.sched.Load(); l.Free < 0 || l.Free > l.Slots {
		t.Fatalf("load %+v", l)
	}
}

func (m *model) push(t *rapid.T) {
	for range rapid.IntRange(1, 50).Draw(t, "tasks") {
		m.lastID++
		task := backend.Task[int]{ID: m.lastID, Route: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route")}
		task.Arrived = m.now.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second)
		if rapid.Bool().Draw(t, "has deadline") {
			task.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		}
		m.sched.Push(m.now, task)
		m.sched.Push(m.now, task) // The second time does nothing.
		m.waiting[task.ID] = task.Deadline
	}
}

func (m *model) remove(t *rapid.T) {
	if m.lastID == 0 {
		return
	}
	id := rapid.IntRange(1, m.lastID).Draw(t, "id")
	_, want := m.waiting[id]
	if got := m.sched.Remove(id); got != want {
		t.Fatalf("removed task %d: %v, want %v", id, got, want)
	}
	delete(m.waiting, id)
}

func (m *model) next(t *rapid.T) {
	for {
		s, ok := m.sched.Next(m.now)
		if !ok {
			return
		}
		deadline, known := m.waiting[s.ID]
		if !known {
			t.Fatalf("started task %d, which is not waiting", s.ID)
		}
		if !deadline.IsZero() && !m.now.Before(deadline) {
			t.Fatalf("started task %d after its deadline", s.ID)
		}
		if m.leaving[s.Server] {
			t.Fatalf("started task %d on %v, which is leaving", s.ID, s.Server)
		}
		delete(m.waiting, s.ID)
		m.started[s.ID] = s
		m.running[s.Server]++
		m.checkServer(t, s.Server)
	}
}

func (m *model) checkServer(t *rapid.T, addr netip.AddrPort) {
	if m.running[addr]+m.formerHolderTasks[addr] > m.slots[addr] {
		t.Fatalf("%d own tasks and %d of the former holder on %d slots of %v", m.running[addr], m.formerHolderTasks[addr], m.slots[addr], addr)
	}
	cores, memory := 0, 0
	for _, s := range m.started {
		if s.Server == addr && s.Route == "a" {
			cores += 10
		}
		if s.Server == addr && s.Route == "b" {
			memory += 40 << 10
		}
	}
	if cores > 16 || memory > 64<<10 {
		t.Fatalf("%d cores and %d MiB used on %v", cores, memory, addr)
	}
}

func (m *model) done(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.started)) {
		s := m.started[id]
		if rapid.Bool().Draw(t, "runs on") {
			continue
		}
		kind := rapid.SampledFrom([]backend.OutcomeKind{backend.Done, backend.Failed, backend.NotStarted, backend.Lost}).Draw(t, "kind")
		o := backend.Outcome{Kind: kind, Reported: true, Running: rapid.IntRange(0, 9).Draw(t, "running")}
		m.sched.Done(m.now, id, o)
		m.sched.Done(m.now, id, o) // The second time does nothing.
		delete(m.started, id)
		m.running[s.Server]--
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) overdue(t *rapid.T) {
	for _, id := range m.sched.RemoveOverdue(m.now) {
		if deadline, known := m.waiting[id]; !known || deadline.IsZero() {
			t.Fatalf("task %d reported overdue, but is not waiting with a deadline", id)
		}
		delete(m.waiting, id)
	}
	for id, deadline := range m.waiting {
		if !deadline.IsZero() && !m.now.Before(deadline) {
			t.Fatalf("task %d is overdue, but not returned", id)
		}
	}
	queued := 0
	for _, q := range m.sched.Load().Routes {
		queued += q.Queued
	}
	if queued != len(m.waiting) {
		t.Fatalf("%d queued, want %d", queued, len(m.waiting))
	}
}

func (m *model) setServers(t *rapid.T) {
	all := servers(6, rapid.IntRange(0, 8).Draw(t, "slots"))
	from := rapid.IntRange(0, 5).Draw(t, "from")
	m.held = all[from:rapid.IntRange(from, 6).Draw(t, "to")]
	m.sched.SetServers(m.now, m.held)
	clear(m.slots)
	for _, s := range m.held {
		m.known[s.Address] = true
		m.slots[s.Address] = s.Slots
	}
}

func (m *model) setFormerHolderTasks(t *rapid.T) {
	s := servers(6, 8)[rapid.IntRange(0, 5).Draw(t, "server")]
	n := rapid.IntRange(0, 8).Draw(t, "foreign")
	m.sched.SetFormerHolderTasks(m.now, s.Address, n)
	if m.known[s.Address] {
		m.formerHolderTasks[s.Address] = n
	}
}

func (m *model) setLeaving(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	s := rapid.SampledFrom(m.held).Draw(t, "server")
	leaving := rapid.Bool().Draw(t, "leaving")
	m.sched.SetLeaving(m.now, s.Address, leaving)
	m.leaving[s.Address] = leaving
}
