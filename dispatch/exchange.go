package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// maxWorkersPerEnvelope bounds the entries of the worker table in one envelope.
const maxWorkersPerEnvelope = 200

// maxEndedIncarnations bounds the former processes that are remembered for each peer.
const maxEndedIncarnations = 8

// Receive handles an envelope from a peer.
func (i *Instance) Receive(now time.Time, from netip.AddrPort, env *peer.Envelope) {
	i.advance(now)
	if !i.followProcess(now, from, env.Incarnation) || !i.followSequence(now, from, env) {
		return
	}
	if env.Beat != nil {
		i.receiveHeartbeat(now, from, env)
	}
	i.followDeclaredShard(from, env.Zone)
	for _, w := range env.Workers {
		i.receiveWorker(now, from, w)
	}
	i.requestIgnoredEntries(now, from)
	if len(env.OperatorTables) > 0 {
		i.effects.Tables = append(i.effects.Tables, env.OperatorTables)
	}
	i.receiveJobs(now, from, env)
	p := i.peer(from)
	p.withdrawnReceived = max(p.withdrawnReceived, env.WithdrawnThrough)
	if env.Beat != nil {
		// The withdrawals come first: the heartbeat confirms the other jobs.
		p.confirm(now, env.Beat)
	}
	for _, e := range env.JobEnds {
		i.receiver.jobEnded(now, from, decodeEnd(e))
	}
}

// LinkReset handles a reset of the link to the peer at addr: envelopes may have been
// lost.
func (i *Instance) LinkReset(now time.Time, addr netip.AddrPort) {
	i.advance(now)
	i.peer(addr).sentRevision = 0
	i.receiver.linkReset(now, addr)
	if i.dispatcher.leading() {
		i.dispatcher.resendEnds(now, addr)
	}
}

// followProcess records which process runs at the address of a peer, and reports whether
// an envelope of the given incarnation is to be handled. When a new process appears, nobody
// waits any more for the jobs that the former one forwarded. An envelope of a former process
// may arrive later than that.
func (i *Instance) followProcess(now time.Time, addr netip.AddrPort, incarnation uint64) bool {
	p := i.peer(addr)
	if p.incarnation == incarnation {
		return true
	}
	if slices.Contains(p.endedIncarnations, incarnation) {
		return false
	}
	if p.incarnation == 0 {
		*p = peerState{incarnation: incarnation, withdrawals: p.withdrawals}
		return true
	}
	i.effects.decide("peer-restarted", addr.String(), "zone", i.leadership.Zone(addr))
	i.dispatcher.withdrawAll(now, addr)
	ended := append(p.endedIncarnations, p.incarnation)
	ended = ended[max(0, len(ended)-maxEndedIncarnations):]
	*p = peerState{incarnation: incarnation, endedIncarnations: ended, session: p.session}
	return true
}

// followSequence records the number and the session of an envelope, and reports whether it is to
// be handled. Each reset of a link begins a new stream. An envelope of the former stream that
// arrives after one of the new stream counts as lost: after the reset its sender sends again what
// still holds. Versions that do not number their envelopes send 0.
func (i *Instance) followSequence(now time.Time, from netip.AddrPort, env *peer.Envelope) bool {
	p := i.peer(from)
	if env.Sequence != 0 && env.Sequence <= p.sequence {
		i.effects.decide("envelope-overtaken", from.String(), "sequence", env.Sequence, "received", p.sequence,
			"jobs", len(env.Jobs), "ends", len(env.JobEnds), "withdrawn", len(env.Withdrawn))
		return false
	}
	if p.session != 0 && p.session != env.Session {
		i.receiver.leaderLostState(now, from)
	}
	p.sequence, p.session = env.Sequence, env.Session
	return true
}

// receiveHeartbeat handles a peer's heartbeat, with its list of drained zones. It replies if
// the peer asks for it, and sends the configuration if the peer requests it.
func (i *Instance) receiveHeartbeat(now time.Time, from netip.AddrPort, env *peer.Envelope) {
	i.dispatcher.setDrainedZones(now, env.Beat.DrainedRevision, env.Beat.DrainedZones, from.String())
	p := i.peer(from)
	p.version = env.Beat.Version
	p.withdrawals.acknowledge(env.Beat.WithdrawnReceived)
	if env.Beat.WorkersRevision < p.sentRevision || env.Beat.Reply {
		p.sentRevision = env.Beat.WorkersRevision
	}
	p.tableRevision = env.Beat.TableRevision
	reply := i.leadership.Receive(now, from, env.Zone, env.Leaving, env.Beat)
	i.leadership.SetTableAhead(from, len(env.Beat.Leads) > 0 && p.receivedRevision < p.tableRevision)
	i.followTerms(now)
	i.receiveLoads(now, from, env.Beat.Loads)
	i.requestConfiguration(now, from, p)
	if env.Beat.TablesWanted && p.version < i.version {
		i.envelope(from).OperatorTables = i.tables
	}
	if reply != nil {
		i.receiver.confirm(now, from)
		p.repliedAt = now
		i.sendHeartbeat(from, reply)
	}
}

// confirmedBy returns the latest time at which the process at addr is known to have waited
// for the jobs that it had forwarded and not withdrawn, or zero.
func (i *Instance) confirmedBy(_ time.Time, addr netip.AddrPort) time.Time {
	if addr == i.cfg.Self {
		return i.receiver.ownConfirmedAt
	}
	if p := i.peers[addr]; p != nil {
		return p.confirmedAt
	}
	return time.Time{}
}

// requestIgnoredEntries requests the whole worker table of a peer that has come to lead a
// zone of which this instance ignored its entries before.
func (i *Instance) requestIgnoredEntries(now time.Time, from netip.AddrPort) {
	p := i.peer(from)
	for zone := range p.ignoredZones {
		if i.leads(now, from, zone) {
			clear(p.ignoredZones)
			p.receivedRevision = 0
			return
		}
	}
}

func (i *Instance) peer(addr netip.AddrPort) *peerState {
	p := i.peers[addr]
	if p == nil {
		p = &peerState{}
		i.peers[addr] = p
	}
	return p
}

// requestConfiguration requests the configuration of a peer, at addr, that has a newer
// one, if this instance's stays outdated.
func (i *Instance) requestConfiguration(now time.Time, addr netip.AddrPort, p *peerState) {
	switch {
	case p.version <= i.version:
	case i.behindSince.IsZero():
		i.behindSince = now
	case now.Sub(i.behindSince) >= configurationLagLimit && now.Sub(i.tablesRequestedAt) >= configurationRequestInterval:
		i.tablesRequestedAt = now
		p.tablesWanted = true
		i.effects.decide("configuration-requested", addr.String(), "version", i.version, "newer", p.version, "behind", now.Sub(i.behindSince))
	}
}

// broadcast sends a heartbeat to the instances that are to receive one now, and with it the
// load of the own workers to the other leaders.
func (i *Instance) broadcast(now time.Time, heartbeat *peer.Beat) {
	leaders := i.otherLeaders(now)
	var loads []*peer.ZoneLoad
	if len(leaders) > 0 && i.dispatcher.leading() {
		loads = append(loads, i.dispatcher.zoneLoad(now))
	}
	i.leadership.SetForeignReceivers(slices.Collect(maps.Keys(i.dispatcher.foreign)))
	for _, addr := range i.leadership.Recipients(now) {
		var loadsFor []*peer.ZoneLoad
		if leaders[addr] {
			loadsFor = loads
		}
		hears, members := i.leadership.Abridge(addr, heartbeat)
		i.sendHeartbeat(addr, &peer.Beat{
			Loads: loadsFor,
			Leads: heartbeat.Leads, Hears: hears, Seeking: heartbeat.Seeking, Members: members,
			Successor: heartbeat.Successor, Weight: heartbeat.Weight, TableRevision: heartbeat.TableRevision, LeaderPerZone: heartbeat.LeaderPerZone, SentNanos: heartbeat.SentNanos,
			Shards: heartbeat.Shards,
		})
	}
}

// sendHeartbeat sends a heartbeat. A leader adds the changes of its worker table.
func (i *Instance) sendHeartbeat(to netip.AddrPort, heartbeat *peer.Beat) {
	heartbeat.Version = i.version
	heartbeat.DrainedZones, heartbeat.DrainedRevision = i.dispatcher.drained.zones, i.dispatcher.drained.revision
	p := i.peer(to)
	heartbeat.WorkersRevision = p.receivedRevision
	heartbeat.WithdrawnReceived = p.withdrawnReceived
	heartbeat.TablesWanted, p.tablesWanted = p.tablesWanted, false
	env := i.envelope(to)
	env.Beat = heartbeat
	if !i.leadership.Leading() || i.onlyConfirms(to) {
		return
	}
	for _, e := range i.table.changedSince(p.sentRevision) {
		if len(env.Workers) >= maxWorkersPerEnvelope {
			break
		}
		env.Workers = append(env.Workers, encodeWorker(e))
		p.sentRevision = e.revision
	}
}

// receiveWorker applies an entry of a leader's worker table. If the table of another
// instance counts for the entry's zone, it applies only an entry that is later than the
// known one.
func (i *Instance) receiveWorker(now time.Time, from netip.AddrPort, w *peer.Worker) {
	p := i.peer(from)
	p.receivedRevision = max(p.receivedRevision, w.Revision)
	i.leadership.SetTableAhead(from, p.receivedRevision < p.tableRevision)
	shard := i.leadership.ShardOfWorker(w.Zone, w.Id)
	if !i.tableCounts(now, from, shard) && (w.Gone || !i.table.lacks(w.Id, w.Version)) {
		p.ignore(shard)
		return
	}
	if w.Gone {
		if i.table.remove(w.Id, w.Version) {
			i.unlistWorker(now, w.Id, from.String())
			i.dispatcher.dropWorker(w.Id)
		}
		return
	}
	if entry, ok := decodeWorker(w); ok {
		i.setWorker(now, entry, from.String())
	}
}

// tableCounts reports whether the worker table of the instance at addr decides which
// workers of zone are listed: if it leads the zone, or if no instance does and this one,
// which leads no other zone either, does not read the table from the store.
func (i *Instance) tableCounts(now time.Time, addr netip.AddrPort, zone string) bool {
	claim, fresh := i.leadership.Claim(now, zone)
	if fresh {
		return claim.Leader == addr
	}
	return !i.leadership.Leading()
}

// leads reports whether addr is the leader of zone.
func (i *Instance) leads(now time.Time, addr netip.AddrPort, zone string) bool {
	claim, fresh := i.leadership.Claim(now, zone)
	return fresh && claim.Leader == addr
}

// envelope returns the pending envelope for addr, which Take sends.
func (i *Instance) envelope(addr netip.AddrPort) *peer.Envelope {
	env := i.outbox[addr]
	if env == nil {
		env = &peer.Envelope{
			From: i.cfg.Self.String(), Incarnation: i.cfg.Incarnation, Zone: i.leadership.Shard(), Leaving: i.leaving,
		}
		i.outbox[addr] = env
	}
	return env
}
