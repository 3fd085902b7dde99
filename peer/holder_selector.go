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
	// QueueShare is the largest number of waiting tasks of one route at one
	// holder, as a share of the holder's slots, that an owner adds to.
	QueueShare float64
	// Random draws between holders.
	Random *rand.Rand
}

// Limits of a HolderSelector.
const (
	// DefaultQueueShare is HolderSelectorConfig's QueueShare where none is given.
	DefaultQueueShare = 0.25
	// minQueue is the number of waiting tasks that a holder may always have.
	minQueue = 2
	// sameSpeed is the factor up to which expected run times count as equal.
	sameSpeed = 1.2
)

// A HolderSelector decides to which holder an owner gives the next task of one pool.
//
// It knows of each holder what the holder last reported and what was given to
// it since. Tasks go to the idle slots where they are expected to run fastest
// while there are any; then a few wait at each holder, so that a slot that falls idle finds its next task there, and
// the rest waits at the owner, to be given where room shows first.
//
// A HolderSelector is not safe for concurrent use.
type HolderSelector struct {
	cfg     HolderSelectorConfig
	holders []*holderView
	// candidates is kept between calls of Pick.
	candidates []candidate
}

// A holderView is what an owner knows of one holder.
type holderView struct {
	address netip.AddrPort
	slots   int
	idle    []*Idle
	// waiting is the sum of queued.
	waiting int
	queued  map[string]int
	typical map[string]time.Duration
	given   []given
	// givenTotal and givenRoute sum up the given tasks.
	givenTotal int
	givenRoute map[string]int
}

// A candidate is a holder with idle slots for a task.
type candidate struct {
	holder *holderView
	free   int
	// seconds is the expected run time there.
	seconds float64
}

// given counts tasks that a holder's report does not show yet.
type given struct {
	sequence uint64
	route    string
	count    int
}

// NewHolderSelector returns a HolderSelector that knows of no holder.
func NewHolderSelector(cfg HolderSelectorConfig) *HolderSelector {
	if cfg.QueueShare == 0 {
		cfg.QueueShare = DefaultQueueShare
	}
	return &HolderSelector{cfg: cfg}
}

// Report takes a holder's report. The tasks that were given in envelopes up to
// the sequence received are in it.
func (s *HolderSelector) Report(holder netip.AddrPort, load *PoolLoad, received uint64) {
	v := s.view(holder)
	if v == nil {
		v = &holderView{
			address:    holder,
			queued:     make(map[string]int),
			typical:    make(map[string]time.Duration),
			givenRoute: make(map[string]int),
		}
		s.holders = append(s.holders, v)
		slices.SortFunc(s.holders, func(a, b *holderView) int { return a.address.Compare(b.address) })
	}
	v.slots = int(load.Slots)
	v.idle = load.Idle
	clear(v.queued)
	clear(v.typical)
	v.waiting = 0
	for _, r := range load.Routes {
		v.waiting += int(r.Queued)
		v.queued[r.Route] = int(r.Queued)
		v.typical[r.Route] = time.Duration(r.TypicalNanos)
	}
	v.drop(received)
}

// drop forgets what was given in envelopes up to the sequence received.
func (v *holderView) drop(received uint64) {
	kept := v.given[:0]
	for _, g := range v.given {
		if g.sequence > received {
			kept = append(kept, g)
			continue
		}
		v.givenTotal -= g.count
		v.givenRoute[g.route] -= g.count
	}
	v.given = kept
}

// Assigned counts one task that was given to a holder in the envelope of the
// given sequence.
func (s *HolderSelector) Assigned(holder netip.AddrPort, route string, sequence uint64) {
	v := s.view(holder)
	if v == nil {
		return
	}
	v.givenTotal++
	v.givenRoute[route]++
	if n := len(v.given); n > 0 && v.given[n-1].sequence == sequence && v.given[n-1].route == route {
		v.given[n-1].count++
		return
	}
	v.given = append(v.given, given{sequence: sequence, route: route, count: 1})
}

// Forget drops all that is known of a holder.
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

// Pick returns the holder that the next task of route is to be given to, of
// those that usable admits. It returns false if none has room.
func (s *HolderSelector) Pick(route string, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	if v := s.pickIdle(route, usable); v != nil {
		return v.address, true
	}
	if v := s.pickQueue(route, usable); v != nil {
		return v.address, true
	}
	return netip.AddrPort{}, false
}

// pickIdle draws one of the holders whose idle slots are about the fastest for
// route, each slot with the same chance.
func (s *HolderSelector) pickIdle(route string, usable func(netip.AddrPort) bool) *holderView {
	s.candidates = s.candidates[:0]
	least := math.Inf(1)
	// A holder that knows nothing yet is tried as if it were the best.
	known := s.TypicalTime(route)
	if known == 0 {
		known = time.Second
	}
	for _, v := range s.holders {
		free, slowness := v.fastest()
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
	return s.drawCandidate(least * sameSpeed)
}

// drawCandidate draws a candidate whose expected run time is at most limit.
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

// TypicalTime returns the least run time of a task of route that a holder has
// reported, or 0 if none has.
func (s *HolderSelector) TypicalTime(route string) time.Duration {
	var least time.Duration
	for _, v := range s.holders {
		if t := v.typical[route]; t > 0 && (least == 0 || t < least) {
			least = t
		}
	}
	return least
}

// fastest returns the number and the slowness of the holder's fastest idle
// slots that neither what it was given nor what waits there fills. Tasks can
// wait at a holder beside idle slots that are too slow for them.
func (v *holderView) fastest() (free int, slowness float64) {
	given := v.givenTotal + v.waiting
	for _, g := range v.idle {
		if n := int(g.Free); n > given {
			return n - given, float64(g.Slowness)
		}
		given -= int(g.Free)
	}
	return 0, 0
}

// pickQueue returns the holder with the shortest queue of route for its slots,
// if that queue is short enough to add to.
func (s *HolderSelector) pickQueue(route string, usable func(netip.AddrPort) bool) *holderView {
	var best *holderView
	var least float64
	for _, v := range s.holders {
		if v.slots == 0 || !usable(v.address) {
			continue
		}
		queued := v.queued[route] + v.givenRoute[route]
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

// view returns what is known of holder, or nil.
func (s *HolderSelector) view(holder netip.AddrPort) *holderView {
	for _, v := range s.holders {
		if v.address == holder {
			return v
		}
	}
	return nil
}
