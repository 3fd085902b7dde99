package peer

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// HolderSelectorConfig configures a HolderSelector.
type HolderSelectorConfig struct {
	// QueueShare limits the tasks of one route that wait at one holder, as a
	// share of the holder's slots. An owner assigns no further task beyond it.
	QueueShare float64
	// Random is the source of random choices between holders.
	Random *rand.Rand
}

// Limits of a HolderSelector.
const (
	// DefaultQueueShare is the QueueShare that is used if HolderSelectorConfig
	// has none.
	DefaultQueueShare = 0.25
	// minQueue is the number of waiting tasks of a route that a holder may
	// always have.
	minQueue = 2
	// equalTimeFactor is the ratio up to which expected run times count as
	// equal.
	equalTimeFactor = 1.2
)

// HolderSelector decides to which holder an owner assigns the next task of one
// pool.
//
// Of each holder it knows the last report and the tasks assigned since. While
// there are idle slots, tasks go to those where they are expected to run
// fastest. After that, a few tasks queue at each holder, so that a slot that
// becomes idle finds its next task there. The rest waits at the owner until a
// holder has capacity again.
//
// A HolderSelector is not safe for concurrent use.
type HolderSelector struct {
	cfg     HolderSelectorConfig
	holders []*holderView
	// candidates is reused between calls of Pick.
	candidates []candidate
}

// holderView is what an owner knows about one holder.
type holderView struct {
	address netip.AddrPort
	slots   int
	idle    []*Idle
	// queuedTotal is the sum of queued.
	queuedTotal int
	queued      map[string]int
	typical     map[string]time.Duration
	unreported  []unreportedTasks
	// unreportedTotal and unreportedByRoute are the counts of the unreported
	// tasks.
	unreportedTotal   int
	unreportedByRoute map[string]int
}

// candidate is a holder with idle slots for a task.
type candidate struct {
	holder *holderView
	free   int
	// seconds is the expected run time of the task at the holder, in seconds.
	seconds float64
}

// unreportedTasks counts tasks of one route that were assigned in one envelope
// and that the holder's last report does not include yet.
type unreportedTasks struct {
	sequence uint64
	route    string
	count    int
}

// NewHolderSelector returns a HolderSelector that knows no holders.
func NewHolderSelector(cfg HolderSelectorConfig) *HolderSelector {
	if cfg.QueueShare == 0 {
		cfg.QueueShare = DefaultQueueShare
	}
	return &HolderSelector{cfg: cfg}
}

// Report records a report of holder. The report includes the tasks that were
// assigned in envelopes up to the sequence received.
func (s *HolderSelector) Report(holder netip.AddrPort, load *PoolLoad, received uint64) {
	v := s.view(holder)
	if v == nil {
		v = &holderView{
			address:           holder,
			queued:            make(map[string]int),
			typical:           make(map[string]time.Duration),
			unreportedByRoute: make(map[string]int),
		}
		s.holders = append(s.holders, v)
		slices.SortFunc(s.holders, func(a, b *holderView) int { return a.address.Compare(b.address) })
	}
	v.slots = int(load.Slots)
	v.idle = load.Idle
	clear(v.queued)
	clear(v.typical)
	v.queuedTotal = 0
	for _, r := range load.Routes {
		v.queuedTotal += int(r.Queued)
		v.queued[r.Route] = int(r.Queued)
		v.typical[r.Route] = time.Duration(r.TypicalNanos)
	}
	v.dropReported(received)
}

// dropReported drops the tasks that were assigned in envelopes up to the
// sequence received.
func (v *holderView) dropReported(received uint64) {
	kept := v.unreported[:0]
	for _, g := range v.unreported {
		if g.sequence > received {
			kept = append(kept, g)
			continue
		}
		v.unreportedTotal -= g.count
		v.unreportedByRoute[g.route] -= g.count
	}
	v.unreported = kept
}

// Assigned records that one task of route was assigned to holder in the
// envelope with the given sequence. It does nothing for a holder that never
// reported.
func (s *HolderSelector) Assigned(holder netip.AddrPort, route string, sequence uint64) {
	v := s.view(holder)
	if v == nil {
		return
	}
	v.unreportedTotal++
	v.unreportedByRoute[route]++
	if n := len(v.unreported); n > 0 && v.unreported[n-1].sequence == sequence && v.unreported[n-1].route == route {
		v.unreported[n-1].count++
		return
	}
	v.unreported = append(v.unreported, unreportedTasks{sequence: sequence, route: route, count: 1})
}

// Forget drops the state of holder.
func (s *HolderSelector) Forget(holder netip.AddrPort) {
	s.holders = slices.DeleteFunc(s.holders, func(v *holderView) bool { return v.address == holder })
}

// Slots returns the number of slots that the known holders have reported.
func (s *HolderSelector) Slots() int {
	total := 0
	for _, v := range s.holders {
		total += v.slots
	}
	return total
}

// Pick returns the holder to which the next task of route is to be assigned,
// out of those for which usable returns true. It returns false if none has
// capacity.
func (s *HolderSelector) Pick(route string, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	if v := s.pickIdle(route, usable); v != nil {
		return v.address, true
	}
	if v := s.pickQueue(route, usable); v != nil {
		return v.address, true
	}
	return netip.AddrPort{}, false
}

// pickIdle returns a random holder of those whose idle slots are about the
// fastest for route, or nil. Each of these slots has the same chance.
func (s *HolderSelector) pickIdle(route string, usable func(netip.AddrPort) bool) *holderView {
	s.candidates = s.candidates[:0]
	least := math.Inf(1)
	// A holder without a run time for the route is tried as if it were the
	// fastest.
	known := s.TypicalTime(route)
	if known == 0 {
		known = time.Second
	}
	for _, v := range s.holders {
		free, slowness := v.fastestFree()
		if free == 0 || !usable(v.address) {
			continue
		}
		typical := v.typical[route]
		if typical == 0 {
			typical = known
		}
		c := candidate{holder: v, free: free, seconds: typical.Seconds() * slowness}
		least = min(least, c.seconds)
		s.candidates = append(s.candidates, c)
	}
	return s.drawCandidate(least * equalTimeFactor)
}

// drawCandidate returns a random holder of the candidates whose expected run
// time is at most limit seconds, weighted by their free slots, or nil.
func (s *HolderSelector) drawCandidate(limit float64) *holderView {
	total := 0
	for _, c := range s.candidates {
		if c.seconds <= limit {
			total += c.free
		}
	}
	if total == 0 {
		return nil
	}
	draw := s.cfg.Random.IntN(total)
	for _, c := range s.candidates {
		if c.seconds > limit {
			continue
		}
		if draw < c.free {
			return c.holder
		}
		draw -= c.free
	}
	return nil
}

// TypicalTime returns the shortest typical run time of a task of route that a
// holder has reported, or 0 if none has reported any.
func (s *HolderSelector) TypicalTime(route string) time.Duration {
	var least time.Duration
	for _, v := range s.holders {
		if t := v.typical[route]; t > 0 && (least == 0 || t < least) {
			least = t
		}
	}
	return least
}

// fastestFree returns the number and the relative slowness of the holder's
// fastest idle slots that remain after its unreported and queued tasks have
// filled idle slots. Tasks can be queued at a holder although idle slots remain
// that are too slow for them.
func (v *holderView) fastestFree() (free int, slowness float64) {
	taken := v.unreportedTotal + v.queuedTotal
	for _, g := range v.idle {
		if n := int(g.Free); n > taken {
			return n - taken, float64(g.Slowness)
		}
		taken -= int(g.Free)
	}
	return 0, 0
}

// pickQueue returns the holder with the shortest queue of route relative to its
// slots, or nil if no queue is short enough for another task.
func (s *HolderSelector) pickQueue(route string, usable func(netip.AddrPort) bool) *holderView {
	var best *holderView
	var least float64
	for _, v := range s.holders {
		if v.slots == 0 || !usable(v.address) {
			continue
		}
		queued := v.queued[route] + v.unreportedByRoute[route]
		if queued >= max(minQueue, int(s.cfg.QueueShare*float64(v.slots))) {
			continue
		}
		relative := float64(queued) / float64(v.slots)
		if best == nil || relative < least {
			best, least = v, relative
		}
	}
	return best
}

// view returns the state of holder, or nil if it is not known.
func (s *HolderSelector) view(holder netip.AddrPort) *holderView {
	for _, v := range s.holders {
		if v.address == holder {
			return v
		}
	}
	return nil
}
