package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// seededRuns is the default number of seeds of TestSeededFaults. The environment
// variable SEEDED_RUNS overrides it.
const seededRuns = 300

// violations describes the violations of the following invariants: a task starts at
// most once, and not more than leavingGrace after its server was listed as leaving; every
// waiting caller gets exactly one answer with its key; an answer has all results if its status is
// complete, and none otherwise; and no task starts under a key whose answer is
// not-run. The argument holds the submitted jobs by caller.
func (sim *simulation) violations(submitted map[entry.CallerID]caller.Job) []string {
	found := append([]string(nil), sim.lateStarts...)
	for task, n := range sim.starts {
		if n > 1 {
			found = append(found, fmt.Sprintf("task %s started %d times", task, n))
		}
	}
	for incarnation, ids := range sim.waitingCallers {
		for _, id := range ids {
			if len(sim.answers[id]) == 0 {
				found = append(found, fmt.Sprintf("caller %d at %v got no answer", id, incarnation))
			}
		}
	}
	notRun := make(map[caller.Key]bool)
	for id, job := range submitted {
		if len(sim.answers[id]) > 1 {
			found = append(found, fmt.Sprintf("caller %d got %d answers", id, len(sim.answers[id])))
		}
		for _, a := range sim.answers[id] {
			if a.Key != job.Key {
				found = append(found, fmt.Sprintf("caller %d got an answer with another key", id))
			}
			if a.Status == caller.NotRun {
				notRun[a.Key] = true
			}
			found = append(found, resultErrors(a, job)...)
		}
	}
	for task := range sim.starts {
		text, _, _ := strings.Cut(task, "/")
		key, err := caller.ParseKey(text)
		if err != nil {
			panic(err)
		}
		if notRun[key] {
			found = append(found, fmt.Sprintf("task %s started, and a caller was answered not-run", task))
		}
	}
	return found
}

// resultErrors describes wrong, missing or unexpected results in an answer to a caller
// of job.
func resultErrors(a caller.Answer, job caller.Job) []string {
	if a.Status != caller.Complete {
		if a.Results != nil {
			return []string{fmt.Sprintf("a %s answer has results", a.Status)}
		}
		return nil
	}
	if len(a.Results) != len(job.Tasks) {
		return []string{fmt.Sprintf("an answer has %d results of %d", len(a.Results), len(job.Tasks))}
	}
	for i, r := range a.Results {
		if string(r) != "done:"+string(job.Tasks[i]) {
			return []string{fmt.Sprintf("result %d is %q", i, r)}
		}
	}
	return nil
}

// A faultRun is a simulation with random jobs and faults from a seed.
type faultRun struct {
	*simulation
	// rng draws the jobs and faults. It is separate from simulation.random.
	rng *rand.Rand
	// submitted holds the job of each caller, and jobs each job once.
	submitted map[entry.CallerID]caller.Job
	jobs      []caller.Job
	// cutZones holds the availability zones that are cut off from the others.
	cutZones map[string]bool
}

// newFaultRun returns a simulation in which the seed determines the rates of lost and
// duplicated envelopes, the delays, and the run times and outcomes of tasks.
func newFaultRun(seed uint64) *faultRun {
	s := &faultRun{
		simulation: newSimulation(seed, 6, 12),
		rng:        rand.New(rand.NewPCG(seed, 3)),
		submitted:  make(map[entry.CallerID]caller.Job),
		cutZones:   make(map[string]bool),
	}
	loss, duplication := s.rng.Float64()*0.1, s.rng.Float64()*0.1
	s.lose = func(from, to netip.AddrPort) bool {
		return s.cutZones[s.nodes[from].zone] != s.cutZones[s.nodes[to].zone] || s.rng.Float64() < loss
	}
	s.duplicate = func(_, _ netip.AddrPort) bool { return s.rng.Float64() < duplication }
	s.delay = func(_, _ netip.AddrPort) time.Duration {
		d := time.Duration(s.rng.Int64N(int64(5 * time.Millisecond)))
		if s.rng.Float64() < 0.02 {
			d += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
		return d
	}
	s.runTime = func(entry.Start) time.Duration {
		return time.Duration(20+s.rng.IntN(500)) * time.Millisecond
	}
	s.outcome = func(entry.Start) backend.OutcomeKind {
		switch p := s.rng.Float64(); {
		case p < 0.03:
			return backend.NotStarted
		case p < 0.035:
			return backend.Lost
		case p < 0.04:
			return backend.Failed
		default:
			return backend.Done
		}
	}
	return s
}

// step submits, resubmits or cancels a random job, or injects a random fault.
func (s *faultRun) step() {
	addr := instanceAddress(s.rng.IntN(len(s.nodes)))
	n := s.nodes[addr]
	switch p := s.rng.Float64(); {
	case p < 0.45:
		s.submitNew(n)
	case p < 0.75 && len(s.jobs) > 0:
		job := s.jobs[s.rng.IntN(len(s.jobs))]
		s.submitted[s.submit(addr, job)] = job
	case p < 0.80 && len(s.jobs) > 0:
		key := s.jobs[s.rng.IntN(len(s.jobs))].Key
		s.deliver(n, func(now time.Time, i *entry.Instance) { i.Cancel(now, key) })
	case p < 0.82 && n.up && !n.instance.Leaving():
		s.drain(addr)
		s.after(40*time.Second, func() {
			if !n.up {
				s.boot(addr)
			}
		})
	case p < 0.85:
		s.kill(addr)
		s.after(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() {
			if !n.up {
				s.boot(addr)
			}
		})
	case p < 0.90 && !n.paused:
		s.pause(addr)
		incarnation := n.incarnation
		s.after(time.Duration(s.rng.IntN(20000))*time.Millisecond, func() {
			if n.incarnation == incarnation {
				s.resume(addr)
			}
		})
	case p < 0.93:
		zone := zoneOf(s.rng.IntN(3))
		s.cutZones[zone] = true
		s.after(time.Duration(s.rng.IntN(8000))*time.Millisecond, func() { delete(s.cutZones, zone) })
	case p < 0.96 && len(s.list.Instances) > 0:
		list := s.list
		list.Instances = append(list.Instances[:0:0], list.Instances...)
		at := s.rng.IntN(len(list.Instances))
		list.Instances[at].Leaving = !list.Instances[at].Leaving
		s.setList(list)
	case p < 0.98 && len(s.list.Instances) > 0:
		list := s.list
		at := s.rng.IntN(len(list.Instances))
		list.Instances = append(append(list.Instances[:0:0], list.Instances[:at]...), list.Instances[at+1:]...)
		s.setList(list)
	default:
		s.setList(simulationList(len(s.nodes)))
	}
}

// submitNew submits a new job through n, with a key of a random instance. It does
// nothing if that instance issues no keys at present.
func (s *faultRun) submitNew(n *node) {
	owner := s.nodes[instanceAddress(s.rng.IntN(len(s.nodes)))]
	if !owner.up || owner.paused || owner.instance.Leaving() {
		return
	}
	route := "previews"
	if s.rng.IntN(2) == 0 {
		route = "thumbnails"
	}
	job := caller.Job{
		Key:     s.key(owner.address),
		Route:   route,
		Timeout: time.Duration(100+s.rng.IntN(5000)) * time.Millisecond,
		Tasks:   payloads(1 + s.rng.IntN(40)),
	}
	s.jobs = append(s.jobs, job)
	s.submitted[s.submit(n.address, job)] = job
}

// execute makes 150 steps, lets the simulation run for another minute without new
// faults, so that all jobs end, and returns the violated invariants.
func (s *faultRun) execute() []string {
	s.run(settleTime)
	for range 150 {
		s.step()
		s.run(time.Duration(s.rng.IntN(200)) * time.Millisecond)
	}
	for _, addr := range sortedNodes(s.simulation) {
		if s.nodes[addr].paused && s.nodes[addr].up {
			s.resume(addr)
		}
	}
	s.run(time.Minute)
	return s.violations(s.submitted)
}

// TestSeededFaults checks the invariants under random faults: lost, delayed and
// duplicated envelopes, cut availability zones, outdated lists, and killed, paused
// and leaving instances.
func TestSeededFaults(t *testing.T) {
	runs := seededRuns
	if text := os.Getenv("SEEDED_RUNS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		runs = n
	}
	const lanes = 8
	for lane := range lanes {
		t.Run(fmt.Sprintf("lane-%d", lane), func(t *testing.T) {
			t.Parallel()
			for seed := lane; seed < runs; seed += lanes {
				if found := newFaultRun(uint64(seed)).execute(); len(found) > 0 {
					t.Fatalf("seed %d: %s", seed, strings.Join(found, "\n"))
				}
			}
		})
	}
}
