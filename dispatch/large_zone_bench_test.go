package dispatch_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// The size of a large system: zones of this many workers and instances, each led by an
// instance of its own.
const (
	largeZones            = 5
	largeWorkersPerZone   = 220
	largeInstancesPerZone = 30
)

// A largeZone is the leader of one zone of a large system, with workers and peers that
// answer at once. Nothing is sent: it measures the control state alone.
type largeZone struct {
	*dispatch.Instance
	now    time.Time
	events eventQueue
	count  int
	jobs   int
	clocks map[string]*largeWorker
	sends  int
	// jobsPerSecond is the load that submit generates.
	jobsPerSecond int
}

// largeWorker is a worker that answers its polls when a run ends.
type largeWorker struct {
	running  []dispatch.RunningTask
	finished []dispatch.FinishedTask
	next     int64
	poll     *dispatch.Poll
}

func largeZoneName(n int) string { return fmt.Sprintf("zone-%c", 'a'+n) }

func newLargeZone() *largeZone {
	z := &largeZone{now: simulationStart, clocks: make(map[string]*largeWorker)}
	var zones []string
	for n := range largeZones {
		zones = append(zones, largeZoneName(n))
	}
	z.Instance = dispatch.NewInstance(z.now, dispatch.Config{Self: selfAddress, Zone: zones[0], Zones: zones, Weight: 800, Wall: z.now})
	z.SetDrainedZones(z.now, 1, nil)
	z.SetExpectedWorkers(z.now, largeZones*largeWorkersPerZone)
	var workers []dispatch.Worker
	for n := range largeZones {
		for w := range largeWorkersPerZone {
			workers = append(workers, dispatch.Worker{
				ID: fmt.Sprintf("w-%d-%d", n, w), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n), 1, byte(w)}), 80),
				Pool: "editor", Zone: zones[n], Capacity: dispatch.Resources{Millicores: 16000, Memory: 65536}, Incarnation: 1,
			})
			z.clocks[workers[len(workers)-1].ID] = &largeWorker{}
		}
	}
	z.SetWorkers(z.now, workers)
	for n := range largeZones {
		for i := range largeInstancesPerZone {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n), 0, byte(i + 1)}), 70)
			z.heartbeats(n, addr, i == 0 && n > 0)
		}
	}
	z.after(0, z.tick)
	return z
}

func (z *largeZone) after(d time.Duration, do func()) {
	z.count++
	heap.Push(&z.events, scheduledEvent{at: z.now.Add(d), sequence: z.count, do: do})
}

// heartbeats delivers the heartbeats of a peer in zone n: a leader's, or replies.
func (z *largeZone) heartbeats(n int, addr netip.AddrPort, leads bool) {
	beat := &peer.Beat{Weight: 480, TableRevision: 1, WorkersRevision: 1 << 40, Reply: !leads}
	if leads {
		beat.Leads = []*peer.Lead{{Zone: largeZoneName(n), Term: 1 << 60}}
	}
	z.Receive(z.now, addr, &peer.Envelope{From: addr.String(), Zone: largeZoneName(n), Incarnation: 1, Beat: beat})
	z.after(peer.LeaderHeartbeatEvery, func() { z.heartbeats(n, addr, leads) })
}

func (z *largeZone) tick() {
	z.RecordWorkersRead(z.now)
	z.Tick(z.now)
	z.after(20*time.Millisecond, z.tick)
}

func (z *largeZone) submit() {
	z.jobs++
	job := dispatch.Job{
		ID: fmt.Sprintf("%016x", z.jobs), Route: "thumb", Pool: "editor", MaxAttempts: 3, Stretch: 2, Slack: 60 * time.Millisecond,
		Steps:   []dispatch.Step{{Tasks: 2, Needs: dispatch.Resources{Millicores: 8000, Memory: 100}, Estimate: 200 * time.Millisecond}},
		Arrived: z.now, CallerDeadline: z.now.Add(1500 * time.Millisecond), Urgency: 1,
	}
	if z.jobs%4 == 0 {
		job.Route, job.Steps[0].Tasks, job.Steps[0].Estimate, job.Urgency = "preview", 8, 60*time.Millisecond, 0
	}
	z.Submit(z.now, dispatch.CallerID(z.jobs), job)
	z.after(time.Second/time.Duration(z.jobsPerSecond), z.submit)
}

// run advances the system by d.
func (z *largeZone) run(d time.Duration) {
	for end := z.now.Add(d); !z.events[0].at.After(end); {
		event := heap.Pop(&z.events).(scheduledEvent)
		z.now = event.at
		event.do()
		z.carryOut(z.Take(z.now))
	}
}

func (z *largeZone) carryOut(e dispatch.Effects) {
	z.sends += len(e.Sends)
	for _, s := range e.Starts {
		z.after(time.Millisecond, func() { z.start(s) })
	}
	for _, p := range e.Polls {
		w := z.clocks[p.Worker]
		w.finished = slices.DeleteFunc(w.finished, func(f dispatch.FinishedTask) bool { return f.Sequence <= p.Acknowledged })
		if p.Wait == 0 || len(w.finished) > 0 {
			z.after(time.Millisecond, func() { z.answer(p) })
			continue
		}
		w.poll = &p
		z.after(p.Wait, func() {
			if w.poll == &p {
				z.answer(p)
			}
		})
	}
}

func (z *largeZone) start(s dispatch.Start) {
	w := z.clocks[s.Worker]
	w.running = append(w.running, dispatch.RunningTask{Task: s.Task, Number: s.Number})
	z.StartDone(z.now, s, dispatch.Accepted, z.now.Sub(simulationStart))
	z.after(100*time.Millisecond, func() {
		w.running = slices.DeleteFunc(w.running, func(r dispatch.RunningTask) bool { return r.Task == s.Task })
		w.next++
		w.finished = append(w.finished, dispatch.FinishedTask{Sequence: w.next, Task: s.Task, Number: s.Number, Result: dispatch.RunSucceeded})
		slices.SortFunc(w.finished, func(a, b dispatch.FinishedTask) int { return cmp.Compare(a.Sequence, b.Sequence) })
		if w.poll != nil {
			z.answer(*w.poll)
		}
	})
}

func (z *largeZone) answer(p dispatch.Poll) {
	w := z.clocks[p.Worker]
	w.poll = nil
	z.PollDone(z.now, p, dispatch.Report{
		Incarnation: 1, Clock: z.now.Sub(simulationStart), Running: slices.Clone(w.running), Finished: slices.Clone(w.finished),
	}, dispatch.Accepted)
}

// BenchmarkLeaderOfLargeZone measures the processor time of the control state for a
// second of a zone's jobs: at the usual load, and at four times that load, which the
// workers cannot carry.
func BenchmarkLeaderOfLargeZone(b *testing.B) {
	for _, jobsPerSecond := range []int{250, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", jobsPerSecond), func(b *testing.B) {
			z := newLargeZone()
			z.jobsPerSecond = jobsPerSecond
			z.run(2 * time.Second)
			z.submit()
			z.run(time.Second)
			z.sends = 0
			for b.Loop() {
				z.run(time.Second)
			}
			b.ReportMetric(float64(z.sends)/float64(b.N), "envelopes/op")
		})
	}
}
