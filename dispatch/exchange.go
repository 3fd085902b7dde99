package dispatch

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// maxEntries bounds the entries of the worker table in one envelope.
const maxEntries = 200

// Receive takes an envelope from a peer.
func (i *Instance) Receive(now time.Time, from netip.AddrPort, env *peer.Envelope) {
	i.advance(now)
	if env.Beat != nil {
		i.receiveBeat(now, from, env)
	}
	for _, w := range env.Workers {
		i.receiveWorker(now, from, w)
	}
	if len(env.OperatorTables) > 0 {
		i.effects.Tables = append(i.effects.Tables, env.OperatorTables)
	}
	if i.dispatcher.leading() {
		for _, j := range env.Jobs {
			i.dispatcher.give(now, from, decodeJob(now, j))
		}
		for _, id := range env.Withdrawn {
			i.dispatcher.withdraw(now, from, id)
		}
	}
	for _, e := range env.JobEnds {
		i.receiver.settled(now, from, decodeEnd(e))
	}
}

// LinkReset says that envelopes to the peer at addr may have been lost.
func (i *Instance) LinkReset(now time.Time, addr netip.AddrPort) {
	i.advance(now)
	i.peer(addr).revision = 0
	i.receiver.linkReset(now, addr)
	if i.dispatcher.leading() {
		i.dispatcher.resend(now, addr)
	}
}

// receiveBeat takes a peer's view, and answers with what the peer lacks.
func (i *Instance) receiveBeat(now time.Time, from netip.AddrPort, env *peer.Envelope) {
	p := i.peer(from)
	if p.incarnation != env.Incarnation {
		*p = peerState{incarnation: env.Incarnation}
	}
	p.version = env.Beat.Version
	if env.Beat.WorkersRevision < p.revision || env.Beat.Reply {
		p.revision = env.Beat.WorkersRevision
	}
	p.table = env.Beat.TableRevision
	reply := i.leadership.Receive(now, from, env.Zone, env.Leaving, env.Beat)
	i.leadership.SetTableAhead(from, len(env.Beat.Leads) > 0 && p.given < p.table)
	i.followTerms(now)
	if reply != nil {
		i.sendBeat(from, reply)
	}
	i.shareTables(now, from, p)
}

func (i *Instance) peer(addr netip.AddrPort) *peerState {
	p := i.peers[addr]
	if p == nil {
		p = &peerState{}
		i.peers[addr] = p
	}
	return p
}

// shareTables sends the configuration to a peer that stays behind.
func (i *Instance) shareTables(now time.Time, to netip.AddrPort, p *peerState) {
	switch {
	case p.version >= i.version:
		p.behindSince = time.Time{}
	case p.behindSince.IsZero():
		p.behindSince = now
	case now.Sub(p.behindSince) >= tablesAfter:
		p.behindSince = now
		i.envelope(to).OperatorTables = i.tables
	}
}

// broadcast sends a beat to all known instances.
func (i *Instance) broadcast(beat *peer.Beat) {
	for _, addr := range i.leadership.Members() {
		i.sendBeat(addr, &peer.Beat{
			Leads: beat.Leads, Hears: beat.Hears, Seeking: beat.Seeking, Members: beat.Members,
			Successor: beat.Successor, Weight: beat.Weight, TableRevision: beat.TableRevision,
		})
	}
}

// sendBeat sends a beat, with the changes of the worker table if this instance
// leads.
func (i *Instance) sendBeat(to netip.AddrPort, beat *peer.Beat) {
	beat.Version = i.version
	beat.WorkersRevision = i.peer(to).given
	env := i.envelope(to)
	env.Beat = beat
	if !i.leadership.Leading() {
		return
	}
	p := i.peer(to)
	for _, e := range i.table.since(p.revision) {
		if len(env.Workers) >= maxEntries {
			break
		}
		env.Workers = append(env.Workers, encodeWorker(e))
		p.revision = e.revision
	}
}

// receiveWorker takes an entry of a leader's worker table.
func (i *Instance) receiveWorker(now time.Time, from netip.AddrPort, w *peer.Worker) {
	p := i.peer(from)
	p.given = max(p.given, w.Revision)
	i.leadership.SetTableAhead(from, p.given < p.table)
	if _, leads := i.leadership.Leads(w.Zone); leads || i.leadership.Leading() && !i.leads(now, from, w.Zone) {
		return
	}
	if w.Gone {
		i.RemoveWorker(now, w.Id)
		return
	}
	if entry, ok := decodeWorker(w); ok {
		i.SetWorker(now, entry)
	}
}

// leads reports whether addr is the leader of zone.
func (i *Instance) leads(now time.Time, addr netip.AddrPort, zone string) bool {
	claim, fresh := i.leadership.Claim(now, zone)
	return fresh && claim.Leader == addr
}

// envelope returns the envelope that is being filled for addr.
func (i *Instance) envelope(addr netip.AddrPort) *peer.Envelope {
	env := i.outbox[addr]
	if env == nil {
		env = &peer.Envelope{
			From: i.cfg.Self.String(), Incarnation: i.cfg.Incarnation, Zone: i.cfg.Zone, Leaving: i.leaving,
		}
		i.outbox[addr] = env
	}
	return env
}
