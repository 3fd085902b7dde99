package entry_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
	"github.com/amaranthwell/amaranthwell/platform"
)

// Times of the world.
const (
	worldTick  = 20 * time.Millisecond
	worldDelay = time.Millisecond
)

var worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A world runs entry instances, fake backend servers and the messages between
// them on a clock of its own, so that a seed replays exactly.
type world struct {
	now    time.Time
	random *rand.Rand
	queue  worldQueue
	order  int
	nodes  map[netip.AddrPort]*node
	tables *operator.Tables
	list   platform.List

	// starts counts what the backend servers saw start, by key and index.
	starts map[string]int
	// startedAt holds when each backend server last saw a start.
	startedAt map[netip.AddrPort]time.Time
	// running and mostRunning count the tasks on each backend server.
	running, mostRunning map[netip.AddrPort]int
	// answers holds the answers that reached callers.
	answers map[entry.CallerID][]caller.Answer
	nextID  entry.CallerID
	// waits holds the callers that wait at each life of each node.
	waits map[nodeLife][]entry.CallerID

	// changes holds what each instance reported to its operators.
	changes map[netip.AddrPort][]entry.Change

	// faults of envelopes: each is asked for every envelope.
	lose, duplicate func(from, to netip.AddrPort) bool
	delay           func(from, to netip.AddrPort) time.Duration
	// runTime gives how long a task runs, and outcome what becomes of it.
	runTime func(s entry.Start) time.Duration
	outcome func(s entry.Start) backend.OutcomeKind
}

// A nodeLife is one process at an address.
type nodeLife struct {
	address netip.AddrPort
	life    int
}

// A node is one entry instance of the world.
type node struct {
	address  netip.AddrPort
	zone     string
	instance *entry.Instance
	up       bool
	paused   bool
	// pending holds what reached the node, and acts what it had decided,
	// while it was paused.
	pending []func()
	acts    []func()
	life    int
}

// newWorld returns a world of the given numbers of entry instances and backend
// servers, spread over three availability zones.
func newWorld(seed uint64, instances, servers int) *world {
	w := &world{
		now:         worldStart,
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       make(map[netip.AddrPort]*node),
		starts:      make(map[string]int),
		startedAt:   make(map[netip.AddrPort]time.Time),
		running:     make(map[netip.AddrPort]int),
		mostRunning: make(map[netip.AddrPort]int),
		answers:     make(map[entry.CallerID][]caller.Answer),
		waits:       make(map[nodeLife][]entry.CallerID),
		changes:     make(map[netip.AddrPort][]entry.Change),
		lose:        func(_, _ netip.AddrPort) bool { return false },
		duplicate:   func(_, _ netip.AddrPort) bool { return false },
		delay:       func(_, _ netip.AddrPort) time.Duration { return worldDelay },
		runTime:     func(entry.Start) time.Duration { return 100 * time.Millisecond },
		outcome:     func(entry.Start) backend.OutcomeKind { return backend.Done },
	}
	w.tables = worldTables(servers)
	w.list = newWorldList(instances)
	for n := range instances {
		addr := instanceAddress(n)
		w.nodes[addr] = &node{address: addr, zone: zoneOf(n)}
	}
	for n := range instances {
		w.boot(instanceAddress(n))
	}
	return w
}

func instanceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(n + 1)}), 7000)
}

func serverAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n + 1)}), 9000)
}

func zoneOf(n int) string { return string(rune('a' + n%3)) }

func worldTables(servers int) *operator.Tables {
	t := &operator.Tables{
		Routes: []operator.Route{
			{Name: "previews", Pool: "editing", Urgency: 90, Share: 50, Timeout: 5 * time.Second},
			{Name: "thumbnails", Pool: "editing", Urgency: 10, Share: 50, Timeout: 20 * time.Second},
		},
		Pools: []operator.Pool{{Name: "editing"}},
	}
	for n := range servers {
		t.Pools[0].Servers = append(t.Pools[0].Servers, operator.Server{
			Address: serverAddress(n), Zone: zoneOf(n), Rack: "r1", Slots: 8, Connections: 64,
			Cores: 16, MemoryMiB: 65536,
		})
	}
	return t
}

// boot starts a new process at addr.
func (w *world) boot(addr netip.AddrPort) {
	n := w.nodes[addr]
	instance, err := entry.New(entry.Config{
		Self:        addr,
		Zone:        n.zone,
		Incarnation: w.random.Uint64() | 1,
		Start:       w.now,
		Random:      rand.New(rand.NewPCG(w.random.Uint64(), 2)),
	})
	if err != nil {
		panic(err)
	}
	n.instance, n.up, n.paused = instance, true, false
	n.pending, n.acts = nil, nil
	n.life++
	w.give(n, func(now time.Time, i *entry.Instance) {
		i.SetList(now, w.list)
		i.SetTables(now, w.tables, 1, []byte("snapshot"))
	})
	w.tick(n, n.life)
}

// tick lets time pass for one life of a node.
func (w *world) tick(n *node, life int) {
	if n.life != life {
		return
	}
	w.give(n, func(now time.Time, i *entry.Instance) { i.Tick(now) })
	w.after(worldTick, func() { w.tick(n, life) })
}

// kill ends the process at addr at once. The callers that wait there lose their
// connections.
func (w *world) kill(addr netip.AddrPort) {
	n := w.nodes[addr]
	delete(w.waits, nodeLife{addr, n.life})
	n.up = false
	n.life++
}

// drain asks the process at addr to end, and ends it once it says that nothing
// is left to do. The callers that wait there must all have their answers.
func (w *world) drain(addr netip.AddrPort) {
	n := w.nodes[addr]
	life := n.life
	w.give(n, func(now time.Time, i *entry.Instance) { i.Leave(now) })
	var look func()
	look = func() {
		if n.life != life {
			return
		}
		if n.paused || !n.instance.Drained(w.now) {
			w.after(worldTick, look)
			return
		}
		// What the process has decided to send is sent before it ends.
		w.after(0, func() {
			if n.life == life {
				n.up = false
				n.life++
			}
		})
	}
	look()
}

// pause freezes the process at addr between a decision and its acts, and
// resume lets it go on where it stopped.
func (w *world) pause(addr netip.AddrPort) { w.nodes[addr].paused = true }

func (w *world) resume(addr netip.AddrPort) {
	n := w.nodes[addr]
	n.paused = false
	acts, pending := n.acts, n.pending
	n.acts, n.pending = nil, nil
	for _, f := range append(acts, pending...) {
		f()
	}
}

// give hands an event to a node and does what the node wants done.
func (w *world) give(n *node, e func(now time.Time, i *entry.Instance)) {
	if !n.up {
		return
	}
	if n.paused {
		life := n.life
		n.pending = append(n.pending, func() {
			if n.life == life {
				w.give(n, e)
			}
		})
		return
	}
	e(w.now, n.instance)
	effects := n.instance.Take(w.now)
	w.act(n, effects)
}

func (w *world) act(n *node, effects entry.Effects) {
	w.changes[n.address] = append(w.changes[n.address], effects.Changes...)
	for _, a := range effects.Answers {
		w.answers[a.Caller] = append(w.answers[a.Caller], a.Answer)
	}
	for _, s := range effects.Sends {
		w.do(n, func() { w.send(n.address, s) })
	}
	for _, s := range effects.Starts {
		w.do(n, func() { w.start(n, s) })
	}
}

// do runs an act of a node, one event after the decision, so that a pause may
// come between the two.
func (w *world) do(n *node, act func()) {
	life := n.life
	w.after(0, func() {
		switch {
		case n.life != life || !n.up:
		case n.paused:
			n.acts = append(n.acts, act)
		default:
			act()
		}
	})
}

// send carries an envelope to a peer, or loses it.
func (w *world) send(from netip.AddrPort, s entry.Send) {
	if w.lose(from, s.To) {
		return
	}
	copies := 1
	if w.duplicate(from, s.To) {
		copies = 2
	}
	body, err := proto.Marshal(s.Envelope)
	if err != nil {
		panic(err)
	}
	for range copies {
		w.after(w.delay(from, s.To), func() {
			env := &peer.Envelope{}
			if err := proto.Unmarshal(body, env); err != nil {
				panic(err)
			}
			if to := w.nodes[s.To]; to != nil {
				w.give(to, func(now time.Time, i *entry.Instance) { i.Receive(now, from, env) })
			}
		})
	}
}

// start runs a task on its backend server.
func (w *world) start(n *node, s entry.Start) {
	life := n.life
	report := func(kind backend.OutcomeKind) {
		w.after(worldDelay, func() {
			if n.life == life {
				body := fmt.Appendf(nil, "done:%s", s.Payload)
				w.give(n, func(now time.Time, i *entry.Instance) {
					i.TaskDone(now, s.Task, backend.Outcome{Kind: kind, Body: body})
				})
			}
		})
	}
	kind := w.outcome(s)
	if kind == backend.NotStarted {
		report(kind)
		return
	}
	w.starts[fmt.Sprintf("%s/%d", s.Key, s.Index)]++
	w.startedAt[s.Server] = w.now
	w.running[s.Server]++
	w.mostRunning[s.Server] = max(w.mostRunning[s.Server], w.running[s.Server])
	w.after(w.runTime(s), func() {
		w.running[s.Server]--
		report(kind)
	})
}

// submit sends a job to the node at addr as a caller does, and returns the
// caller's ID.
func (w *world) submit(addr netip.AddrPort, job caller.Job) entry.CallerID {
	w.nextID++
	id := w.nextID
	if n := w.nodes[addr]; n.up {
		life := nodeLife{addr, n.life}
		w.waits[life] = append(w.waits[life], id)
	}
	w.give(w.nodes[addr], func(now time.Time, i *entry.Instance) { i.Submit(now, id, job) })
	return id
}

// key returns a submission key of the node at addr.
func (w *world) key(addr netip.AddrPort) caller.Key {
	key, ok := w.nodes[addr].instance.IssueKey(w.now)
	if !ok {
		panic("the instance is leaving")
	}
	return key
}

// setList gives a platform's list to all nodes.
func (w *world) setList(list platform.List) {
	w.list = list
	for _, addr := range sortedNodes(w) {
		w.give(w.nodes[addr], func(now time.Time, i *entry.Instance) { i.SetList(now, list) })
	}
}

// run lets d pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(*worldEvent)
		w.now = e.at
		e.f()
	}
	w.now = end
}

func (w *world) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, &worldEvent{at: w.now.Add(d), order: w.order, f: f})
}

type worldEvent struct {
	at    time.Time
	order int
	f     func()
}

type worldQueue []*worldEvent

func (q worldQueue) Len() int { return len(q) }

func (q worldQueue) Less(a, b int) bool {
	if q[a].at.Equal(q[b].at) {
		return q[a].order < q[b].order
	}
	return q[a].at.Before(q[b].at)
}

func (q worldQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *worldQueue) Push(x any)   { *q = append(*q, x.(*worldEvent)) }

func (q *worldQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sortedNodes returns the addresses of the world's nodes in order.
func sortedNodes(w *world) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(w.nodes), netip.AddrPort.Compare)
}

// newWorldList returns the platform's list with every entry instance live.
func newWorldList(instances int) platform.List {
	var list platform.List
	for n := range instances {
		list.Instances = append(list.Instances, platform.Instance{
			Address: instanceAddress(n), Kind: platform.EntryInstance, Zone: zoneOf(n),
		})
	}
	return list
}
