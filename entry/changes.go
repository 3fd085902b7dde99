package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
)

// changesEvery is the time between looks for changes of state. A state that
// lasts for less may go unreported.
const changesEvery = 100 * time.Millisecond

// A ChangeKind says what a Change is about.
type ChangeKind string

// The kinds of Change.
const (
	// PeerChange is a change of what the instance believes of a peer's life.
	PeerChange ChangeKind = "peer-state"
	// ServerChange is a change of the health of a backend server that the
	// instance holds.
	ServerChange ChangeKind = "backend-server-state"
)

// A Change is a change of state that operators are told of.
type Change struct {
	// Kind is the kind of process at Subject and of its state.
	Kind ChangeKind
	// Subject is the address of the peer or backend server.
	Subject netip.AddrPort
	// From and To are names of states in the chart of a peer's life or of a
	// backend server's health. From is empty for a peer not known before.
	From, To string
}

// changes holds the states that were last reported.
type changes struct {
	at      time.Time
	peers   map[netip.AddrPort]string
	servers map[netip.AddrPort]string
}

// noteChanges reports what has changed since the last look.
func (i *Instance) noteChanges(now time.Time) {
	if now.Sub(i.changes.at) < changesEvery {
		return
	}
	i.changes.at = now
	i.notePeers()
	i.noteServers()
}

func (i *Instance) notePeers() {
	peers := make(map[netip.AddrPort]string)
	for _, addr := range i.members.Addresses() {
		peers[addr] = i.members.State(addr)
		i.change(PeerChange, addr, i.changes.peers[addr], peers[addr])
	}
	for _, addr := range sortedAddrs(i.changes.peers) {
		if _, ok := peers[addr]; !ok {
			i.change(PeerChange, addr, i.changes.peers[addr], "gone")
		}
	}
	i.changes.peers = peers
}

// noteServers reports the servers that come out of use or back. A server that
// this instance begins to hold is taken to have been in use.
func (i *Instance) noteServers() {
	servers := make(map[netip.AddrPort]string)
	for _, name := range sorted(i.pools) {
		p := i.pools[name]
		for _, addr := range sortedAddrs(p.mine) {
			state := p.holding.State(addr)
			servers[addr] = state
			before, ok := i.changes.servers[addr]
			if !ok {
				before = backend.InitialState
			}
			if !backend.InUse(before) || !backend.InUse(state) {
				i.change(ServerChange, addr, before, state)
			}
		}
	}
	i.changes.servers = servers
}

// change reports one change, if it is one.
func (i *Instance) change(what ChangeKind, subject netip.AddrPort, from, to string) {
	if from != to {
		i.effects.Changes = append(i.effects.Changes, Change{Kind: what, Subject: subject, From: from, To: to})
	}
}
