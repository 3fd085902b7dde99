package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/amaranthwell/amaranthwell/peer"
)

// freeLoad is the load of a zone with free capacity for 12 jobs of two cores.
func freeLoad(zone string) *peer.ZoneLoad {
	return &peer.ZoneLoad{Zone: zone, Pools: []*peer.PoolRoom{{Pool: "editor", Millicores: 90_000, FreeMillicores: 24_000}}}
}

// TestLeadersShareTheFreeCapacityOfAZone guards against a zone that gets more jobs than it
// has room for: by several leaders, by one that uses a load twice, or by an old load.
func TestLeadersShareTheFreeCapacityOfAZone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var l receivedLoads
	l.receive(now, freeLoad("b"))
	is.Equal(l.offers(now, "editor", 3, 0)[0].budget, 8000) // a third of the free capacity

	now = now.Add(50 * ms)
	l.record(now, redirectedWork{at: now, zone: "b", pool: "editor", millicores: 6000, until: now.Add(time.Second)})
	is.Equal(l.offers(now, "editor", 3, 0)[0].budget, 2000)
	l.receive(now.Add(10*ms), freeLoad("b")) // the jobs may not have arrived there
	is.Equal(l.offers(now.Add(10*ms), "editor", 3, 0)[0].budget, 2000)
	l.receive(now.Add(100*ms), freeLoad("b")) // the jobs have arrived
	is.Equal(l.offers(now.Add(100*ms), "editor", 3, 0)[0].budget, 8000)

	is.Equal(len(l.offers(now.Add(100*ms+maxLoadAge), "editor", 3, 0)), 1)
	is.Equal(len(l.offers(now.Add(101*ms+maxLoadAge), "editor", 3, 0)), 0)
	is.Equal(len(l.offers(now, "other", 3, 0)), 0) // the zone has no workers of that pool
}

// TestZoneThatRedirectsOffersNothing guards against two zones that redirect jobs to each
// other.
func TestZoneThatRedirectsOffersNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var d dispatcher
	own := poolLoad{capacity: 90_000, free: 24_000, waiting: 4000}
	is.Equal(d.offered(now, "editor", own), 20_000)
	d.loads.record(now, redirectedWork{at: now, zone: "b", pool: "editor", millicores: 2000})
	is.Equal(d.offered(now.Add(200*ms), "editor", own), 0)
	is.Equal(d.offered(now.Add(301*ms), "editor", own), 20_000)
}

// TestRedirectedJobsQueueBehindOwnOnes guards against a flood of another zone that displaces
// work of the same or a higher urgency.
func TestRedirectedJobsQueueBehindOwnOnes(t *testing.T) {
	is := is.New(t)
	job := func(id string, urgency int, foreign bool) *activeJob {
		j := newActiveJob(Job{ID: id, Urgency: urgency, Steps: []Step{{Tasks: 1}}})
		j.foreign = foreign
		return j
	}
	var q queue
	for _, j := range []*activeJob{job("1", 1, true), job("2", 1, false), job("3", 0, true), job("4", 0, false)} {
		q.add(j)
	}
	q.sort()
	var order []string
	for _, j := range q.jobs {
		order = append(order, j.ID)
	}
	is.Equal(order, []string{"4", "3", "2", "1"})
}

// TestLoadIsShort guards the bytes that the loads add to a leader's heartbeats.
func TestLoadIsShort(t *testing.T) {
	load := freeLoad("hr-north-b")
	load.Pools[0].WaitingMillicores, load.Pools[0].WaitNanos = 120_000, int64(80*ms)
	is.New(t).True(proto.Size(&peer.Beat{Loads: []*peer.ZoneLoad{load}}) <= 50)
}
