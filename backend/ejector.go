package backend

import (
	"math"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/chart"
)

// The default values of the fields of EjectionConfig.
const (
	defaultWindow      = 10 * time.Second
	defaultMaxEjected  = 0.5
	defaultEjection    = 2 * time.Second
	defaultMaxEjection = 2 * time.Minute
	defaultCooling     = 100 * time.Millisecond
	defaultMaxCooling  = 10 * time.Second
	defaultTrials      = 3
	defaultEvidence    = 9.0
)

const (
	// backoffFactor is the ratio of the duration of an ejection, or of a
	// cooling, to that of the previous one.
	backoffFactor = 3
	// probationSlots is the number of slots that may be used on a server on
	// probation before any task has succeeded there. Each success adds a slot.
	probationSlots = 2
	// probationTasks is the number of successes that end the probation.
	probationTasks = 8
	// backoffResetAfter is the time since health.lastTrouble after which the
	// next ejection or cooling is as short as the first.
	backoffResetAfter = 2 * time.Minute
	// leavingReportLifetime is the time for which a server's own report that
	// it is leaving takes precedence over the platform's list.
	leavingReportLifetime = 30 * time.Second
)

// EjectionConfig configures an Ejector. A field that is zero takes its
// default.
type EjectionConfig struct {
	// Window is the maximum age of the outcomes of other servers with which a
	// server is compared. The default is 10 s.
	Window time.Duration
	// MaxEjected is the maximum fraction of the servers that may be ejected
	// or on trial at once, in [0, 1]. The default is 0.5.
	MaxEjected float64
	// Evidence is the score at which a server is ejected. The score is the
	// natural logarithm of the ratio of two likelihoods of the server's
	// outcomes: that they come from a bad server, and that they come from a
	// good server. The default is 9.
	Evidence float64
	// Ejection is the duration of a server's first ejection. Each further
	// ejection is three times as long as the one before, up to MaxEjection.
	// The default is 2 s.
	Ejection time.Duration
	// MaxEjection limits the duration of an ejection. The default is 2 min.
	MaxEjection time.Duration
	// Cooling is the time for which a server gets no tasks after it refuses
	// a task, or fails one on probation before any has succeeded. Each
	// further time without a success in between is three times as long, up to
	// MaxCooling. The default is 100 ms.
	Cooling time.Duration
	// MaxCooling limits the duration of a cooling, the time that Cooling
	// describes. The default is 10 s.
	MaxCooling time.Duration
	// Trials is the number of tasks that must succeed to end a trial, the
	// state after an ejection in which a server runs one task at a time. The
	// default is 3.
	Trials int
}

// An Ejector limits the number of tasks that each backend server of one pool
// may run, based on the outcomes of earlier tasks. A server that does worse
// than the others is ejected: it gets no tasks for some time.
//
// An Ejector is not safe for concurrent use: the control goroutine owns it.
type Ejector struct {
	cfg     EjectionConfig
	servers map[netip.AddrPort]*health
	routes  map[string]*outcomeRing
	// poolSize is the number of servers in the pool, and ejectedCount is the
	// number of servers in the pool that are ejected or on trial.
	poolSize, ejectedCount int
	// nextExpiry is a time before which no cooling or ejection ends. If it is
	// zero, no server is cooling or ejected.
	nextExpiry time.Time
}

// health is the state of one server in the health chart, with the outcomes
// that led to it.
type health struct {
	addr  netip.AddrPort
	state chart.State
	// inPool is true from Add to Release. The health of a released server is
	// kept in case it is added again.
	inPool bool
	// since is when the server entered the state. The outcome of a task that
	// started earlier changes the score, but does not count as a success, a
	// refusal or a failed trial.
	since time.Time
	// score is the logarithm of the likelihood ratio that
	// EjectionConfig.Evidence describes. It is at least 0.
	score float64
	// successes is the number of tasks that succeeded in this state.
	successes int
	// until is when the current cooling or ejection ends. It is zero in all
	// other states.
	until time.Time
	// ejections is the number of ejections, which lengthens the next
	// ejection. refusals is the number of refusals and failures of a first
	// task since the last success, which lengthens the next cooling. Both are
	// reset at a refusal or an ejection that comes backoffResetAfter or more
	// after lastTrouble.
	ejections, refusals int
	// lastTrouble is when the server last refused a task, or failed a task
	// before any had succeeded in its state, or it is the end of the last
	// ejection.
	lastTrouble time.Time
	// reportedLeaving is when the server itself last reported that it is
	// leaving.
	reportedLeaving time.Time
}

// NewEjector returns an Ejector without servers. It returns a *ConfigError if
// a field of cfg is out of range.
func NewEjector(cfg EjectionConfig) (*Ejector, error) {
	setDefault(&cfg.Window, defaultWindow)
	setDefault(&cfg.MaxEjected, defaultMaxEjected)
	setDefault(&cfg.Evidence, defaultEvidence)
	setDefault(&cfg.Ejection, defaultEjection)
	setDefault(&cfg.MaxEjection, defaultMaxEjection)
	setDefault(&cfg.Cooling, defaultCooling)
	setDefault(&cfg.MaxCooling, defaultMaxCooling)
	setDefault(&cfg.Trials, defaultTrials)
	if err := cfg.check(); err != nil {
		return nil, err
	}
	e := &Ejector{
		cfg:     cfg,
		servers: map[netip.AddrPort]*health{},
		routes:  map[string]*outcomeRing{},
	}
	return e, nil
}

func (cfg *EjectionConfig) check() error {
	if cfg.MaxEjected < 0 || cfg.MaxEjected > 1 {
		return &ConfigError{Field: "MaxEjected", Value: cfg.MaxEjected, Want: "in [0, 1]"}
	}
	if cfg.Evidence < 0 || math.IsNaN(cfg.Evidence) {
		return &ConfigError{Field: "Evidence", Value: cfg.Evidence, Want: "positive"}
	}
	if cfg.Trials < 0 {
		return &ConfigError{Field: "Trials", Value: cfg.Trials, Want: "positive"}
	}
	for _, f := range []struct {
		name  string
		value time.Duration
	}{
		{"Window", cfg.Window},
		{"Ejection", cfg.Ejection},
		{"MaxEjection", cfg.MaxEjection},
		{"Cooling", cfg.Cooling},
		{"MaxCooling", cfg.MaxCooling},
	} {
		if f.value < 0 {
			return &ConfigError{Field: f.name, Value: f.value, Want: "positive"}
		}
	}
	return nil
}

// setDefault sets a field that is zero to its default.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Add adds a server to the pool. A server that is unknown starts on probation;
// a server that was released keeps its state.
func (e *Ejector) Add(addr netip.AddrPort) {
	e.add(addr)
}

func (e *Ejector) add(addr netip.AddrPort) *health {
	h := e.servers[addr]
	if h == nil {
		h = &health{addr: addr, state: probation}
		e.servers[addr] = h
	}
	if !h.inPool {
		h.inPool = true
		e.poolSize++
		e.ejectedCount += h.ejectedCount()
	}
	return h
}

// Release removes a server from the pool, and keeps its health for the case
// that it is added again.
func (e *Ejector) Release(addr netip.AddrPort) {
	h := e.servers[addr]
	if h == nil || !h.inPool {
		return
	}
	e.poolSize--
	e.ejectedCount -= h.ejectedCount()
	h.inPool = false
}

// Forget removes a server from the pool and deletes its health.
func (e *Ejector) Forget(addr netip.AddrPort) {
	e.Release(addr)
	delete(e.servers, addr)
}

// SetLeaving records whether the platform's list marks addr as leaving. A
// false value is ignored for 30 s after the server itself reported that it is
// leaving.
func (e *Ejector) SetLeaving(now time.Time, addr netip.AddrPort, isLeaving bool) {
	h := e.servers[addr]
	switch {
	case h == nil:
	case isLeaving:
		e.applyEvent(now, h, leave)
	case now.Sub(h.reportedLeaving) >= leavingReportLifetime:
		e.applyEvent(now, h, stay)
	}
}

// Ejected reports whether addr is ejected at now, because it did worse than
// the other servers. A server on trial is not ejected. Ejected calls Advance
// first, so that an ejection that has expired at now has ended.
func (e *Ejector) Ejected(now time.Time, addr netip.AddrPort) bool {
	e.Advance(now)
	h := e.servers[addr]
	return h != nil && h.state == ejected
}

// State returns the state of addr in the health chart, or false if addr is
// unknown.
func (e *Ejector) State(addr netip.AddrPort) (chart.State, bool) {
	h := e.servers[addr]
	if h == nil {
		return 0, false
	}
	return h.state, true
}

// Limit returns the maximum number of tasks that addr, a server with the
// given number of slots, may run at once. It is in [0, slots].
func (e *Ejector) Limit(addr netip.AddrPort, slots int) int {
	h := e.servers[addr]
	if h == nil {
		return 0
	}
	return h.limit(slots)
}

func (h *health) limit(slots int) int {
	switch h.state {
	case healthy:
		return slots
	case probation:
		return min(slots, probationSlots+h.successes)
	case trial:
		return min(slots, 1)
	default:
		return 0
	}
}

// countsAsEjected reports whether the server is ejected or on trial.
func (h *health) countsAsEjected() bool {
	return h.state == ejected || h.state == trial
}

// ejectedCount returns 1 if the server counts toward MaxEjected, and 0
// otherwise.
func (h *health) ejectedCount() int {
	if h.inPool && h.countsAsEjected() {
		return 1
	}
	return 0
}

// Advance ends the cooling and the ejection of each server for which it has
// expired at now. It reports whether any server changed its state.
func (e *Ejector) Advance(now time.Time) bool {
	if e.nextExpiry.IsZero() || now.Before(e.nextExpiry) {
		return false
	}
	e.nextExpiry = time.Time{}
	changed := false
	for _, h := range e.servers {
		if h.until.IsZero() {
			continue
		}
		if now.Before(h.until) {
			e.scheduleExpiry(h.until)
			continue
		}
		h.until = time.Time{}
		e.applyEvent(now, h, timePassed)
		changed = true
	}
	return changed
}

func (e *Ejector) scheduleExpiry(t time.Time) {
	if e.nextExpiry.IsZero() || t.Before(e.nextExpiry) {
		e.nextExpiry = t
	}
}
