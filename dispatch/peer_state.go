package dispatch

import (
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// peerState records which state a peer and this instance have received from each
// other.
type peerState struct {
	version uint64
	// confirmedAt is when this instance sent the latest heartbeat that the peer's process
	// has answered: at that time or later, it waited for all jobs that it had forwarded
	// and not withdrawn.
	confirmedAt time.Time
	// repliedAt is when this instance last answered a heartbeat of the peer, and so
	// confirmed the jobs that it had forwarded there.
	repliedAt time.Time
	// tablesWanted is set if the next heartbeat to the peer requests its configuration.
	tablesWanted bool
	// incarnation is that of the peer's process, or 0 if none is known, and
	// endedIncarnations are those of its latest former processes.
	incarnation       uint64
	endedIncarnations []uint64
	// tableRevision is the newest revision of the peer's worker table.
	tableRevision uint64
	// receivedRevision is the revision of the peer's worker table up to which this
	// instance has received it.
	receivedRevision uint64
	// ignoredZones are the zones of which entries of the peer's worker table were
	// ignored, because another instance led the zone.
	ignoredZones map[string]bool
	// sentRevision is the revision of this instance's worker table up to which it was
	// sent to the peer.
	sentRevision uint64
	// sequence is the number of the latest envelope that was received from the peer's process,
	// and session the peer's session in it.
	sequence, session uint64
	// withdrawals are this instance's withdrawals of jobs from the peer, and
	// withdrawnReceived is the number of the peer's last withdrawal that arrived here.
	withdrawals       withdrawals
	withdrawnReceived uint64
}

// ignore records that an entry of the peer's worker table, of a worker in zone, was
// ignored.
func (p *peerState) ignore(zone string) {
	if p.ignoredZones == nil {
		p.ignoredZones = make(map[string]bool)
	}
	p.ignoredZones[zone] = true
}

// confirm records that the peer's process has answered a heartbeat, if b is such an answer.
func (p *peerState) confirm(now time.Time, b *peer.Beat) {
	if sent := time.Unix(0, b.EchoNanos); b.EchoNanos != 0 && sent.After(p.confirmedAt) && !sent.After(now) {
		p.confirmedAt = sent
	}
}
