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

// The size of the simulation, and the times of its callers and its network.
const (
	instancesPerZone = 2
	workersPerZone   = 4
	slotsPerWorker   = 3
	taskCPU          = 5000
	answerTimeout    = 250 * time.Millisecond
	resubmitAfter    = 1300 * time.Millisecond
	simulationTick   = 20 * time.Millisecond
	linkResetAfter   = 300 * time.Millisecond
)

var (
	simulationStart = time.Unix(1_800_000_000, 0)
	simulationZones = []string{"hr-north-a", "hr-north-b", "hr-north-c"}
)

// scheduledEvent is an event of the simulation and the time at which it happens.
type scheduledEvent struct {
	at       time.Time
	sequence int
	do       func()
}

type eventQueue []scheduledEvent

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push and Pop implement heap.Interface.
func (h *eventQueue) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

func (h *eventQueue) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// A simulation runs instances, fake workers, callers and the network between them on
// a simulated clock, so that a seed reproduces a run exactly.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	queue     eventQueue
	sequence  int
	instances []*simulatedInstance
	workers   []*fakeWorker
	// disconnected is set for pairs of sender and receiver, by name, whose messages
	// are lost.
	disconnected map[[2]string]bool
	// lateCommands and lostAnswers are the shares of the commands to workers that
	// arrive late and whose answers are lost.
	lateCommands, lostAnswers float64
	jobs                      map[string]*simulatedJob
	nextJob                   int
	violations                []string
	trace                     []string
}

// simulatedJob is a job as its caller knows it.
type simulatedJob struct {
	id       string
	tasks    int
	zone     int
	tries    int
	answered []dispatch.State
	started  bool
	end      dispatch.State
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		now:          simulationStart,
		random:       rand.New(rand.NewPCG(seed, 1)),
		disconnected: make(map[[2]string]bool),
		jobs:         make(map[string]*simulatedJob),
	}
	for z, zone := range simulationZones {
		for n := range workersPerZone {
			f := &fakeWorker{simulation: w, entry: dispatch.Worker{
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
	for z := range simulationZones {
		for n := range instancesPerZone {
			node := &simulatedInstance{simulation: w, zone: z, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(n)}), 70)}
			w.instances = append(w.instances, node)
			node.start()
		}
	}
	return w
}

// at schedules do at a time.
func (w *simulation) at(t time.Time, do func()) {
	w.sequence++
	heap.Push(&w.queue, scheduledEvent{at: t, sequence: w.sequence, do: do})
}

func (w *simulation) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduledEvent)
		if next.at.After(w.now) {
			w.now = next.at
		}
		next.do()
	}
	w.now = end
}

// note adds a line to the trace, which is printed if the seed fails.
func (w *simulation) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now.Sub(simulationStart))+fmt.Sprintf(format, args...))
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(simulationStart))+fmt.Sprintf(format, args...))
}

// checkStart checks that no other run of the task is running on a worker.
func (w *simulation) checkStart(on *fakeWorker, s dispatch.Start) {
	w.note("start of %v run %d on %s", s.Task, s.Number, on.entry.ID)
	for _, other := range w.workers {
		if other.down {
			continue
		}
		other.endRuns()
		if r := other.runs[s.Task]; r != nil {
			w.violate("%v run %d starts on %s while run %d is running on %s", s.Task, s.Number, on.entry.ID, r.number, other.entry.ID)
		}
	}
	if j := w.jobs[s.Task.Job]; j != nil {
		j.started = true
	}
}

func (w *simulation) runTime() time.Duration {
	return time.Duration(50+w.random.IntN(900)) * time.Millisecond
}

// transit returns the delay of a message, and whether it arrives.
func (w *simulation) transit(from, to string) (time.Duration, bool) {
	return time.Duration(200+w.random.IntN(1500)) * time.Microsecond, !w.disconnected[[2]string{from, to}]
}

// submit submits a new job to an instance of a zone.
func (w *simulation) submit(zone int) *simulatedJob {
	w.nextJob++
	j := &simulatedJob{id: fmt.Sprintf("%016x", w.nextJob), tasks: 1 + w.random.IntN(5), zone: zone}
	w.jobs[j.id] = j
	w.try(j)
	return j
}

// try submits a job to a live instance of its zone.
func (w *simulation) try(j *simulatedJob) {
	j.tries++
	var live []*simulatedInstance
	for _, n := range w.instances {
		if n.zone == j.zone && n.instance != nil {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		w.resubmit(j)
		return
	}
	live[w.random.IntN(len(live))].submit(j)
}

// resubmit submits a job again after a while, as a caller does that got no answer.
func (w *simulation) resubmit(j *simulatedJob) {
	if j.tries < 4 && j.end == 0 {
		w.after(resubmitAfter, func() { w.try(j) })
	}
}

// checkRefusals checks that no job has started a task of which all answers were
// NotRun.
func (w *simulation) checkRefusals() {
	for _, j := range w.jobs {
		refused := !slices.ContainsFunc(j.answered, func(s dispatch.State) bool { return s != dispatch.NotRun })
		if j.started && len(j.answered) == j.tries && len(j.answered) > 0 && refused {
			w.violate("job %s has started a task, but was reported as not run", j.id)
		}
	}
}

func (w *simulation) instance(address netip.AddrPort) *simulatedInstance {
	for _, n := range w.instances {
		if n.address == address {
			return n
		}
	}
	panic("no such instance: " + address.String())
}

func (w *simulation) worker(id string) *fakeWorker {
	for _, f := range w.workers {
		if f.entry.ID == id {
			return f
		}
	}
	panic("no such worker: " + id)
}

// countLeaders counts the instances that consider themselves the leader of a zone.
func (w *simulation) countLeaders() int {
	leaders := 0
	for _, n := range w.instances {
		if n.instance != nil && n.instance.Leading() {
			leaders++
		}
	}
	return leaders
}
