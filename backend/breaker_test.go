package backend_test

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
)

// A breaker is a circuit breaker for each server with a window of ten buckets,
// as in "Autumn resilience: circuit breakers and overload protection". It is
// what an Ejector is measured against.
type breaker struct {
	minSamples int
	open       time.Duration
	circuits   map[netip.AddrPort]*circuit
}

// The defaults of the paper.
const (
	breakerBuckets = 10
	breakerWindow  = 10 * time.Second
	breakerRatio   = 0.5
	breakerTrials  = 3
)

type circuit struct {
	buckets [breakerBuckets]bucket
	until   time.Time
	// halfOpen says that trials run, of which passed succeeded.
	halfOpen bool
	passed   int
	since    time.Time
}

type bucket struct {
	number        int64
	calls, failed int
}

func (b *breaker) Limit(now time.Time, addr netip.AddrPort, slots int) int {
	c := b.circuits[addr]
	switch {
	case c == nil:
		return slots
	case now.Before(c.until):
		return 0
	case !c.until.IsZero():
		c.until, c.halfOpen, c.passed, c.since = time.Time{}, true, 0, now
	}
	if c.halfOpen {
		return 1
	}
	return slots
}

func (b *breaker) Record(now time.Time, addr netip.AddrPort, o backend.Observation) {
	c := b.circuits[addr]
	if c == nil {
		c = &circuit{}
		b.circuits[addr] = c
	}
	if o.Started.Before(c.since) || !c.until.IsZero() {
		return
	}
	bad := o.Kind != backend.Done
	if c.halfOpen {
		b.trial(now, c, bad)
		return
	}
	if c.count(now, bad, b.minSamples) {
		c.trip(now, b.open)
	}
}

func (b *breaker) trial(now time.Time, c *circuit, bad bool) {
	if bad {
		c.trip(now, b.open)
		return
	}
	c.passed++
	if c.passed == breakerTrials {
		c.halfOpen = false
		c.since = now
	}
}

func (c *circuit) trip(now time.Time, open time.Duration) {
	*c = circuit{until: now.Add(open), since: now}
}

// count adds a call and reports whether the circuit is to open.
func (c *circuit) count(now time.Time, bad bool, minSamples int) bool {
	number := now.UnixNano() / int64(breakerWindow/breakerBuckets)
	at := &c.buckets[number%breakerBuckets]
	if at.number != number {
		*at = bucket{number: number}
	}
	at.calls++
	if bad {
		at.failed++
	}
	calls, failed := 0, 0
	for _, old := range c.buckets {
		if number-old.number < breakerBuckets {
			calls += old.calls
			failed += old.failed
		}
	}
	return calls >= minSamples && float64(failed) >= breakerRatio*float64(calls)
}
