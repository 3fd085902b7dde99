package entry

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/peer"
)

// snapshotInterval is the shortest time between two configuration snapshots to one
// peer.
const snapshotInterval = 3 * time.Second

// Receive handles an envelope that arrived at now from the peer at addr. It counts a
// stale envelope and ignores its content. It also ignores runs and cancellations
// unless the peer knows this instance's session.
func (i *Instance) Receive(now time.Time, addr netip.AddrPort, env *peer.Envelope) {
	status := i.members.Receive(now, addr, env)
	if status.Restarted {
		i.peerGone(now, addr)
	}
	if !status.Fresh {
		i.counts.EnvelopesStale++
		return
	}
	i.outbox(addr).dropAcknowledged(i.members.Acknowledged(addr))
	if env.Load != nil {
		i.receiveLoad(addr, env)
	}
	i.receiveReleased(now, env)
	i.receiveConfiguration(now, addr, env)
	for _, s := range env.Submits {
		i.receiveSubmit(now, addr, s)
	}
	for _, a := range env.Answers {
		i.receiveAnswer(a)
	}
	if status.Current {
		for _, r := range env.Runs {
			i.receiveRun(now, addr, r)
		}
		for _, c := range env.Cancels {
			i.receiveCancel(now, addr, c)
		}
	}
	for _, r := range env.Results {
		i.receiveResult(now, addr, r)
	}
	if status.Gap {
		i.resync(now, addr)
	}
}

// LinkReset handles a reset of the link to the peer at addr: envelopes may have been
// lost, so unanswered requests are sent again.
func (i *Instance) LinkReset(now time.Time, addr netip.AddrPort) {
	i.resync(now, addr)
}

// resync sends once more to the peer at addr all submissions and runs that it has not
// answered, and all keys of settled jobs that it has not acknowledged.
func (i *Instance) resync(now time.Time, addr netip.AddrPort) {
	for _, request := range sortedMapKeys(i.relays) {
		if r := i.relays[request]; r.job.Key.Owner == addr {
			i.sendSubmit(now, r)
		}
	}
	for _, key := range sortedJobKeys(i.jobs) {
		i.resendRuns(now, i.jobs[key], addr)
	}
	box := i.outbox(addr)
	settled := box.settled
	box.settled = nil
	for _, s := range settled {
		i.sendSettled(addr, s.key)
	}
	box.urgent = true
}

// peerGone handles the end of the process at addr. It fails the owned jobs with tasks
// assigned to that process, and drops the held jobs that the process owned.
func (i *Instance) peerGone(now time.Time, addr netip.AddrPort) {
	for _, key := range sortedJobKeys(i.jobs) {
		i.holderGone(now, i.jobs[key], addr)
	}
	for _, key := range sortedJobKeys(i.held) {
		if h := i.held[key]; h.owner == addr {
			i.forgetHeld(h)
		}
	}
	for _, p := range i.pools {
		p.selector.Forget(addr)
	}
	delete(i.outboxes, addr)
	delete(i.offered, addr)
}

// receiveSubmit handles a submission that the peer at addr relays.
func (i *Instance) receiveSubmit(now time.Time, addr netip.AddrPort, s *peer.Submit) {
	key, ok := parseKey(s.Key)
	if !ok {
		return
	}
	i.submitOwned(now, waiter{peer: addr, request: s.Request}, caller.Job{
		Key:     key,
		Route:   s.Route,
		Timeout: time.Duration(s.TimeoutNanos),
		Tasks:   s.Tasks,
	})
}

// receiveAnswer handles an owner's answer to a relayed submission.
func (i *Instance) receiveAnswer(a *peer.Answer) {
	key, ok := parseKey(a.Key)
	if !ok {
		return
	}
	i.answerRelay(a.Request, caller.Answer{
		Key:        key,
		Status:     caller.Status(a.Status),
		Reason:     caller.Reason(a.Reason),
		Message:    a.Message,
		RetryAfter: time.Duration(a.RetryAfterNanos),
		Results:    a.Results,
	})
}

// receiveConfiguration adds a configuration snapshot from a peer to the effects, and
// sends this instance's snapshot to a peer that has an older configuration.
func (i *Instance) receiveConfiguration(now time.Time, addr netip.AddrPort, env *peer.Envelope) {
	if len(env.Configuration) > 0 {
		i.effects.Snapshots = append(i.effects.Snapshots, env.Configuration)
	}
	if env.ConfigurationOffset >= i.offset || len(i.snapshot) == 0 {
		return
	}
	if now.Sub(i.offered[addr]) < snapshotInterval {
		return
	}
	first := i.offered[addr].IsZero() && env.ConfigurationOffset > 0
	i.offered[addr] = now
	if first {
		// The peer most likely reads the newer records from the log itself.
		return
	}
	box := i.outbox(addr)
	box.env.Configuration = i.snapshot
	box.urgent = true
}

// parseKey decodes a key from a message. It returns false if the key is malformed.
func parseKey(b []byte) (caller.Key, bool) {
	var key caller.Key
	if err := key.UnmarshalBinary(b); err != nil {
		return caller.Key{}, false
	}
	return key, true
}
