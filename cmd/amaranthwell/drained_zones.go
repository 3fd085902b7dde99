package main

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/platform"
)

// drainRequests are the availability zones that the operators have drained, by the records
// of the store that were read.
type drainRequests map[string]bool

// apply applies records of platform.OperatorTopic, in the order in which they were written.
func (r drainRequests) apply(records []platform.Record) {
	for _, record := range records {
		zone, ok := platform.DecodeDrainRequest(record)
		switch {
		case !ok:
		case record.Deleted:
			delete(r, zone)
		default:
			r[zone] = true
		}
	}
}

// setDrainedZones sets the drained zones of the instance. The offset next, up to which
// the topic was read, orders the lists that instances have read.
func (s *service) setDrainedZones(next int64, requests drainRequests) {
	zones := slices.Sorted(maps.Keys(requests))
	s.loop.post(func(now time.Time, i *dispatch.Instance) {
		// Revision 0 means that no list is known.
		i.SetDrainedZones(now, uint64(next)+1, zones)
	})
}

// drainedState is a copy of the instance's drained zones for the metrics.
type drainedState struct {
	latest atomic.Pointer[map[string]dispatch.DrainedZone]
	// copiedAt is when the copy was made. Only the control goroutine uses it.
	copiedAt time.Time
}

// newDrainedState returns a drainedState, and registers metrics of each of the zones.
func newDrainedState(set *metrics.Set, zones []string) *drainedState {
	s := &drainedState{}
	s.latest.Store(&map[string]dispatch.DrainedZone{})
	set.NewGauge("amaranthwell_zones_drained", func() float64 { return float64(len(*s.latest.Load())) })
	for _, zone := range zones {
		label := `{zone="` + zone + `"}`
		set.NewGauge(`amaranthwell_zone_drained_seconds`+label, func() float64 {
			z, drained := (*s.latest.Load())[zone]
			if !drained {
				return -1
			}
			return bootTime().Sub(z.Since).Seconds()
		})
		set.NewGauge(`amaranthwell_zone_drained_runs`+label, func() float64 {
			return float64((*s.latest.Load())[zone].Running)
		})
	}
	return s
}

// copy copies the instance's drained zones, unless they were copied within metricsEvery.
func (s *drainedState) copy(now time.Time, i *dispatch.Instance) {
	if now.Sub(s.copiedAt) < metricsEvery {
		return
	}
	s.copiedAt = now
	zones := i.DrainedZones()
	if len(zones) == 0 && len(*s.latest.Load()) == 0 {
		return
	}
	latest := make(map[string]dispatch.DrainedZone, len(zones))
	for _, z := range zones {
		latest[z.Name] = z
	}
	s.latest.Store(&latest)
}
