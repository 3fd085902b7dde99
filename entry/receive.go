package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// offerEvery is the time between snapshots to one peer that is behind, and
// offerBehind the number of seconds of the log that it may be behind.
const offerEvery = 3 * time.Second

// Receive takes an envelope that arrived at now from the peer at addr.
func (i *Instance) Receive(now time.Time, addr netip.AddrPort, env *peer.Envelope) {
	h := i.members.Receive(now, addr, env)
	if h.Restarted {
		i.peerGone(now, addr)
	}
	if !h.Fresh {
		i.counts.EnvelopesStale++
		return
	}
	i.outbox(addr).acknowledged(i.members.Acknowledged(addr))
	if env.Load != nil {
		i.reported(addr, env)
	}
	i.takeReleased(now, env)
	i.takeConfiguration(now, addr, env)
	for _, s := range env.Submits {
		i.takeSubmit(now, addr, s)
	}
	for _, a := range env.Answers {
		i.takeAnswer(a)
	}
	if h.Current {
		for _, r := range env.Runs {
			i.takeRun(now, addr, r)
		}
		for _, c := range env.Cancels {
			i.takeCancel(now, addr, c)
		}
	}
	for _, r := range env.Results {
		i.takeResult(now, addr, r)
	}
	if h.Gap {
		i.resync(now, addr)
	}
}

// LinkReset says that envelopes to the peer at addr may have been lost.
func (i *Instance) LinkReset(now time.Time, addr netip.AddrPort) {
	i.resync(now, addr)
}

// resync asks the peer at addr again for all that it owes this instance, and
// tells it again what it may forget.
func (i *Instance) resync(now time.Time, addr netip.AddrPort) {
	for _, request := range sorted(i.relays) {
		if r := i.relays[request]; r.job.Key.Owner == addr {
			i.sendSubmit(now, r)
		}
	}
	for _, key := range sortedKeys(i.jobs) {
		i.runAgain(now, i.jobs[key], addr)
	}
	box := i.outbox(addr)
	settled := box.settled
	box.settled = nil
	for _, s := range settled {
		i.settle(addr, s.key)
	}
	box.urgent = true
}

// peerGone gives up what the peer at addr owed this instance and owned here.
func (i *Instance) peerGone(now time.Time, addr netip.AddrPort) {
	for _, key := range sortedKeys(i.jobs) {
		i.holderGone(now, i.jobs[key], addr)
	}
	for _, key := range sortedKeys(i.held) {
		if h := i.held[key]; h.owner == addr {
			i.forgetHeld(h)
		}
	}
	for _, p := range i.pools {
		p.spread.Forget(addr)
	}
	delete(i.outboxes, addr)
	delete(i.offered, addr)
}

func (i *Instance) takeSubmit(now time.Time, addr netip.AddrPort, s *peer.Submit) {
	key, ok := parseKey(s.Key)
	if !ok {
		return
	}
	i.own(now, waiter{peer: addr, request: s.Request}, caller.Job{
		Key:     key,
		Route:   s.Route,
		Timeout: time.Duration(s.TimeoutNanos),
		Tasks:   s.Tasks,
	})
}

func (i *Instance) takeAnswer(a *peer.Answer) {
	key, ok := parseKey(a.Key)
	if !ok {
		return
	}
	i.relayed(a.Request, caller.Answer{
		Key:        key,
		Status:     caller.Status(a.Status),
		Reason:     caller.Reason(a.Reason),
		Message:    a.Message,
		RetryAfter: time.Duration(a.RetryAfterNanos),
		Results:    a.Results,
	})
}

// takeConfiguration takes a snapshot from a peer, and offers this instance's to
// a peer that is behind.
func (i *Instance) takeConfiguration(now time.Time, addr netip.AddrPort, env *peer.Envelope) {
	if len(env.Configuration) > 0 {
		i.effects.Snapshots = append(i.effects.Snapshots, env.Configuration)
	}
	if env.ConfigurationOffset >= i.offset || len(i.snapshot) == 0 {
		return
	}
	if now.Sub(i.offered[addr]) < offerEvery {
		return
	}
	first := i.offered[addr].IsZero() && env.ConfigurationOffset > 0
	i.offered[addr] = now
	if first {
		// The peer most likely reads the record from the log by itself.
		return
	}
	box := i.outbox(addr)
	box.env.Configuration = i.snapshot
	box.urgent = true
}

// parseKey reads a key from a message.
func parseKey(b []byte) (caller.Key, bool) {
	var key caller.Key
	if err := key.UnmarshalBinary(b); err != nil {
		return caller.Key{}, false
	}
	return key, true
}
