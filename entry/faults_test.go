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

// seededRuns is the number of seeds that CI runs; the environment variable
// SEEDED_RUNS asks for more.
const seededRuns = 300

// violations returns what the world shows that must never be.
func (w *world) violations(submitted map[entry.CallerID]caller.Job) []string {
	found := append([]string(nil), w.lateStarts...)
	for task, n := range w.starts {
		if n > 1 {
			found = append(found, fmt.Sprintf("task %s started %d times", task, n))
		}
	}
	for life, ids := range w.waits {
		for _, id := range ids {
			if len(w.answers[id]) == 0 {
				found = append(found, fmt.Sprintf("caller %d at %v got no answer", id, life))
			}
		}
	}
	notRun := make(map[caller.Key]bool)
	for id, job := range submitted {
		if len(w.answers[id]) > 1 {
			found = append(found, fmt.Sprintf("caller %d got %d answers", id, len(w.answers[id])))
		}
		for _, a := range w.answers[id] {
			if a.Key != job.Key {
				found = append(found, fmt.Sprintf("caller %d got another key's answer", id))
			}
			if a.Status == caller.NotRun {
				notRun[a.Key] = true
			}
			found = append(found, partial(a, job)...)
		}
	}
	for task := range w.starts {
		text, _, _ := strings.Cut(task, "/")
		key, err := caller.ParseKey(text)
		if err != nil {
			panic(err)
		}
		if notRun[key] {
			found = append(found, fmt.Sprintf("task %s started, and a caller was told not-run", task))
		}
	}
	return found
}

// partial returns what is wrong with the results of an answer.
func partial(a caller.Answer, job caller.Job) []string {
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

// A storm draws faults and jobs from a seed.
type storm struct {
	*world
	draw      *rand.Rand
	submitted map[entry.CallerID]caller.Job
	jobs      []caller.Job
	cut       map[string]bool
}

func newStorm(seed uint64) *storm {
	s := &storm{
		world:     newWorld(seed, 6, 12),
		draw:      rand.New(rand.NewPCG(seed, 3)),
		submitted: make(map[entry.CallerID]caller.Job),
		cut:       make(map[string]bool),
	}
	loss, twice := s.draw.Float64()*0.1, s.draw.Float64()*0.1
	s.lose = func(from, to netip.AddrPort) bool {
		return s.cut[s.nodes[from].zone] != s.cut[s.nodes[to].zone] || s.draw.Float64() < loss
	}
	s.duplicate = func(_, _ netip.AddrPort) bool { return s.draw.Float64() < twice }
	s.delay = func(_, _ netip.AddrPort) time.Duration {
		d := time.Duration(s.draw.Int64N(int64(5 * time.Millisecond)))
		if s.draw.Float64() < 0.02 {
			d += time.Duration(s.draw.Int64N(int64(3 * time.Second)))
		}
		return d
	}
	s.runTime = func(entry.Start) time.Duration {
		return time.Duration(20+s.draw.IntN(500)) * time.Millisecond
	}
	s.outcome = func(entry.Start) backend.OutcomeKind {
		switch p := s.draw.Float64(); {
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

// step draws one job or fault.
func (s *storm) step() {
	addr := instanceAddress(s.draw.IntN(len(s.nodes)))
	n := s.nodes[addr]
	switch p := s.draw.Float64(); {
	case p < 0.45:
		s.submitNew(n)
	case p < 0.75 && len(s.jobs) > 0:
		job := s.jobs[s.draw.IntN(len(s.jobs))]
		s.submitted[s.submit(addr, job)] = job
	case p < 0.80 && len(s.jobs) > 0:
		key := s.jobs[s.draw.IntN(len(s.jobs))].Key
		s.give(n, func(now time.Time, i *entry.Instance) { i.Cancel(now, key) })
	case p < 0.82 && n.up && !n.instance.Leaving():
		s.drain(addr)
		s.after(40*time.Second, func() {
			if !n.up {
				s.boot(addr)
			}
		})
	case p < 0.85:
		s.kill(addr)
		s.after(time.Duration(s.draw.IntN(3000))*time.Millisecond, func() {
			if !n.up {
				s.boot(addr)
			}
		})
	case p < 0.90 && !n.paused:
		s.pause(addr)
		life := n.life
		s.after(time.Duration(s.draw.IntN(20000))*time.Millisecond, func() {
			if n.life == life {
				s.resume(addr)
			}
		})
	case p < 0.93:
		zone := zoneOf(s.draw.IntN(3))
		s.cut[zone] = true
		s.after(time.Duration(s.draw.IntN(8000))*time.Millisecond, func() { delete(s.cut, zone) })
	case p < 0.96 && len(s.list.Instances) > 0:
		list := s.list
		list.Instances = append(list.Instances[:0:0], list.Instances...)
		at := s.draw.IntN(len(list.Instances))
		list.Instances[at].Leaving = !list.Instances[at].Leaving
		s.setList(list)
	case p < 0.98 && len(s.list.Instances) > 0:
		list := s.list
		at := s.draw.IntN(len(list.Instances))
		list.Instances = append(append(list.Instances[:0:0], list.Instances[:at]...), list.Instances[at+1:]...)
		s.setList(list)
	default:
		s.setList(newWorldList(len(s.nodes)))
	}
}

// submitNew sends a new job with a key of one instance through another.
func (s *storm) submitNew(n *node) {
	owner := s.nodes[instanceAddress(s.draw.IntN(len(s.nodes)))]
	if !owner.up || owner.paused || owner.instance.Leaving() {
		return
	}
	route := "previews"
	if s.draw.IntN(2) == 0 {
		route = "thumbnails"
	}
	job := caller.Job{
		Key:     s.key(owner.address),
		Route:   route,
		Timeout: time.Duration(100+s.draw.IntN(5000)) * time.Millisecond,
		Tasks:   payloads(1 + s.draw.IntN(40)),
	}
	s.jobs = append(s.jobs, job)
	s.submitted[s.submit(n.address, job)] = job
}

// play runs a storm of 150 steps and then a calm in which all that can still
// happen happens.
func (s *storm) play() []string {
	s.run(settle)
	for range 150 {
		s.step()
		s.run(time.Duration(s.draw.IntN(200)) * time.Millisecond)
	}
	for _, addr := range sortedNodes(s.world) {
		if s.nodes[addr].paused && s.nodes[addr].up {
			s.resume(addr)
		}
	}
	s.run(time.Minute)
	return s.violations(s.submitted)
}

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
				if found := newStorm(uint64(seed)).play(); len(found) > 0 {
					t.Fatalf("seed %d: %s", seed, strings.Join(found, "\n"))
				}
			}
		})
	}
}
