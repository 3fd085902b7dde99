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
		claimed := claimedBeside(i, now)
		is.True(claimed["hr-north-a"])
		is.Equal(!claimed["hr-north-b"], test.apart)
	}
}

// claimedBeside runs an instance of zone hr-north-a that starts at now, beside one of
// hr-north-b that knows no leader, and returns the zones that the first one claims.
func claimedBeside(i *dispatch.Instance, now time.Time) map[string]bool {
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
	return claimed
}

// TestOneLeaderCommandsAsManyWorkersAsItsMachineCarries has two zones led by one instance
// or apart, by the number of workers and the machines: 0.8 cores carry 120 workers, as
// the processor time of a task allows; a link of 2 Mbit/s carries 6, because the commands
// for one worker take up to 0.3 Mbit/s.
func TestOneLeaderCommandsAsManyWorkersAsItsMachineCarries(t *testing.T) {
	for _, test := range []struct {
		millicores int
		linkBits   float64
		workers    int
		apart      bool
	}{
		{millicores: 800, linkBits: 200e6, workers: 120},
		{millicores: 800, linkBits: 200e6, workers: 121, apart: true},
		{millicores: 400, workers: 48},
		{millicores: 400, workers: 61, apart: true},
		{millicores: 120, linkBits: 2e6, workers: 6},
		{millicores: 120, linkBits: 2e6, workers: 120, apart: true},
	} {
		is := is.New(t)
		now := simulationStart
		i := dispatch.NewInstance(now, dispatch.Config{
			Self: selfAddress, Zone: "hr-north-a", Zones: simulationZones, Wall: now,
			Weight: dispatch.Weight(test.millicores, test.linkBits),
		})
		i.SetExpectedWorkers(now, test.workers)
		claimed := claimedBeside(i, now)
		is.True(claimed["hr-north-a"])
		is.Equal(!claimed["hr-north-b"], test.apart)
	}
}
