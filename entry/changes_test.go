package entry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/peer"
)

// changesOf returns the changes that a node of the world reported about what.
func (w *world) changesOf(n int, what entry.ChangeKind) []entry.Change {
	var found []entry.Change
	for _, c := range w.changes[instanceAddress(n)] {
		if c.Kind == what {
			found = append(found, c)
		}
	}
	return found
}

func TestChangesOfPeersAndServersAreReportedOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(9, 2, 3)
	w.run(settle)
	w.kill(instanceAddress(1))
	w.list.Instances = append(w.list.Instances, peer.Instance{
		Address: serverAddress(0), Kind: peer.BackendServer, Zone: zoneOf(0), Leaving: true,
	})
	w.setList(w.list)
	w.run(10 * time.Second)
	peer := instanceAddress(1)
	is.Equal(w.changesOf(0, entry.PeerChange), []entry.Change{
		{Kind: entry.PeerChange, Subject: peer, From: "", To: "unheard"},
		{Kind: entry.PeerChange, Subject: peer, From: "unheard", To: "live"},
		{Kind: entry.PeerChange, Subject: peer, From: "live", To: "suspect"},
	})
	is.Equal(w.changesOf(0, entry.ServerChange), []entry.Change{
		{Kind: entry.ServerChange, Subject: serverAddress(0), From: "probation", To: "leaving"},
	})
}
