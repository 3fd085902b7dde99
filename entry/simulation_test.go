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

// Times of the simulation: the default time between ticks, and the default delay of
// a message.
const (
	simulationTick = 20 * time.Millisecond
	messageDelay   = time.Millisecond
)

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A simulation runs entry instances, fake backend servers and the messages between
// them with a simulated clock, so that a seed replays exactly.
type simulation struct {
	now    time.Time
	random *rand.Rand
	// queue holds the scheduled calls, and order counts the calls that were
	// ever scheduled.
	queue callQueue
	order int
	// nodes holds the entry instances by their addresses.
	nodes  map[netip.AddrPort]*node
	tables *operator.Tables
	list   peer.InstanceList

	// starts counts the starts of each task on backend servers. The map's key
	// is the submission key, a slash and the task's index.
	starts map[string]int
	// startedAt holds the time of the last start on each backend server.
	startedAt map[netip.AddrPort]time.Time
	// running and maxRunning hold the present and the largest number of tasks
	// on each backend server.
	running, maxRunning map[netip.AddrPort]int
	// answers holds the answers that reached callers.
	answers map[entry.CallerID][]caller.Answer
	// lastID is the highest CallerID used.
	lastID entry.CallerID
	// submittedAt holds when callers submitted their jobs.
	submittedAt map[entry.CallerID]time.Time
	// waitingCallers holds the callers that wait at each incarnation of each
	// node.
	waitingCallers map[nodeIncarnation][]entry.CallerID

	// changes holds the state changes that each instance reported to
	// operators.
	changes map[netip.AddrPort][]entry.Change

	// lose and duplicate report whether an envelope is lost or arrives twice,
	// and delay returns how long it is under way. They are called for every
	// envelope.
	lose, duplicate func(from, to netip.AddrPort) bool
	delay           func(from, to netip.AddrPort) time.Duration
	// runTime returns how long a task runs, and outcome its outcome.
	runTime func(s entry.Start) time.Duration
	outcome func(s entry.Start) backend.OutcomeKind
	// startDelay returns how long a task waits at its backend server before it
	// starts.
	startDelay func(s entry.Start) time.Duration

	// tickEvery is the time between ticks.
	tickEvery time.Duration
	// observer, if set, is called with each event as it happens.
	observer func(ev event)
	// envelopeFault, if set, returns a fault of one envelope in addition to
	// those of lose, duplicate and delay.
	envelopeFault func(from netip.AddrPort, s entry.Send) envelopeFault
	// withoutList holds the nodes that do not receive the platform's list.
	withoutList map[netip.AddrPort]bool
	// listedLeaving holds since when a backend server has been leaving in the
	// list of each node.
	listedLeaving map[netip.AddrPort]map[netip.AddrPort]time.Time
	// lateStarts describes the starts on leaving backend servers that were
	// decided on after leavingGrace.
	lateStarts []string
}

// A nodeIncarnation identifies one process at an address.
type nodeIncarnation struct {
	address     netip.AddrPort
	incarnation int
}

// A node is one entry instance of the simulation.
type node struct {
	address  netip.AddrPort
	zone     string
	instance *entry.Instance
	up       bool
	paused   bool
	// pending holds the events that reached the node while it was paused, and
	// actions the actions that it had decided on before.
	pending []func()
	actions []func()
	// incarnation grows each time that a process of the node starts or ends.
	incarnation int
}

// newSimulation returns a simulation of the given numbers of entry instances and
// backend servers, spread over three availability zones.
func newSimulation(seed uint64, instances, servers int) *simulation {
	sim := &simulation{
		now:            simulationStart,
		random:         rand.New(rand.NewPCG(seed, 1)),
		nodes:          make(map[netip.AddrPort]*node),
		starts:         make(map[string]int),
		startedAt:      make(map[netip.AddrPort]time.Time),
		running:        make(map[netip.AddrPort]int),
		maxRunning:     make(map[netip.AddrPort]int),
		answers:        make(map[entry.CallerID][]caller.Answer),
		waitingCallers: make(map[nodeIncarnation][]entry.CallerID),
		submittedAt:    make(map[entry.CallerID]time.Time),
		changes:        make(map[netip.AddrPort][]entry.Change),
		lose:           func(_, _ netip.AddrPort) bool { return false },
		duplicate:      func(_, _ netip.AddrPort) bool { return false },
		delay:          func(_, _ netip.AddrPort) time.Duration { return messageDelay },
		runTime:        func(entry.Start) time.Duration { return 100 * time.Millisecond },
		outcome:        func(entry.Start) backend.OutcomeKind { return backend.Done },

		startDelay:    func(entry.Start) time.Duration { return 0 },
		tickEvery:     simulationTick,
		withoutList:   make(map[netip.AddrPort]bool),
		listedLeaving: make(map[netip.AddrPort]map[netip.AddrPort]time.Time),
	}
	sim.tables = simulationTables(servers)
	sim.list = simulationList(instances)
	for n := range instances {
		addr := instanceAddress(n)
		sim.nodes[addr] = &node{address: addr, zone: zoneOf(n)}
	}
	for n := range instances {
		sim.boot(instanceAddress(n))
	}
	return sim
}

// boot starts a new process at addr.
func (sim *simulation) boot(addr netip.AddrPort) {
	n := sim.nodes[addr]
	instance, err := entry.New(entry.Config{
		Self:        addr,
		Zone:        n.zone,
		Incarnation: sim.random.Uint64() | 1,
		Start:       sim.now,
		Random:      rand.New(rand.NewPCG(sim.random.Uint64(), 2)),
	})
	if err != nil {
		panic(err)
	}
	n.instance, n.up, n.paused = instance, true, false
	n.pending, n.actions = nil, nil
	n.incarnation++
	delete(sim.listedLeaving, addr)
	list := sim.list
	sim.deliver(n, func(now time.Time, i *entry.Instance) {
		sim.setNodeList(now, n, list)
		i.SetTables(now, sim.tables, 1, []byte("snapshot"))
	})
	sim.tick(n, n.incarnation)
}

// tick calls Instance.Tick at a node now and then every tickEvery, until the given
// incarnation ends.
func (sim *simulation) tick(n *node, incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	sim.deliver(n, func(now time.Time, i *entry.Instance) { i.Tick(now) })
	sim.after(sim.tickEvery, func() { sim.tick(n, incarnation) })
}

// kill ends the process at addr at once. The callers that wait there lose their
// connections and need no answer.
func (sim *simulation) kill(addr netip.AddrPort) {
	n := sim.nodes[addr]
	delete(sim.waitingCallers, nodeIncarnation{addr, n.incarnation})
	n.up = false
	n.incarnation++
}

// drain begins a graceful shutdown of the process at addr, and ends the process once
// it is drained. Unlike after kill, the callers that wait there still need an answer.
func (sim *simulation) drain(addr netip.AddrPort) {
	n := sim.nodes[addr]
	incarnation := n.incarnation
	sim.deliver(n, func(now time.Time, i *entry.Instance) { i.Leave(now) })
	var check func()
	check = func() {
		if n.incarnation != incarnation {
			return
		}
		if n.paused || !n.instance.Drained(sim.now) {
			sim.after(simulationTick, check)
			return
		}
		// Envelopes that the process has decided on are sent before it ends,
		// and jobs that arrive in between are answered.
		sim.after(0, func() {
			switch {
			case n.incarnation != incarnation:
			case n.paused || !n.instance.Drained(sim.now):
				check()
			default:
				sim.notify(event{kind: eventDrained, at: addr})
				n.up = false
				n.incarnation++
			}
		})
	}
	check()
}

// pause stops the process at addr, possibly between a decision and the actions that
// follow from it.
func (sim *simulation) pause(addr netip.AddrPort) { sim.nodes[addr].paused = true }

// resume continues a paused process: it carries out its pending actions, then
// handles its pending events.
func (sim *simulation) resume(addr netip.AddrPort) {
	n := sim.nodes[addr]
	n.paused = false
	acts, pending := n.actions, n.pending
	n.actions, n.pending = nil, nil
	for _, f := range append(acts, pending...) {
		f()
	}
}

// deliver handles an event at a node and applies the effects. If the node is paused,
// the event is handled when it resumes; if the node is down, the event is dropped.
func (sim *simulation) deliver(n *node, event func(now time.Time, i *entry.Instance)) {
	if !n.up {
		return
	}
	if n.paused {
		incarnation := n.incarnation
		n.pending = append(n.pending, func() {
			if n.incarnation == incarnation {
				sim.deliver(n, event)
			}
		})
		return
	}
	event(sim.now, n.instance)
	effects := n.instance.Take(sim.now)
	sim.applyEffects(n, effects)
}

// submit submits a job to the node at addr as a new caller, and returns the caller's
// ID.
func (sim *simulation) submit(addr netip.AddrPort, job caller.Job) entry.CallerID {
	sim.lastID++
	id := sim.lastID
	sim.submittedAt[id] = sim.now
	if n := sim.nodes[addr]; n.up {
		incarnation := nodeIncarnation{addr, n.incarnation}
		sim.waitingCallers[incarnation] = append(sim.waitingCallers[incarnation], id)
	}
	sim.deliver(sim.nodes[addr], func(now time.Time, i *entry.Instance) { i.Submit(now, id, job) })
	return id
}

// key returns a new submission key of the node at addr. It panics if the node is
// leaving.
func (sim *simulation) key(addr netip.AddrPort) caller.Key {
	key, ok := sim.nodes[addr].instance.IssueKey(sim.now)
	if !ok {
		panic("the instance is leaving")
	}
	return key
}

// setList sets the platform's list at all nodes, except those in withoutList.
func (sim *simulation) setList(list peer.InstanceList) {
	sim.list = list
	for _, addr := range sortedNodes(sim) {
		if n := sim.nodes[addr]; !sim.withoutList[addr] {
			sim.deliver(n, func(now time.Time, _ *entry.Instance) { sim.setNodeList(now, n, list) })
		}
	}
}

// setNodeList sets the platform's list at one node.
func (sim *simulation) setNodeList(now time.Time, n *node, list peer.InstanceList) {
	n.instance.SetList(now, list)
	leaving := make(map[netip.AddrPort]time.Time)
	for _, listed := range list.Instances {
		if listed.Kind != peer.BackendServer || !listed.Leaving {
			continue
		}
		leaving[listed.Address] = now
		if since, ok := sim.listedLeaving[n.address][listed.Address]; ok {
			leaving[listed.Address] = since
		}
	}
	sim.listedLeaving[n.address] = leaving
}

// sortedNodes returns the addresses of the simulation's nodes in order.
func sortedNodes(sim *simulation) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(sim.nodes), netip.AddrPort.Compare)
}
