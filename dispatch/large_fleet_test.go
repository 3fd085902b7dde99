package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// TestNewInstanceLeadsOnlyItsZoneOfALargeFleet starts an instance that knows no
// worker yet, as after a loss of power of all machines, beside an instance of another
// zone. If there are too many workers for one leader, the new instance claims only
// its own zone.
func TestNewInstanceLeadsOnlyItsZoneOfALargeFleet(t *testing.T) {
	for _, test := range []struct {
		workers int
		apart   bool
	}{
		{workers: 0}, {workers: 48}, {workers: 350, apart: true},
	} {
		is := is.New(t)
		now := simulationStart
		i := dispatch.NewInstance(now, dispatch.Config{Self: selfAddress, Zone: "hr-north-a", Zones: simulationZones, Weight: 800, Wall: now})
		i.SetExpectedWorkers(now, test.workers)
		i.AddMember(now, firstLeader, "hr-north-b", 0)
		claimed := make(map[string]bool)
		for end := now.Add(time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
			i.Receive(now, firstLeader, &peer.Envelope{Zone: "hr-north-b", Beat: &peer.Beat{Reply: true}})
			i.Tick(now)
			for _, send := range i.Take(now).Sends {
				for _, lead := range send.Envelope.GetBeat().GetLeads() {
					claimed[lead.Zone] = true
				}
			}
		}
		is.True(claimed["hr-north-a"])
		is.Equal(!claimed["hr-north-b"], test.apart)
	}
}
