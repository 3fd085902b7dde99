package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// An outbox collects the content of the next envelope to a peer.
type outbox struct {
	env *peer.Envelope
	// urgent is set if the envelope must be sent at once rather than with the
	// next heartbeat.
	urgent bool
	// due is when the envelope is sent at the latest, or zero if it may wait
	// for the next heartbeat.
	due time.Time
	// settled holds the keys of the jobs that the peer held and that were
	// reported to it as settled, until it has acknowledged that report.
	settled []settledKey
	// needsAck is the sequence number of the last envelope that carried an
	// answer, a result or the first notice of a shutdown. A leaving instance
	// does not end before the peer has acknowledged it.
	needsAck uint64
}

// A settledKey is the key of a job that was reported as settled to a peer in the
// envelope with the given sequence number.
type settledKey struct {
	key      caller.Key
	sequence uint64
}

// cancelDelay is the time for which cancellations are collected into one envelope,
// because they come in bursts.
const cancelDelay = 10 * time.Millisecond

// sendSoon makes the envelope due cancelDelay after now, unless it has a due time
// already.
func (box *outbox) sendSoon(now time.Time) {
	if box.due.IsZero() {
		box.due = now.Add(cancelDelay)
	}
}

// outbox returns the outbox for the peer at addr.
func (i *Instance) outbox(addr netip.AddrPort) *outbox {
	box := i.outboxes[addr]
	if box == nil {
		box = &outbox{env: &peer.Envelope{}}
		i.outboxes[addr] = box
	}
	return box
}

// sendSettled reports to a holder, with the next envelope, that a job is settled.
func (i *Instance) sendSettled(addr netip.AddrPort, key caller.Key) {
	box := i.outbox(addr)
	box.env.Cancels = append(box.env.Cancels, &peer.Cancel{Key: keyBytes(key), Settled: true})
	box.settled = append(box.settled, settledKey{key: key, sequence: i.members.NextSequence(addr)})
}

// dropAcknowledged drops the settled keys in envelopes that the peer has
// acknowledged, up to and including sequence.
func (box *outbox) dropAcknowledged(sequence uint64) {
	box.settled = slices.DeleteFunc(box.settled, func(s settledKey) bool { return s.sequence <= sequence })
}

// announceLeaving makes the next envelope to the peer at addr urgent, because it carries
// the notice that this instance is leaving. Envelopes arrive in order, so when the
// peer's acknowledgement of the notice arrives, all tasks that the peer sent before the
// acknowledgement have arrived too.
func (i *Instance) announceLeaving(addr netip.AddrPort) {
	box := i.outbox(addr)
	box.urgent = true
	box.needsAck = i.members.NextSequence(addr)
}

// awaitsAcknowledgement reports whether a peer that was seen recently has not yet
// acknowledged an answer, a result or the notice that this instance is leaving.
func (i *Instance) awaitsAcknowledgement(now time.Time) bool {
	for addr, box := range i.outboxes {
		if box.needsAck > i.members.Acknowledged(addr) && i.members.SeenRecently(now, addr) {
			return true
		}
	}
	return false
}

// flush sends the envelopes of the outboxes that are urgent or due, and those of
// all peers to which a heartbeat is due.
func (i *Instance) flush(now time.Time) {
	for _, addr := range i.members.HeartbeatsDue(now) {
		i.outbox(addr).urgent = true
	}
	addrs := make([]netip.AddrPort, 0, len(i.outboxes))
	for addr, box := range i.outboxes {
		if box.urgent || (!box.due.IsZero() && !now.Before(box.due)) {
			addrs = append(addrs, addr)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	for _, addr := range addrs {
		i.send(now, addr)
	}
}

// send sends the envelope of the outbox for addr.
func (i *Instance) send(now time.Time, addr netip.AddrPort) {
	box := i.outboxes[addr]
	env := box.env
	box.env, box.urgent, box.due = &peer.Envelope{}, false, time.Time{}
	i.members.SetHeader(now, addr, env)
	if len(env.Answers)+len(env.Results) > 0 {
		box.needsAck = env.Sequence
	}
	env.ConfigurationOffset = i.offset
	env.Load = i.load()
	i.counts.EnvelopesSent++
	if len(env.Submits)+len(env.Answers)+len(env.Runs)+len(env.Results) == 0 {
		i.counts.EnvelopesWasted++
	}
	i.effects.Sends = append(i.effects.Sends, Send{To: addr, Envelope: env})
}

// keyBytes returns the encoding of a key in messages.
func keyBytes(key caller.Key) []byte {
	b, err := key.AppendBinary(nil)
	if err != nil {
		panic(err)
	}
	return b
}
