package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
)

// changesInterval is the time between checks for state changes. A state that
// lasts for less may go unreported.
const changesInterval = 100 * time.Millisecond

// A ChangeKind is the kind of process that a Change is about.
type ChangeKind string

// The kinds of Change.
const (
	// PeerChange is a change of a peer's membership state in the instance's
	// view.
	PeerChange ChangeKind = "peer-state"
	// ServerChange is a change of the health of a backend server that the
	// instance holds.
	ServerChange ChangeKind = "backend-server-state"
)

// A Change is a state change that is reported to operators.
type Change struct {
	// Kind is the kind of process at Subject.
	Kind ChangeKind
	// Subject is the address of the peer or backend server.
	Subject netip.AddrPort
	// From and To are names of states of the state machine of peer
	// membership or of backend server health. From is empty for a peer that
	// was not known before.
	From, To string
}

// changes holds the time of the last check and the states found then, by the address
// of the peer or backend server.
type changes struct {
	checkedAt time.Time
	peers     map[netip.AddrPort]string
	servers   map[netip.AddrPort]string
}

// reportChanges reports the state changes since the last check, unless that was less
// than changesInterval ago.
func (i *Instance) reportChanges(now time.Time) {
	if now.Sub(i.changes.checkedAt) < changesInterval {
		return
	}
	i.changes.checkedAt = now
	i.reportPeerChanges()
	i.reportServerChanges()
}

// reportPeerChanges reports the state changes of peers. A peer that is no longer
// a member changes to the state gone.
func (i *Instance) reportPeerChanges() {
	peers := make(map[netip.AddrPort]string)
	for _, addr := range i.members.Addresses() {
		peers[addr] = i.members.State(addr)
		i.reportChange(PeerChange, addr, i.changes.peers[addr], peers[addr])
	}
	for _, addr := range sortedAddrs(i.changes.peers) {
		if _, ok := peers[addr]; !ok {
			i.reportChange(PeerChange, addr, i.changes.peers[addr], "gone")
		}
	}
	i.changes.peers = peers
}

// reportServerChanges reports the state changes of held backend servers, except
// those between two states in which a server is in use. A server that was not held at
// the last check counts as having been in the initial state.
func (i *Instance) reportServerChanges() {
	servers := make(map[netip.AddrPort]string)
	for _, name := range sortedMapKeys(i.pools) {
		p := i.pools[name]
		for _, addr := range sortedAddrs(p.held) {
			state := p.scheduler.State(addr)
			servers[addr] = state
			before, ok := i.changes.servers[addr]
			if !ok {
				before = backend.InitialState
			}
			if !backend.InUse(before) || !backend.InUse(state) {
				i.reportChange(ServerChange, addr, before, state)
			}
		}
	}
	i.changes.servers = servers
}

// reportChange reports the change from one state to another, unless they are the
// same.
func (i *Instance) reportChange(kind ChangeKind, subject netip.AddrPort, from, to string) {
	if from != to {
		i.effects.Changes = append(i.effects.Changes, Change{Kind: kind, Subject: subject, From: from, To: to})
	}
}
