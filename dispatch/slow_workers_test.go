package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newZone returns the dispatcher of a zone with two idle workers for one task each: w-fast with
// speed 1.2 on rack r-1, and w-slow with speed 0.55 on rack r-2.
func newZone(now time.Time) *dispatcher {
	receiver := netip.MustParseAddrPort("10.0.0.1:70")
	d := newDispatcher(receiver, maxRunConfirmation)
	d.effects = &Effects{}
	d.zoneOf = func(netip.AddrPort) string { return "a" }
	d.workersReadAt = func() time.Time { return now }
	d.confirmedBy = func(now time.Time, _ netip.AddrPort) time.Time { return now }
	d.mayCommand = func(time.Time, string) (from, until time.Time) { return time.Time{}, time.Time{} }
	d.drained.set(now, 1, nil)
	d.setTerm(now, "a", 1)
	for _, w := range []struct {
		id, rack string
		speed    float64
	}{{"w-fast", "r-1", 1.2}, {"w-slow", "r-2", 0.55}} {
		d.setWorker(now, Worker{ID: w.id, Pool: "editor", Zone: "a", Rack: w.rack, Capacity: Resources{Millicores: 8000, Memory: 100}})
		d.workers[w.id].polled, d.workers[w.id].speed = true, w.speed
	}
	return d
}

// zoneTask returns the task of a job that takes 60 ms at speed 1.
func (d *dispatcher) zoneTask(now time.Time, id, rack string) *task {
	j := newActiveJob(Job{ID: id, Route: "previews", Pool: "editor", Arrived: now, Steps: []Step{{
		Tasks: 1, Needs: Resources{Millicores: 8000, Memory: 1}, Estimate: 60 * ms, Rack: rack,
	}}})
	j.receivers[d.self] = "a"
	j.objective, j.runTimes = now.Add(time.Second), []time.Duration{60 * ms}
	d.jobs[id] = j
	d.queue.add(j)
	return j.steps[0][0]
}

// TestSlowWorkerIsUsedOnlyInTimeOrIfNoneFasterComesFree guards against tasks on a slow worker
// that would end earlier on a faster one, and against a slow worker that is never used.
func TestSlowWorkerIsUsedOnlyInTimeOrIfNoneFasterComesFree(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		load string
		// ran is for how long the fast worker has run a task that takes 50 ms there.
		ran, left   time.Duration
		late, ahead bool
		want        string
	}{
		{"in time on the slow worker", 0, 120 * ms, false, false, "w-slow"},
		{"not in time there, but maybe on the fast one", 0, 100 * ms, false, false, ""},
		{"late, and the fast one ends it earlier", 10 * ms, 20 * ms, true, false, ""},
		{"late, and the fast one comes free too late", 0, 20 * ms, true, false, "w-fast-is-slower"},
		{"late, and a job ahead gets the fast one", 10 * ms, 20 * ms, true, true, "w-slow"},
		{"late, and the run on the fast one is long overdue", 200 * ms, 20 * ms, true, false, "w-slow"},
	} {
		t.Run(test.load, func(t *testing.T) {
			is := is.New(t)
			d := newZone(start)
			d.start(start, d.workers["w-fast"], d.zoneTask(start, "1", ""))
			now := start.Add(test.ran)
			if test.want == "w-fast-is-slower" {
				d.workers["w-slow"].speed, test.want = 0.8, "w-slow"
			}
			waiting := d.zoneTask(now, "2", "")
			waiting.job.objective, waiting.job.late = now.Add(test.left), test.late
			d.findOpenWorkers(now)
			d.waitingAhead = test.ahead
			got := ""
			if w := d.chooseWorker(now, waiting); w != nil {
				got = w.ID
			}
			is.Equal(got, test.want)
		})
	}
}

// TestRemoteRackFactorDecidesBetweenRacks guards the factor of the settings: the slow worker
// next to the data is used only if the factor outweighs its speed.
func TestRemoteRackFactorDecidesBetweenRacks(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	for factor, want := range map[float64]string{1.5: "w-fast", 3: "w-slow"} {
		d := newZone(now)
		d.remoteRackFactor = factor
		waiting := d.zoneTask(now, "1", "r-2")
		d.findOpenWorkers(now)
		is.Equal(d.chooseWorker(now, waiting).ID, want)
	}
}

// TestLateTaskDoesNotWaitForADrainedWorker guards against a late task that waits for a faster
// worker on which nothing is started, because its zone is drained.
func TestLateTaskDoesNotWaitForADrainedWorker(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	d := newZone(start)
	d.setTerm(start, "b", 1)
	fast := d.workers["w-fast"].Worker
	fast.Zone = "b"
	d.setWorker(start, fast)
	d.workers["w-fast"].polled = true
	d.start(start, d.workers["w-fast"], d.zoneTask(start, "1", ""))
	d.setDrainedZones(start, 2, []string{"b"}, fromStore)
	d.workers["w-fast"].speed = 1.2
	now := start.Add(10 * ms)
	late := d.zoneTask(now, "2", "")
	late.job.objective, late.job.late = now.Add(20*ms), true
	d.findOpenWorkers(now)
	w := d.chooseWorker(now, late)
	is.True(w != nil)
	is.Equal(w.ID, "w-slow")
}
