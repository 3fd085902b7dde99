package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// changesOf returns the changes of a kind that node n reported.
func (sim *simulation) changesOf(n int, kind entry.ChangeKind) []entry.Change {
	var found []entry.Change
	for _, c := range sim.changes[instanceAddress(n)] {
		if c.Kind == kind {
			found = append(found, c)
		}
	}
	return found
}

// TestChangesOfPeersAndServersAreReportedOnce checks the state changes that are
// reported when a peer is killed and a held backend server begins to leave.
func TestChangesOfPeersAndServersAreReportedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9, 2, 3)
	sim.run(settleTime)
	sim.kill(instanceAddress(1))
	sim.list.Instances = append(sim.list.Instances, peer.Instance{
		Address: serverAddress(0), Kind: peer.BackendServer, Zone: zoneOf(0), Leaving: true,
	})
	sim.setList(sim.list)
	sim.run(10 * time.Second)
	peer := instanceAddress(1)
	is.Equal(sim.changesOf(0, entry.PeerChange), []entry.Change{
		{Kind: entry.PeerChange, Subject: peer, From: "", To: "unheard"},
		{Kind: entry.PeerChange, Subject: peer, From: "unheard", To: "live"},
		{Kind: entry.PeerChange, Subject: peer, From: "live", To: "suspect"},
	})
	is.Equal(sim.changesOf(0, entry.ServerChange), []entry.Change{
		{Kind: entry.ServerChange, Subject: serverAddress(0), From: "probation", To: "leaving"},
	})
}
