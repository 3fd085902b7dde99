package dispatch

import (
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

// withdrawalRetention is the time for which a withdrawal is kept for a leader that does not
// acknowledge it. A leader that hears nothing from a receiver drops its jobs earlier.
const withdrawalRetention = receiverTimeout + suspendedJobTimeout + 2*time.Second

// withdrawal tells a leader that no caller of this receiver waits for a job any more.
type withdrawal struct {
	job string
	// number orders the withdrawals of a receiver, and at is when this one was made.
	number uint64
	at     time.Time
}

// withdrawals are those withdrawals from one leader that it has not acknowledged. An
// envelope may be lost with its connection, and a heartbeat means that the receiver waits
// for all jobs that it has not withdrawn. Each heartbeat to the leader therefore repeats
// the withdrawals.
type withdrawals struct {
	pending []withdrawal
	// unsent is set if the latest one was not sent yet.
	unsent bool
}

// add adds a withdrawal, which has a higher number than all others.
func (w *withdrawals) add(added withdrawal) {
	w.forget(added.job)
	w.pending = append(w.pending, added)
	w.unsent = true
}

// forget removes the withdrawal of a job that is forwarded again.
func (w *withdrawals) forget(job string) {
	w.pending = slices.DeleteFunc(w.pending, func(p withdrawal) bool { return p.job == job })
}

// acknowledge removes the withdrawals with numbers up to number.
func (w *withdrawals) acknowledge(number uint64) {
	w.pending = slices.DeleteFunc(w.pending, func(p withdrawal) bool { return p.number <= number })
}

// addTo adds all withdrawals to an envelope to the leader, if it contains a heartbeat or if
// one was not sent yet. An acknowledgement of the last one then counts for all.
func (w *withdrawals) addTo(now time.Time, env *peer.Envelope) {
	w.pending = slices.DeleteFunc(w.pending, func(p withdrawal) bool { return now.Sub(p.at) > withdrawalRetention })
	if len(w.pending) == 0 || (env.Beat == nil && !w.unsent) {
		return
	}
	w.unsent = false
	for _, p := range w.pending {
		env.Withdrawn = append(env.Withdrawn, p.job)
	}
	env.WithdrawnThrough = w.pending[len(w.pending)-1].number
}
