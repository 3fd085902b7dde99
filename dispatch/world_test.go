package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// The size of the world, and times that its outside keeps.
const (
	nodesPerZone   = 2
	workersPerZone = 4
	slotsPerWorker = 3
	taskCPU        = 5000
	workerTime     = 250 * time.Millisecond
	resendAfter    = 1300 * time.Millisecond
	worldTick      = 20 * time.Millisecond
	lostLinkAfter  = 300 * time.Millisecond
)

var (
	worldStart = time.Unix(1_800_000_000, 0)
	worldZones = []string{"hr-north-a", "hr-north-b", "hr-north-c"}
)

// happening is something that happens at a time.
type happening struct {
	at    time.Time
	order int
	do    func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push and Pop are those of heap.Interface.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// A world runs instances, fake workers, callers and the network between them on
// a clock of its own, so that a seed replays exactly.
type world struct {
	now     time.Time
	random  *rand.Rand
	queue   happenings
	order   int
	nodes   []*worldNode
	workers []*fakeWorker
	// cut says whether what from sends to to is lost. Both are names.
	cut map[[2]string]bool
	// lateOrders and lostAnswers are shares of the orders to workers.
	lateOrders, lostAnswers float64
	jobs                    map[string]*worldJob
	nextJob                 int
	violations              []string
	trace                   []string
}

// worldJob is a job as its caller knows it.
type worldJob struct {
	id       string
	tasks    int
	zone     int
	tries    int
	answered []dispatch.State
	started  bool
	end      dispatch.State
}

func newWorld(seed uint64) *world {
	w := &world{
		now:    worldStart,
		random: rand.New(rand.NewPCG(seed, 1)),
		cut:    make(map[[2]string]bool),
		jobs:   make(map[string]*worldJob),
	}
	for z, zone := range worldZones {
		for n := range workersPerZone {
			f := &fakeWorker{world: w, entry: dispatch.Worker{
				ID:       fmt.Sprintf("w-%d-%d", z, n),
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 1, byte(n)}), 80),
				Pool:     "editor",
				Zone:     zone,
				Capacity: dispatch.Resources{Millicores: slotsPerWorker * taskCPU, Memory: 1000},
			}}
			f.restart()
			w.workers = append(w.workers, f)
		}
	}
	for z := range worldZones {
		for n := range nodesPerZone {
			node := &worldNode{world: w, zone: z, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(n)}), 70)}
			w.nodes = append(w.nodes, node)
			node.start()
		}
	}
	return w
}

// at makes do happen at a time.
func (w *world) at(t time.Time, do func()) {
	w.order++
	heap.Push(&w.queue, happening{at: t, order: w.order, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run lets the world go on for d.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(happening)
		if next.at.After(w.now) {
			w.now = next.at
		}
		next.do()
	}
	w.now = end
}

// note keeps a line for the trace of a failing seed.
func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now.Sub(worldStart))+fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(worldStart))+fmt.Sprintf(format, args...))
}

// judgeStart checks what must hold of a start.
func (w *world) judgeStart(on *fakeWorker, s dispatch.Start) {
	w.note("start of %v run %d on %s", s.Task, s.Number, on.entry.ID)
	for _, other := range w.workers {
		if other.down {
			continue
		}
		other.settle()
		if r := other.runs[s.Task]; r != nil {
			w.violate("%v run %d starts on %s while run %d is at work on %s", s.Task, s.Number, on.entry.ID, r.number, other.entry.ID)
		}
	}
	if j := w.jobs[s.Task.Job]; j != nil {
		j.started = true
	}
}

func (w *world) runTime() time.Duration {
	return time.Duration(50+w.random.IntN(900)) * time.Millisecond
}

// transit returns how long a message takes, and whether it arrives.
func (w *world) transit(from, to string) (time.Duration, bool) {
	return time.Duration(200+w.random.IntN(1500)) * time.Microsecond, !w.cut[[2]string{from, to}]
}

// submit hands in a new job at some instance of a zone.
func (w *world) submit(zone int) *worldJob {
	w.nextJob++
	j := &worldJob{id: fmt.Sprintf("%016x", w.nextJob), tasks: 1 + w.random.IntN(5), zone: zone}
	w.jobs[j.id] = j
	w.try(j)
	return j
}

// try hands a job in at a live instance of its zone.
func (w *world) try(j *worldJob) {
	j.tries++
	var live []*worldNode
	for _, n := range w.nodes {
		if n.zone == j.zone && n.instance != nil {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		w.resend(j)
		return
	}
	live[w.random.IntN(len(live))].submit(j)
}

// resend hands a job in again, as a caller does that got no answer.
func (w *world) resend(j *worldJob) {
	if j.tries < 4 && j.end == 0 {
		w.after(resendAfter, func() { w.try(j) })
	}
}

// judgeRefusals checks that no job ran of which all answers said that it had
// not.
func (w *world) judgeRefusals() {
	for _, j := range w.jobs {
		refused := !slices.ContainsFunc(j.answered, func(s dispatch.State) bool { return s != dispatch.NotRun })
		if j.started && len(j.answered) == j.tries && len(j.answered) > 0 && refused {
			w.violate("job %s has run, and was said not to have", j.id)
		}
	}
}

func (w *world) node(address netip.AddrPort) *worldNode {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	panic("no such instance: " + address.String())
}

func (w *world) worker(id string) *fakeWorker {
	for _, f := range w.workers {
		if f.entry.ID == id {
			return f
		}
	}
	panic("no such worker: " + id)
}

// leaders counts the instances that lead a zone by their own belief.
func (w *world) leaders() int {
	leaders := 0
	for _, n := range w.nodes {
		if n.instance != nil && n.instance.Leading() {
			leaders++
		}
	}
	return leaders
}
