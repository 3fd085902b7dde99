package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// An outbox gathers what the next envelope to a peer carries.
type outbox struct {
	env *peer.Envelope
	// urgent says that the envelope is not to wait for the next heartbeat.
	urgent bool
	// due is when the envelope goes at the latest, or zero if only the next
	// heartbeat bounds it.
	due time.Time
	// settled holds the keys that the peer may forget, until it has
	// acknowledged the envelope that said so.
	settled []settledKey
	// owed is the sequence of the last envelope that carried an answer, a
	// result or the first word of a shutdown.
	owed uint64
}

// A settledKey is a key that a peer was told to forget in the envelope of the
// given sequence.
type settledKey struct {
	key      caller.Key
	sequence uint64
}

// cancelPause is the time for which cancellations are gathered: they come in
// waves.
const cancelPause = 10 * time.Millisecond

// hurry has the envelope go within cancelPause.
func (box *outbox) hurry(now time.Time) {
	if box.due.IsZero() {
		box.due = now.Add(cancelPause)
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

// settle tells a holder, with the next envelope, that it may forget a job.
func (i *Instance) settle(addr netip.AddrPort, key caller.Key) {
	box := i.outbox(addr)
	box.env.Cancels = append(box.env.Cancels, &peer.Cancel{Key: keyBytes(key), Settled: true})
	box.settled = append(box.settled, settledKey{key: key, sequence: i.members.NextSequence(addr)})
}

// acknowledged forgets the settled keys that the peer has been told of.
func (box *outbox) acknowledged(sequence uint64) {
	box.settled = slices.DeleteFunc(box.settled, func(s settledKey) bool { return s.sequence <= sequence })
}

// tellLeaving tells the peer at addr at once that this instance is leaving. What
// the peer has sent before it acknowledges that has then arrived too, since
// envelopes come in order.
func (i *Instance) tellLeaving(addr netip.AddrPort) {
	box := i.outbox(addr)
	box.urgent = true
	box.owed = i.members.NextSequence(addr)
}

// owes reports whether a peer that was heard lately has not acknowledged an
// answer, a result or the word that this instance is leaving.
func (i *Instance) owes(now time.Time) bool {
	for addr, box := range i.outboxes {
		if box.owed > i.members.Acknowledged(addr) && i.members.SeenRecently(now, addr) {
			return true
		}
	}
	return false
}

// flush makes envelopes of the outboxes that are urgent or due.
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

// send makes an envelope of what the outbox for addr holds.
func (i *Instance) send(now time.Time, addr netip.AddrPort) {
	box := i.outboxes[addr]
	env := box.env
	box.env, box.urgent, box.due = &peer.Envelope{}, false, time.Time{}
	i.members.SetHeader(now, addr, env)
	if len(env.Answers)+len(env.Results) > 0 {
		box.owed = env.Sequence
	}
	env.ConfigurationOffset = i.offset
	env.Load = i.load()
	i.counts.EnvelopesSent++
	if len(env.Submits)+len(env.Answers)+len(env.Runs)+len(env.Results) == 0 {
		i.counts.EnvelopesWasted++
	}
	i.effects.Sends = append(i.effects.Sends, Send{To: addr, Envelope: env})
}

// keyBytes is the form of a key in messages.
func keyBytes(key caller.Key) []byte {
	b, err := key.AppendBinary(nil)
	if err != nil {
		panic(err)
	}
	return b
}
