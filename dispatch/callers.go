package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// ownConfirmationInterval is the time between checks of the callers whose jobs this instance has
// forwarded to itself. The callers of other jobs are checked with each heartbeat of their leaders.
const ownConfirmationInterval = peer.LeaderHeartbeatEvery

// Callers tells whether callers are connected.
type Callers interface {
	// Connected reports whether the connection of a caller is open at the time of the call.
	// A caller may have left long before its request is read or Abandon is called, if the
	// process was paused or is starved.
	Connected(CallerID) bool
}

// hasCallers reports whether a caller of o is connected. Otherwise it withdraws the job.
func (r *receiver) hasCallers(now time.Time, o *openJob) bool {
	callers := r.instance.cfg.Callers
	if callers == nil {
		return true
	}
	for _, caller := range slices.Clone(o.callers) {
		if !callers.Connected(caller) {
			r.abandon(now, caller)
		}
	}
	return len(o.callers) > 0
}

// confirm is called before this instance tells the leader at addr that it waits for the jobs that
// it has forwarded there. It withdraws those whose callers have left.
func (r *receiver) confirm(now time.Time, addr netip.AddrPort) {
	for _, id := range r.ids() {
		if o := r.open[id]; slices.Contains(o.leaders, addr) {
			r.hasCallers(now, o)
		}
	}
}

// confirmOwn confirms the jobs that this instance has forwarded to itself, if that is due.
func (r *receiver) confirmOwn(now time.Time) {
	if now.Sub(r.ownConfirmedAt) >= ownConfirmationInterval {
		r.confirm(now, r.instance.cfg.Self)
		r.ownConfirmedAt = now
	}
}
