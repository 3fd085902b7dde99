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
	// backoffFactor is the factor by which each ejection or cooling is longer
	// than the previous one.
	backoffFactor = 3
	// probationSlots is the number of slots used on a server on probation
	// before a task has succeeded there. Each success adds one.
	probationSlots = 2
	// probationTasks is the number of successes that end the probation.
	probationTasks = 8
	// backoffResetAfter is the time since the last trouble after which the
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
	// Evidence is the logarithm of the likelihood ratio of a bad to a good
	// server at which a server is ejected. The default is 9.
	Evidence float64
	// Ejection is the duration of a server's first ejection. Each further one
	// is three times as long. The default is 2 s.
	Ejection time.Duration
	// MaxEjection limits the duration of an ejection. The default is 2 min.
	MaxEjection time.Duration
	// Cooling is the time without tasks after a first refusal. Each further
	// one in a row is three times as long. The default is 100 ms.
	Cooling time.Duration
	// MaxCooling limits the duration of a cooling. The default is 10 s.
	MaxCooling time.Duration
	// Trials is the number of consecutive tasks that must succeed, run one at
	// a time, to end a trial. The default is 3.
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
	// added is the number of servers that are not released, and ejectedCount
	// the number of those that are ejected or on trial.
	added, ejectedCount int
	// nextExpiry is the earliest until of any server, or zero.
	nextExpiry time.Time
}

// health is the state of one server in the health chart, with the outcomes
// that led to it.
type health struct {
	addr  netip.AddrPort
	state chart.State
	// added reports whether the server belongs to the pool, that is, is not
	// released.
	added bool
	// since is when the server entered the state. The outcome of a task that
	// started earlier changes the score, but does not count as a success, a
	// refusal or a failed trial.
	since time.Time
	// score is the logarithm of the likelihood ratio of a bad to a good
	// server.
	score float64
	// successes is the number of tasks that succeeded in this state.
	successes int
	// until is when cooling or ejection ends, or zero.
	until time.Time
	// ejections and refusals are the numbers that lengthen the next ejection
	// or cooling.
	ejections, refusals int
	// lastTrouble is when the server last refused a task or failed its first
	// one in a state, or when its last ejection ends.
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

// Add adds a server. An unknown server starts on probation; a released one
// keeps its state.
func (e *Ejector) Add(addr netip.AddrPort) {
	e.add(addr)
}

func (e *Ejector) add(addr netip.AddrPort) *health {
	h := e.servers[addr]
	if h == nil {
		h = &health{addr: addr, state: probation}
		e.servers[addr] = h
	}
	if !h.added {
		h.added = true
		e.added++
		e.ejectedCount += h.ejectedCount()
	}
	return h
}

// Release removes a server from the pool but remembers its health.
func (e *Ejector) Release(addr netip.AddrPort) {
	h := e.servers[addr]
	if h == nil || !h.added {
		return
	}
	e.added--
	e.ejectedCount -= h.ejectedCount()
	h.added = false
}

// Forget removes a server and its health.
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
// the other servers. A server on trial is not ejected.
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
	if h.added && h.countsAsEjected() {
		return 1
	}
	return 0
}

// Advance ends the coolings and ejections that have expired at now. It
// reports whether any server changed its state.
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
