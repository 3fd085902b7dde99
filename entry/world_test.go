package entry_test

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/peer"
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
	list   peer.InstanceList

	// starts counts what the backend servers saw start, by key and index.
	starts map[string]int
	// startedAt holds when each backend server last saw a start.
	startedAt map[netip.AddrPort]time.Time
	// running and mostRunning count the tasks on each backend server.
	running, mostRunning map[netip.AddrPort]int
	// answers holds the answers that reached callers.
	answers map[entry.CallerID][]caller.Answer
	nextID  entry.CallerID
	// submittedAt holds when callers sent their jobs.
	submittedAt map[entry.CallerID]time.Time
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
	// startDelay gives how long a task waits at its backend server.
	startDelay func(s entry.Start) time.Duration

	// tickEvery is the time between ticks.
	tickEvery time.Duration
	// seen, if set, is told each step of the world as it happens.
	seen func(p point)
	// fate, if set, says what becomes of one envelope beyond the faults above.
	fate func(from netip.AddrPort, s entry.Send) fate
	// unseen holds the nodes that do not see the platform's list.
	unseen map[netip.AddrPort]bool
	// listedLeaving holds since when each node has seen in the list that a
	// backend server is leaving.
	listedLeaving map[netip.AddrPort]map[netip.AddrPort]time.Time
	// lateStarts describes the starts on leaving backend servers.
	lateStarts []string
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
		submittedAt: make(map[entry.CallerID]time.Time),
		changes:     make(map[netip.AddrPort][]entry.Change),
		lose:        func(_, _ netip.AddrPort) bool { return false },
		duplicate:   func(_, _ netip.AddrPort) bool { return false },
		delay:       func(_, _ netip.AddrPort) time.Duration { return worldDelay },
		runTime:     func(entry.Start) time.Duration { return 100 * time.Millisecond },
		outcome:     func(entry.Start) backend.OutcomeKind { return backend.Done },

		startDelay:    func(entry.Start) time.Duration { return 0 },
		tickEvery:     worldTick,
		unseen:        make(map[netip.AddrPort]bool),
		listedLeaving: make(map[netip.AddrPort]map[netip.AddrPort]time.Time),
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
	delete(w.listedLeaving, addr)
	list := w.list
	w.give(n, func(now time.Time, i *entry.Instance) {
		w.setNodeList(now, n, list)
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
	w.after(w.tickEvery, func() { w.tick(n, life) })
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
		// What the process has decided to send is sent before it ends, and
		// what a caller has brought meanwhile is answered.
		w.after(0, func() {
			switch {
			case n.life != life:
			case n.paused || !n.instance.Drained(w.now):
				look()
			default:
				w.tell(point{kind: pointDrained, at: addr})
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

// submit sends a job to the node at addr as a caller does, and returns the
// caller's ID.
func (w *world) submit(addr netip.AddrPort, job caller.Job) entry.CallerID {
	w.nextID++
	id := w.nextID
	w.submittedAt[id] = w.now
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
func (w *world) setList(list peer.InstanceList) {
	w.list = list
	for _, addr := range sortedNodes(w) {
		if n := w.nodes[addr]; !w.unseen[addr] {
			w.give(n, func(now time.Time, _ *entry.Instance) { w.setNodeList(now, n, list) })
		}
	}
}

// setNodeList gives a platform's list to one node.
func (w *world) setNodeList(now time.Time, n *node, list peer.InstanceList) {
	n.instance.SetList(now, list)
	leaving := make(map[netip.AddrPort]time.Time)
	for _, listed := range list.Instances {
		if listed.Kind != peer.BackendServer || !listed.Leaving {
			continue
		}
		leaving[listed.Address] = now
		if since, ok := w.listedLeaving[n.address][listed.Address]; ok {
			leaving[listed.Address] = since
		}
	}
	w.listedLeaving[n.address] = leaving
}

// sortedNodes returns the addresses of the world's nodes in order.
func sortedNodes(w *world) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(w.nodes), netip.AddrPort.Compare)
}
