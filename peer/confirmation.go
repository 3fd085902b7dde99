package peer

import "time"

// Expire gives up the zones that this instance may not lead any more without
// the confirmation of others, if the workers are unfenced: its own zone if no
// instance has answered its heartbeats within confirmationLease, and any other
// zone if no instance of that zone has. It must be called before each decision
// that relies on leadership.
func (l *Leadership) Expire(now time.Time) {
	if !l.cfg.Unfenced {
		return
	}
	for zone, c := range l.claims {
		if _, until := l.MayCommand(now, zone); c.Leader == l.cfg.Self && !now.Before(until) {
			l.release(now, zone)
		}
	}
}

// MayCommand returns the time from which and the time until which this instance,
// which leads zone, may send commands to the workers of zone, as far as it knows
// at now. Fenced workers judge commands by their terms: until is then zero.
//
// The time begins handoverTime after the claim, with the answer to a heartbeat
// that was sent since then: whoever answers knows of no later claim. A live leader
// that was replaced must have answered, too, or its own time must be over. It ends
// confirmationLease after the latest heartbeat that was answered was sent.
func (l *Leadership) MayCommand(now time.Time, zone string) (from, until time.Time) {
	c := l.claims[zone]
	if !l.cfg.Unfenced || c.Leader != l.cfg.Self {
		return time.Time{}, time.Time{}
	}
	confirmedAt, alone := c.LastSeen, true
	for addr, m := range l.members {
		if zone != l.shard && m.zone != zone {
			continue
		}
		alone = false
		if l.foreignReceivers[addr] && m.zone != zone && len(m.leads) == 0 {
			// An instance that looks for a leader of zone does not query it.
			continue
		}
		if m.confirmedAt.After(confirmedAt) {
			confirmedAt = m.confirmedAt
		}
	}
	if alone {
		confirmedAt = now
	}
	from, until = c.LastSeen.Add(handoverTime), confirmedAt.Add(confirmationLease)
	if m := l.members[l.replaced[zone]]; m != nil && m.confirmedAt.Before(c.LastSeen) {
		from = c.LastSeen.Add(LeaderTimeout)
	}
	if confirmedAt.Before(from) {
		return until, until
	}
	return from, until
}
