package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// waitingJob returns a job of two cores whose run takes 60 ms, with 120 ms left.
func waitingJob(id string, wait time.Duration) redirectCandidate {
	return redirectCandidate{id: id, millicores: 2000, wait: wait, run: 60 * ms, left: 120 * ms, remoteFactor: 2}
}

// zoneNames returns the zones of the choices by job.
func zoneNames(choices []redirectChoice) map[string]string {
	zones := make(map[string]string)
	for _, c := range choices {
		zones[c.id] = c.zone
	}
	return zones
}

// TestRedirectDecision guards the choice of the jobs that are redirected under several loads
// of the own zone and of the others.
func TestRedirectDecision(t *testing.T) {
	offer := func(zone string, budget int, wait time.Duration) redirectOffer {
		return redirectOffer{zone: zone, capacity: 100_000, budget: budget, wait: wait}
	}
	data := waitingJob("data", 0)
	data.dataZone, data.left = "b", 200*ms
	for _, test := range []struct {
		load   string
		offers []redirectOffer
		jobs   []redirectCandidate
		want   map[string]string
	}{
		{
			"the own zone starts the jobs at once",
			[]redirectOffer{offer("b", 50_000, 0)},
			[]redirectCandidate{waitingJob("1", 0), waitingJob("2", 20*ms)},
			map[string]string{},
		},
		{
			"a flood of the own zone: those at the tail of the queue leave, within the budget",
			[]redirectOffer{offer("b", 5000, 0)},
			[]redirectCandidate{waitingJob("1", 70*ms), waitingJob("2", 80*ms), waitingJob("3", 90*ms)},
			map[string]string{"2": "b", "3": "b"},
		},
		{
			"a wait that is clearly longer, although the job would end in time",
			[]redirectOffer{offer("b", 5000, 0)},
			[]redirectCandidate{waitingJob("1", 50*ms)},
			map[string]string{"1": "b"},
		},
		{
			"the other zone is as busy",
			[]redirectOffer{offer("b", 5000, 70*ms)},
			[]redirectCandidate{waitingJob("1", 70*ms)},
			map[string]string{},
		},
		{
			"the other zone has no free capacity",
			[]redirectOffer{offer("b", 0, 0)},
			[]redirectCandidate{waitingJob("1", 500*ms)},
			map[string]string{},
		},
		{
			"more was redirected than the other zone has free",
			[]redirectOffer{offer("b", -2000, 0)},
			[]redirectCandidate{waitingJob("1", 500*ms)},
			map[string]string{},
		},
		{
			"no zone can end the job in time",
			[]redirectOffer{offer("b", 50_000, 0)},
			[]redirectCandidate{{id: "1", millicores: 2000, wait: 500 * ms, run: 60 * ms, left: 60 * ms}},
			map[string]string{},
		},
		{
			"the job would be refused",
			[]redirectOffer{offer("b", 50_000, 0)},
			[]redirectCandidate{waitingJob("1", -1)},
			map[string]string{"1": "b"},
		},
		{
			"two zones are free: the one with more room is used until the other has more",
			[]redirectOffer{offer("b", 5000, 0), offer("c", 6000, 0)},
			[]redirectCandidate{waitingJob("1", 90*ms), waitingJob("2", 90*ms)},
			map[string]string{"2": "c", "1": "b"},
		},
		{
			"the data is in another zone that is free",
			[]redirectOffer{offer("b", 5000, 0), offer("c", 50_000, 0)},
			[]redirectCandidate{data},
			map[string]string{"data": "b"},
		},
		{
			"the data is in another zone that is busy",
			[]redirectOffer{offer("b", 0, 0), offer("c", 50_000, 0)},
			[]redirectCandidate{data},
			map[string]string{},
		},
		{"no load of another zone is known", nil, []redirectCandidate{waitingJob("1", 500*ms)}, map[string]string{}},
	} {
		t.Run(test.load, func(t *testing.T) {
			r := redirectDecision{home: "a", offers: test.offers}
			is.New(t).Equal(zoneNames(r.choose(test.jobs)), test.want)
		})
	}
}

// TestZoneWithoutWorkersRedirectsInProportion guards against jobs that stay in a zone whose
// workers are all drained or lost, and against one zone that gets all of them.
func TestZoneWithoutWorkersRedirectsInProportion(t *testing.T) {
	is := is.New(t)
	var jobs []redirectCandidate
	for n := range 100 {
		jobs = append(jobs, waitingJob(string(rune('0'+n)), -1))
	}
	r := redirectDecision{home: "a", withoutWorkers: true, offers: []redirectOffer{
		{zone: "b", capacity: 90_000}, {zone: "c", capacity: 30_000, budget: 50_000}, {zone: "d"},
	}}
	counts := make(map[string]int)
	for _, zone := range zoneNames(r.choose(jobs)) {
		counts[zone]++
	}
	is.Equal(counts, map[string]int{"b": 75, "c": 25})

	drained := redirectDecision{home: "a", withoutWorkers: true, offers: []redirectOffer{{zone: "b"}, {zone: "c"}}}
	is.Equal(len(drained.choose(jobs)), 0) // no other zone has capacity
}

// TestOnlyJobsThatNeverStartedAreRedirected guards against a redirected job of which a run may
// be running in its own zone, and against one that is redirected from zone to zone.
func TestOnlyJobsThatNeverStartedAreRedirected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := newZone(now)
	is.True(d.redirectable(now, d.zoneTask(now, "1", "").job))

	redirected := d.zoneTask(now, "2", "").job
	redirected.Zone = "a"
	is.True(!d.redirectable(now, redirected))

	hadLeader := d.zoneTask(now, "3", "").job
	hadLeader.EarlierLeaders = 1
	is.True(!d.redirectable(now, hadLeader))
	hadLeader.EarlierRunsEndBy = now.Add(time.Second)
	is.True(!d.redirectable(now, hadLeader))
	is.True(d.redirectable(now.Add(time.Second), hadLeader)) // the runs of that leader have ended

	started := d.zoneTask(now, "4", "")
	d.start(now, d.workers["w-fast"], started)
	again := d.zoneTask(now, "4", "").job // forwarded again after the first one was dropped
	is.True(!d.redirectable(now, again))

	d.removeRun(d.workers["w-fast"], d.workers["w-fast"].runs[started.id])
	started.apply(eventLoseRun)
	is.True(!d.redirectable(now, started.job))
}
