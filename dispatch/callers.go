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

// disconnected is the reason of the answer to a caller that has left. It ends the request.
const disconnected = "disconnected"

// Callers tells whether callers are connected.
type Callers interface {
	// Connected reports whether the connection of a caller is open at the time of the call.
	// A caller may have left long before its request is read or Abandon is called, if the
	// process was paused or is starved.
	Connected(CallerID) bool
}

// hasLeft reports whether the connection of a caller is closed.
func (r *receiver) hasLeft(caller CallerID) bool {
	callers := r.instance.cfg.Callers
	return callers != nil && !callers.Connected(caller)
}

// dropLeftCallers ends the requests of those callers of o that have left, and withdraws the job if
// no other one waits for it. It reports whether one does.
func (r *receiver) dropLeftCallers(now time.Time, o *openJob) bool {
	for _, caller := range slices.Clone(o.callers) {
		if r.hasLeft(caller) {
			r.abandon(now, caller)
			r.answer(caller, End{ID: o.job.ID, State: Overdue, Reason: disconnected})
		}
	}
	return len(o.callers) > 0
}

// confirm is called before this instance tells the leader at addr that it waits for the jobs that
// it has forwarded there. It withdraws those whose callers have left.
func (r *receiver) confirm(now time.Time, addr netip.AddrPort) {
	for _, id := range r.ids() {
		if o := r.open[id]; slices.Contains(o.leaders, addr) {
			r.dropLeftCallers(now, o)
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
