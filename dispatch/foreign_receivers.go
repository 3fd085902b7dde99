package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// foreignReceiverRetention is the time for which a receiver of another zone gets heartbeats
// after its last job here has ended. The withdrawals that it repeats arrive meanwhile, and
// its next redirected job needs no first heartbeat.
const foreignReceiverRetention = 2 * time.Second

// foreignReceiver is a receiver of jobs that were redirected to this leader.
type foreignReceiver struct {
	// forwardedAt is when it last forwarded a job, and activeAt when it last had one here.
	forwardedAt, activeAt time.Time
	// notified is set once takeNew has returned it, so that a heartbeat is sent to it.
	notified bool
}

// foreignReceivers are the receivers of other zones whose redirected jobs a leader has. The
// leader sends heartbeats to them, because their answers confirm the runs of their jobs.
type foreignReceivers map[netip.AddrPort]*foreignReceiver

// forwarded records that the receiver at addr has forwarded a redirected job.
func (f foreignReceivers) forwarded(now time.Time, addr netip.AddrPort) {
	r := f[addr]
	if r == nil {
		r = &foreignReceiver{}
		f[addr] = r
	}
	r.forwardedAt, r.activeAt = now, now
}

// lastForwarded returns when the receiver at addr last forwarded a redirected job, or zero.
func (f foreignReceivers) lastForwarded(addr netip.AddrPort) time.Time {
	if r := f[addr]; r != nil {
		return r.forwardedAt
	}
	return time.Time{}
}

// takeNew returns the receivers that are new since the last call, in order. The first heartbeat
// is sent to them at once: no task is started before they have confirmed their jobs.
func (f foreignReceivers) takeNew() []netip.AddrPort {
	var fresh []netip.AddrPort
	for addr, r := range f {
		if !r.notified {
			r.notified = true
			fresh = append(fresh, addr)
		}
	}
	slices.SortFunc(fresh, netip.AddrPort.Compare)
	return fresh
}

// update removes the receivers that have had no job for foreignReceiverRetention.
func (f foreignReceivers) update(now time.Time, jobs map[string]*activeJob) {
	if len(f) == 0 {
		return
	}
	for _, j := range jobs {
		for addr := range j.receivers {
			if r := f[addr]; r != nil {
				r.activeAt = now
			}
		}
	}
	maps.DeleteFunc(f, func(_ netip.AddrPort, r *foreignReceiver) bool {
		return now.Sub(r.activeAt) > foreignReceiverRetention
	})
}
