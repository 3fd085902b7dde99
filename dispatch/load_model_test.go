package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// The size of the model pool. Two tasks fill a worker.
const (
	modelWorkers  = 70
	modelCores    = 16000
	modelTaskCPU  = 8000
	modelLatency  = time.Millisecond
	modelPatience = 1500 * time.Millisecond
)

// A modelKind is a kind of jobs of the load model.
type modelKind struct {
	route   string
	urgency int
	tasks   int
	run     time.Duration
	// perSecond is the number of jobs a second.
	perSecond float64
}

// modelKinds use two thirds of the capacity of the model pool.
var modelKinds = []modelKind{
	{"thumbs", 0, 8, 60 * time.Millisecond, 41},
	{"proofs", 1, 2, 200 * time.Millisecond, 120},
	{"prints", 2, 4, 900 * time.Millisecond, 7.5},
}

// modelJob is a job of the load model as its caller knows it.
type modelJob struct {
	kind           int
	job            dispatch.Job
	nominal        time.Duration
	work           float64
	first          time.Time
	objective      time.Duration
	tries          int
	end            dispatch.State
	ended          time.Duration
	firstRefusedAt time.Duration
	retryAfter     []time.Duration
	// busy is the time that its runs have taken.
	busy time.Duration
}

// modelWorker is a worker of the load model.
type modelWorker struct {
	largeWorker
	speed float64
	// runs are the starts and the run times of the running tasks.
	runs map[dispatch.TaskID]modelRun
	down bool
}

// A modelRun is a run on a modelWorker.
type modelRun struct {
	start time.Time
	takes time.Duration
}

// A loadModel is one leader with a pool of workers and callers that follow Retry-After, on
// a simulated clock.
type loadModel struct {
	*dispatch.Instance
	now time.Time
	// arrivals are the sources of the jobs of each kind, and random that of run times.
	arrivals  [3]*rand.Rand
	random    *rand.Rand
	events    eventQueue
	count     int
	workers   map[string]*modelWorker
	jobs      []*modelJob
	callers   map[dispatch.CallerID]*modelJob
	byID      map[string]*modelJob
	rates     [3]float64
	decisions []dispatch.Decision
	// late is the time after which the leader handles the answers of workers.
	late time.Duration
	// busy is the time that runs have taken on all workers.
	busy time.Duration
	// starts are the times of the starts, by job.
	starts map[string][]time.Time
}

func newLoadModel(seed uint64) *loadModel {
	m := &loadModel{
		now: simulationStart, random: rand.New(rand.NewPCG(seed, 4)),
		workers: make(map[string]*modelWorker), callers: make(map[dispatch.CallerID]*modelJob),
		byID: make(map[string]*modelJob), starts: make(map[string][]time.Time), rates: [3]float64{1, 1, 1},
	}
	for kind := range m.arrivals {
		m.arrivals[kind] = rand.New(rand.NewPCG(seed, 10+uint64(kind)))
	}
	m.Instance = dispatch.NewInstance(m.now, dispatch.Config{Self: selfAddress, Zone: "hr-north-a", Zones: []string{"hr-north-a"}, Wall: m.now})
	m.SetDrainedZones(m.now, 1, nil)
	for n := range modelWorkers {
		id := fmt.Sprintf("w-%02d", n)
		m.workers[id] = &modelWorker{speed: 0.75 + 0.5*m.random.Float64(), runs: make(map[dispatch.TaskID]modelRun)}
		m.SetWorker(m.now, dispatch.Worker{
			ID: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80), Pool: "editor", Zone: "hr-north-a",
			Capacity: dispatch.Resources{Millicores: modelCores, Memory: 65536}, Incarnation: 1,
		})
	}
	m.after(0, m.tick)
	m.run(3 * time.Second) // the instance leads, and has polled the workers
	for kind := range modelKinds {
		m.after(m.gap(kind), func() { m.arrive(kind) })
	}
	return m
}

func (m *loadModel) after(d time.Duration, do func()) {
	m.count++
	heap.Push(&m.events, scheduledEvent{at: m.now.Add(d), sequence: m.count, do: do})
}

// handle lets the leader handle an answer.
func (m *loadModel) handle(answer func()) {
	if m.late == 0 {
		answer()
		return
	}
	m.after(m.late, answer)
}

func (m *loadModel) tick() {
	m.RecordWorkersRead(m.now)
	m.Tick(m.now)
	m.after(20*time.Millisecond, m.tick)
}

// gap returns a random time between two arrivals.
func (m *loadModel) gap(kind int) time.Duration {
	rate := modelKinds[kind].perSecond * max(m.rates[kind], 0.01)
	return time.Duration(m.arrivals[kind].ExpFloat64() / rate * float64(time.Second))
}

// arrive submits a job, and schedules the next one of its kind.
func (m *loadModel) arrive(kind int) {
	m.after(m.gap(kind), func() { m.arrive(kind) })
	k := modelKinds[kind]
	size := math.Exp(0.5 * m.arrivals[kind].NormFloat64())
	tasks := max(1, int(math.Round(float64(k.tasks)*size)))
	nominal := time.Duration(float64(k.run) * math.Exp(0.25*m.arrivals[kind].NormFloat64()))
	j := &modelJob{kind: kind, first: m.now, nominal: nominal, work: nominal.Seconds() * float64(tasks)}
	j.objective = time.Duration(1.6*float64(nominal)) + 60*time.Millisecond
	j.job = dispatch.Job{
		ID: fmt.Sprintf("%016x", len(m.jobs)+1), Route: k.route, Pool: "editor", Urgency: k.urgency, MaxAttempts: 3,
		Stretch: 1.6, Slack: 60 * time.Millisecond,
		Steps: []dispatch.Step{{Tasks: tasks, Needs: dispatch.Resources{Millicores: modelTaskCPU, Memory: 10}, Estimate: nominal}},
	}
	m.jobs = append(m.jobs, j)
	m.byID[j.job.ID] = j
	m.submit(j)
}

// submit submits a job for the first time or again.
func (m *loadModel) submit(j *modelJob) {
	patience := max(modelPatience, 3*j.objective)
	if m.now.Sub(j.first) >= patience {
		return
	}
	j.tries++
	caller := dispatch.CallerID(len(m.callers) + 1)
	m.callers[caller] = j
	j.job.Arrived, j.job.CallerDeadline = m.now, j.first.Add(patience)
	m.Submit(m.now, caller, j.job)
}

// run advances the model by d.
func (m *loadModel) run(d time.Duration) {
	end := m.now.Add(d)
	for !m.events[0].at.After(end) {
		event := heap.Pop(&m.events).(scheduledEvent)
		m.now = event.at
		event.do()
		m.carryOut(m.Take(m.now))
	}
	m.now = end
}

func (m *loadModel) carryOut(e dispatch.Effects) {
	m.decisions = append(m.decisions, e.Decisions...)
	for _, s := range e.Starts {
		m.starts[s.Task.Job] = append(m.starts[s.Task.Job], m.now)
		m.after(modelLatency, func() { m.start(s) })
	}
	for _, p := range e.Polls {
		w := m.workers[p.Worker]
		w.finished = slices.DeleteFunc(w.finished, func(f dispatch.FinishedTask) bool { return f.Sequence <= p.Acknowledged })
		switch {
		case w.down:
			m.after(answerTimeout, func() { m.PollDone(m.now, p, dispatch.Report{}, dispatch.OutcomeUnknown) })
		case p.Wait == 0 || len(w.finished) > 0:
			m.after(modelLatency, func() { m.answerPoll(p) })
		default:
			w.poll = &p
			m.after(p.Wait, func() {
				if w.poll == &p {
					m.answerPoll(p)
				}
			})
		}
	}
	for _, s := range e.Stops {
		m.after(modelLatency, func() { m.stop(s) })
	}
	for _, a := range e.Answers {
		m.answer(m.callers[a.Caller], a.End)
	}
}

func (m *loadModel) start(s dispatch.Start) {
	w := m.workers[s.Worker]
	if len(w.running)*modelTaskCPU >= modelCores {
		panic("a worker got more runs than it has room for")
	}
	w.running = append(w.running, dispatch.RunningTask{Task: s.Task, Number: s.Number})
	clock := m.now.Sub(simulationStart)
	m.handle(func() { m.StartDone(m.now, s, dispatch.Accepted, clock) })
	nominal := m.byID[s.Task.Job].nominal
	run := time.Duration(float64(nominal) * math.Exp(0.1*m.random.NormFloat64()) / w.speed)
	m.busy += run
	w.runs[s.Task] = modelRun{m.now, run}
	m.after(run, func() { m.finish(s.Worker, s.Task, dispatch.RunSucceeded) })
}

func (m *loadModel) stop(s dispatch.Stop) {
	m.StopDone(m.now, s, dispatch.Accepted, m.now.Sub(simulationStart))
	m.finish(s.Worker, s.Task, dispatch.RunAborted)
}

// finish ends a run, unless it has ended before.
func (m *loadModel) finish(worker string, task dispatch.TaskID, result dispatch.RunResult) {
	w := m.workers[worker]
	i := slices.IndexFunc(w.running, func(r dispatch.RunningTask) bool { return r.Task == task })
	if i < 0 {
		return
	}
	w.next++
	w.finished = append(w.finished, dispatch.FinishedTask{Sequence: w.next, Task: task, Number: w.running[i].Number, Result: result})
	w.running = slices.Delete(w.running, i, i+1)
	m.byID[task.Job].busy += m.now.Sub(w.runs[task].start)
	delete(w.runs, task)
	if w.poll != nil {
		m.answerPoll(*w.poll)
	}
}

func (m *loadModel) answerPoll(p dispatch.Poll) {
	w := m.workers[p.Worker]
	if w.poll != nil && w.poll.Number == p.Number {
		w.poll = nil // other polls beside it are answered by themselves
	}
	for i := range w.running {
		r := w.runs[w.running[i].Task]
		w.running[i].Percent = int(100 * m.now.Sub(r.start) / max(r.takes, 1))
	}
	report := dispatch.Report{
		Incarnation: 1, Clock: m.now.Sub(simulationStart), Running: slices.Clone(w.running), Finished: slices.Clone(w.finished),
	}
	m.handle(func() { m.PollDone(m.now, p, report, dispatch.Accepted) })
}

// answer records the end of a job. A caller whose job was not run submits it again.
func (m *loadModel) answer(j *modelJob, end dispatch.End) {
	j.end, j.ended = end.State, m.now.Sub(j.first)
	if end.State != dispatch.NotRun {
		return
	}
	if j.firstRefusedAt == 0 {
		j.firstRefusedAt = max(m.now.Sub(j.first), 1)
	}
	j.retryAfter = append(j.retryAfter, end.RetryAfter)
	m.after(max(end.RetryAfter, time.Second), func() { m.submit(j) })
}

// flood multiplies the rates of the kinds for d.
func (m *loadModel) flood(d time.Duration, rates [3]float64) {
	m.rates = rates
	m.run(d)
	m.rates = [3]float64{1, 1, 1}
}

// modelFloods are the floods of the load model: the factors of the rates of the kinds.
var modelFloods = []struct {
	name  string
	rates [3]float64
}{
	{"none", [3]float64{1, 1, 1}},
	{"thumbs", [3]float64{2.3, 1, 1}},
	{"proofs", [3]float64{1, 2.3, 1}},
	{"prints", [3]float64{1, 1, 2.3}},
	{"all", [3]float64{2.2, 2.2, 2.2}},
}

// modelFlood is the length of a flood of the load model.
const modelFlood = 10 * time.Second

// BenchmarkLoadModel plays floods of each kind and of all, and logs what the callers of each
// kind get during them and in the seconds after. It is the source of the table in
// docs/design/load-shedding.md.
func BenchmarkLoadModel(b *testing.B) {
	for range b.N {
		for _, f := range modelFloods {
			logFlood(b, f.name, f.rates)
		}
	}
}

// logFlood plays a flood with several seeds and logs its results.
func logFlood(b *testing.B, name string, rates [3]float64) {
	var during, after [3][]*modelJob
	busy := 0.0
	for seed := range uint64(4) {
		m := newLoadModel(seed)
		m.run(3 * time.Second)
		begin := m.now
		m.busy = 0
		m.flood(modelFlood, rates)
		busy += m.busy.Seconds() / modelFlood.Seconds() / (2 * modelWorkers) / 4
		end := m.now
		m.run(6 * time.Second)
		for kind := range modelKinds {
			during[kind] = append(during[kind], m.arrived(kind, begin, end)...)
			after[kind] = append(after[kind], m.arrived(kind, end, end.Add(3*time.Second))...)
		}
	}
	b.Logf("%-6s | slots used by jobs that ended in time, late, not at all: %v", name, slotsUsed(during))
	b.Log("flood | kind | jobs | in time | worth | served | large | largest | refused | median ms | latest/objective")
	for kind, k := range modelKinds {
		b.Logf("%-6s | %s | %v | after: %v | busy %.2f", name, k.route, resultsOf(during[kind]), resultsOf(after[kind]), busy)
	}
}
