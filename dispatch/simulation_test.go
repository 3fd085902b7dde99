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
	// slow holds the additional delay of the messages of pairs of sender and receiver.
	slow map[[2]string]time.Duration
	// lateCommands and lostAnswers are the shares of the commands to workers that
	// arrive late and whose answers are lost.
	lateCommands, lostAnswers float64
	// usualLate and usualLost are the shares while no fault changes them.
	usualLate, usualLost float64
	// lostPolls is set if answers to polls are lost, too, and lossy are the workers whose
	// answers may be lost, or nil for all.
	lostPolls bool
	lossy     map[string]bool
	// counts are the numbers of commands to workers.
	counts  struct{ starts, stops, polls, late int }
	jobs    map[string]*simulatedJob
	nextJob int
	// starts counts the starts of tasks of each job.
	starts map[string]int
	// tablesSent counts the configurations that were sent to each instance.
	tablesSent map[netip.AddrPort]int
	// drains are the zones that are drained.
	drains     drainStore
	violations []string
	// redirected and acceptedFromOthers count the jobs that leaders have redirected and
	// those that the leaders of other zones have accepted.
	redirected, acceptedFromOthers int
	// redirectedTo counts the jobs that leaders have redirected by the availability zone.
	redirectedTo map[string]int
	// startedInZone counts the starts on the workers of each zone, unless it is nil.
	startedInZone map[string]int
	simulationConfig
	trace []string
}

// jobShape describes a job other than the usual one of one step.
type jobShape struct {
	steps []dispatch.Step
	// runTimes are the run times of the tasks of each step.
	runTimes []time.Duration
	stretch  float64
	slack    time.Duration
	// patience is the time for which the caller waits.
	patience time.Duration
}

// simulatedJob is a job as its caller knows it.
type simulatedJob struct {
	id    string
	tasks int
	// shape is nil for the usual job, with one step of tasks.
	shape    *jobShape
	zone     int
	tries    int
	answered []dispatch.State
	started  bool
	end      dispatch.State
	// arrived is when the job was first submitted, and ended when it was answered.
	arrived, ended time.Time
}

// simulationConfig configures a simulation.
type simulationConfig struct {
	// unfenced is set if the workers accept commands with any term.
	unfenced bool
	// apart is set if each zone has a leader of its own. One of eight tasks then runs
	// for up to 3.6 s during the faults, and callers submit a job again to any zone.
	apart bool
	// unreliable is set if commands are late and answers are lost during all faults.
	unreliable bool
	// short is set if all jobs have eight tasks of shortRunTime and an objective of about
	// twice that time.
	short bool
	// sound is set if no run fails by chance.
	sound bool
	// stepped is set, with apart, if the jobs have several steps of long tasks and callers that
	// wait for longer than the jobs are worth. Faults then cut workers off for seconds.
	stepped bool
	// shards is set, with apart, if each zone has twice as many instances and workers and is
	// divided into two shards. Faults then also change the number of shards at single
	// instances.
	shards bool
	// starved is set if an instance takes a while to handle what has arrived during a pause,
	// and callers leave after starvedPatience, during the faults, although they got no answer.
	starved bool
	// uneven is set, with apart, if each zone has further instances that are too light to lead
	// its workers. Faults then also shut instances down.
	uneven bool
	// successions is set, with apart, if most faults take a leader away at about the time at
	// which callers submit their jobs again. All tasks are long then, and no worker restarts.
	successions bool
	// staleEnvelopes is set if envelopes of a broken stream may be handled after the link was
	// reset, and after envelopes of the next stream.
	staleEnvelopes bool
}

// The run time of the tasks of a short job, and its objective.
const (
	shortRunTime = 60 * time.Millisecond
	shortStretch = 1.6
	shortSlack   = 60 * time.Millisecond
)

// weightOfZone is the weight of an instance that can lead the workers of one zone, but not
// those of two.
const weightOfZone = 40

// weightOfShard is the weight of an instance that can lead the workers of one shard of a
// divided zone, but not those of two.
const weightOfShard = 20

// size returns the number of instances or workers of a zone, which is n if it is not divided.
func (cfg simulationConfig) size(n int) int {
	if cfg.shards {
		return 2 * n
	}
	return n
}

func newSimulation(seed uint64) *simulation { return newSimulationOf(seed, simulationConfig{}) }

func newSimulationOf(seed uint64, cfg simulationConfig) *simulation {
	sim := &simulation{
		simulationConfig: cfg,
		now:              simulationStart,
		random:           rand.New(rand.NewPCG(seed, 1)),
		disconnected:     make(map[[2]string]bool),
		slow:             make(map[[2]string]time.Duration),
		jobs:             make(map[string]*simulatedJob),
		starts:           make(map[string]int),
		tablesSent:       make(map[netip.AddrPort]int),
		redirectedTo:     make(map[string]int),
		drains:           drainStore{since: make(map[string]time.Time)},
	}
	for z, zone := range simulationZones {
		for n := range cfg.size(workersPerZone) {
			f := &fakeWorker{simulation: sim, entry: dispatch.Worker{
				ID:       fmt.Sprintf("w-%d-%d", z, n),
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 1, byte(n)}), 80),
				Pool:     "editor",
				Zone:     zone,
				Capacity: dispatch.Resources{Millicores: slotsPerWorker * taskCPU, Memory: 1000},
			}}
			f.restart()
			sim.workers = append(sim.workers, f)
		}
	}
	for z := range simulationZones {
		for n := range cfg.instances() {
			node := &simulatedInstance{simulation: sim, zone: z, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(n)}), 70)}
			sim.instances = append(sim.instances, node)
			if !cfg.shards {
				node.start()
			}
		}
	}
	if cfg.shards {
		// Instances that know only some of the others assume another number of shards.
		for _, node := range sim.instances {
			node.start()
		}
	}
	return sim
}

// at schedules do at a time.
func (sim *simulation) at(t time.Time, do func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledEvent{at: t, sequence: sim.sequence, do: do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now.Add(d), do) }

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		if next.at.After(sim.now) {
			sim.now = next.at
		}
		next.do()
	}
	sim.now = end
}

// note adds a line to the trace, which is printed if the seed fails.
func (sim *simulation) note(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%v ", sim.now.Sub(simulationStart))+fmt.Sprintf(format, args...))
}

func (sim *simulation) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(simulationStart))+fmt.Sprintf(format, args...))
}

// checkStart checks that no other run of the task is running on a worker.
func (sim *simulation) checkStart(on *fakeWorker, s dispatch.Start) {
	sim.note("start of %v run %d on %s", s.Task, s.Number, on.entry.ID)
	sim.starts[s.Task.Job]++
	for _, other := range sim.workers {
		if other.down {
			continue
		}
		other.endRuns()
		if r := other.runs[s.Task]; r != nil {
			sim.violate("%v run %d starts on %s while run %d is running on %s", s.Task, s.Number, on.entry.ID, r.number, other.entry.ID)
		}
	}
	if sim.startedInZone != nil {
		sim.startedInZone[on.entry.Zone]++
	}
	if j := sim.jobs[s.Task.Job]; j != nil {
		j.started = true
	}
}

// runTimeOf returns the run time of a task that starts now.
func (sim *simulation) runTimeOf(id dispatch.TaskID) time.Duration {
	if j := sim.jobs[id.Job]; j != nil && j.shape != nil {
		return j.shape.runTimes[id.Step]
	}
	return sim.runTime()
}

// runTime returns the run time of a task of the usual job.
func (sim *simulation) runTime() time.Duration {
	if sim.short {
		return shortRunTime
	}
	if sim.apart && sim.faulty() && sim.random.IntN(8) == 0 {
		return time.Duration(1000+sim.random.IntN(2600)) * time.Millisecond
	}
	return time.Duration(50+sim.random.IntN(900)) * time.Millisecond
}

// transit returns the delay of a message, and whether it arrives.
func (sim *simulation) transit(from, to string) (time.Duration, bool) {
	pair := [2]string{from, to}
	return time.Duration(200+sim.random.IntN(1500))*time.Microsecond + sim.slow[pair], !sim.disconnected[pair]
}

// answerLost decides whether an answer of f is lost.
func (sim *simulation) answerLost(f *fakeWorker) bool {
	return (sim.lossy == nil || sim.lossy[f.entry.ID]) && sim.random.Float64() < sim.lostAnswers
}

// checkRefusals checks that no job has started a task of which all answers were
// NotRun.
func (sim *simulation) checkRefusals() {
	for _, j := range sim.jobs {
		refused := !slices.ContainsFunc(j.answered, func(s dispatch.State) bool { return s != dispatch.NotRun })
		if j.started && len(j.answered) == j.tries && len(j.answered) > 0 && refused {
			sim.violate("job %s has started a task, but was reported as not run", j.id)
		}
	}
}

func (sim *simulation) instance(address netip.AddrPort) *simulatedInstance {
	for _, n := range sim.instances {
		if n.address == address {
			return n
		}
	}
	panic("no such instance: " + address.String())
}

func (sim *simulation) worker(id string) *fakeWorker {
	for _, f := range sim.workers {
		if f.entry.ID == id {
			return f
		}
	}
	panic("no such worker: " + id)
}

// weight returns the weight of each instance, or 0 for the default.
func (sim *simulation) weight() int {
	if sim.shards {
		return weightOfShard
	}
	if sim.apart {
		return weightOfZone
	}
	return 0
}

// countLeaders counts the instances that consider themselves the leader of a zone.
func (sim *simulation) countLeaders() int {
	leaders := 0
	for _, n := range sim.instances {
		if n.instance != nil && n.instance.Leading() {
			leaders++
		}
	}
	return leaders
}
