package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/peer"
)

// busyLoad is the load of an overloaded zone of 90 cores.
func busyLoad(zone string, wait time.Duration) *peer.ZoneLoad {
	return &peer.ZoneLoad{Zone: zone, Pools: []*peer.PoolRoom{{
		Pool: "editor", Millicores: 90_000, WaitingMillicores: 50_000, WaitNanos: int64(wait),
	}}}
}

// busyJobs returns n jobs of 0.5 core-seconds at the end of a queue of a zone.
func busyJobs(n int, wait time.Duration) []redirectCandidate {
	jobs := make([]redirectCandidate, n)
	for i := range jobs {
		jobs[i] = redirectCandidate{id: string(rune('0' + i)), millicores: 2000, work: 0.5, wait: wait, run: 250 * ms, left: time.Second, remoteFactor: 2}
	}
	return jobs
}

// TestZonesOverloadedByDifferentAmountsEvenOutTheirWaits guards the load in which all zones
// are overloaded by different amounts: the one with the most demand redirects into the
// shorter queues, and not more than evens the waits out, also if other leaders do the same.
func TestZonesOverloadedByDifferentAmountsEvenOutTheirWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var l receivedLoads
	l.receive(now, busyLoad("b", 100*ms))
	l.receive(now, busyLoad("c", 280*ms))
	offers := l.offers(now, "editor", 2, 300*ms)
	r := redirectDecision{home: "a", homeWait: 300 * ms, offers: offers}
	choices := r.choose(busyJobs(50, 300*ms))
	// Half of 0.2 s is 9 core-seconds of b, for two leaders in need.
	is.Equal(len(choices), 9)
	for _, c := range choices {
		is.Equal(c.zone, "b")
		is.Equal(c.reason, shorterQueue)
		l.record(now, redirectedWork{at: now, zone: c.zone, pool: "editor", millicores: c.millicores, work: c.work})
	}
	again := redirectDecision{home: "a", homeWait: 300 * ms, offers: l.offers(now, "editor", 2, 300*ms)}
	is.Equal(len(again.choose(busyJobs(50, 300*ms))), 0) // the same load is not used twice
}

// TestEvenQueuesExchangeNothing guards against oscillation: waits that differ by less than
// the error of the estimates move no jobs, in either direction.
func TestEvenQueuesExchangeNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	for _, wait := range []time.Duration{260 * ms, 300 * ms, 340 * ms} {
		var l receivedLoads
		l.receive(now, busyLoad("b", wait))
		r := redirectDecision{home: "a", homeWait: 300 * ms, offers: l.offers(now, "editor", 1, 300*ms)}
		is.Equal(len(r.choose(busyJobs(50, 300*ms))), 0)
	}
}

// TestLeaderThatAcceptsJobsUsesNoQueues guards against two leaders with old loads that
// exchange jobs, and against jobs that are passed on through a chain of zones.
func TestLeaderThatAcceptsJobsUsesNoQueues(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var l receivedLoads
	l.accept(now, "editor")
	later := now.Add(200 * ms)
	l.receive(later, busyLoad("b", 0))
	is.Equal(l.offers(later, "editor", 1, 300*ms)[0].queueBudget, 0.0)
	later = now.Add(301 * ms)
	is.True(l.offers(later, "editor", 1, 300*ms)[0].queueBudget > 0)

	// A zone that redirects jobs offers no place in its queue.
	var d dispatcher
	own := poolLoad{capacity: 90_000, work: map[int]float64{0: 9}}
	d.loads.record(now, redirectedWork{at: now, zone: "b", pool: "editor", millicores: 2000})
	is.True(d.offeredWait(now.Add(200*ms), "editor", own) < 0)
	is.Equal(d.offeredWait(now.Add(301*ms), "editor", own), 100*ms)
}

// TestFreeCapacityIsDividedAmongLeadersInNeed guards the flood of one zone of several: zones
// with free capacity of their own need no share, and capacity is given back once the
// redirected jobs should have ended.
func TestFreeCapacityIsDividedAmongLeadersInNeed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var l receivedLoads
	l.receive(now, freeLoad("b"))
	l.receive(now, freeLoad("c"))
	l.receive(now, freeLoad("d"))
	is.Equal(l.offers(now, "editor", 3, 0)[0].budget, 24_000)
	l.receive(now, busyLoad("d", 100*ms))
	is.Equal(l.offers(now, "editor", 3, 0)[0].budget, 12_000)

	l.record(now, redirectedWork{at: now, zone: "b", pool: "editor", millicores: 12_000, until: now.Add(60 * ms)})
	is.Equal(l.offers(now.Add(59*ms), "editor", 3, 0)[0].budget, 0)
	is.Equal(l.offers(now.Add(60*ms), "editor", 3, 0)[0].budget, 12_000)
}

// TestJobWaitsForTheNextLoadOfAZoneWithRoom guards against a refusal while another zone has
// free capacity and only this leader's share of it is used up. The job is refused once it
// cannot end in time there, or if there is no other leader or no recent load.
func TestJobWaitsForTheNextLoadOfAZoneWithRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct {
		leaders   int
		later     time.Duration
		left      time.Duration
		keepsWait bool
	}{
		{1, 0, time.Second, true},
		{1, 0, 5 * ms, false},
		{0, 0, time.Second, false},
		{1, 301 * ms, time.Second, false},
	} {
		d := newZone(now)
		d.otherLeaders = func(time.Time) int { return test.leaders }
		d.effects, d.ends, d.reportEnd = &Effects{}, make(map[string]*keptEnd), func(time.Time, netip.AddrPort, End) {}
		j := d.zoneTask(now, "1", "").job
		j.objective = now.Add(test.later + j.chainTime + test.left)
		load := freeLoad("other")
		load.Pools[0].Pool = j.Pool
		d.loads.receive(now, load)
		d.loads.record(now, redirectedWork{at: now, zone: "other", pool: j.Pool, millicores: 24_000, until: now.Add(time.Second)})
		d.giveUp(now.Add(test.later), j, "no-capacity")
		is.Equal(d.jobs[j.ID] == j, test.keepsWait)
	}
}
