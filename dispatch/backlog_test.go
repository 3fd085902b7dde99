package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a zone that other leaders take for one with free capacity while it is
// drained.
func TestDrainedZoneHasNoCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := newDispatcher(netip.MustParseAddrPort("10.0.0.1:70"), maxRunConfirmation)
	d.effects = &Effects{}
	for _, zone := range []string{"hr-north-a", "hr-north-b"} {
		d.terms[zone] = 1
		d.setWorker(now, Worker{ID: "w-" + zone, Pool: "editor", Zone: zone, Capacity: Resources{Millicores: 8000}})
		d.workers["w-"+zone].polled = true
	}
	is.Equal(d.poolLoad(now, "editor").capacity, 0) // no list is known
	d.setDrainedZones(now, 1, nil, fromStore)
	is.Equal(d.poolLoad(now, "editor").capacity, 16_000)
	d.setDrainedZones(now, 2, []string{"hr-north-a"}, fromStore)
	load := d.poolLoad(now, "editor")
	is.Equal(load.capacity, 8000)
	is.Equal(load.free, 8000)
	is.Equal(load.wait(0), time.Duration(0))
	d.setDrainedZones(now, 3, []string{"hr-north-a", "hr-north-b"}, fromStore)
	load = d.poolLoad(now, "editor")
	is.Equal(load.free, 0)
	is.True(load.wait(0) < 0)
}

// Guards against speeds from before a zone was drained, which its restarted workers may
// not have, and against a returned worker that is preferred for such a speed.
func TestSpeedsAreAgedWhenAZoneReturns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	d := newDispatcher(netip.MustParseAddrPort("10.0.0.1:70"), maxRunConfirmation)
	d.effects = &Effects{}
	for id, speed := range map[string]float64{"slow": 0.25, "fast": 2} {
		d.setWorker(now, Worker{ID: id, Zone: "hr-north-a"})
		d.workers[id].speed = speed
	}
	d.setWorker(now, Worker{ID: "other", Zone: "hr-north-b"})
	d.workers["other"].speed = 2
	d.setDrainedZones(now, 1, []string{"hr-north-a"}, fromStore)
	is.Equal(d.workers["slow"].speed, 0.25)
	d.setDrainedZones(now, 2, nil, fromStore)
	is.Equal(d.workers["slow"].speed, 0.5)
	is.Equal(d.workers["fast"].speed, 1.0)
	is.Equal(d.workers["other"].speed, 2.0)
	for range uncertainSpeedRuns {
		is.Equal(d.workers["slow"].speedWeight(0.5), 0.5*uncertainSpeedFactor)
	}
	is.Equal(d.workers["slow"].speedWeight(0.5), 0.5)
	is.Equal(d.workers["other"].speedWeight(0.5), 0.5)
}
