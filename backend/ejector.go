package backend

import (
	"math"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/chart"
)

// The defaults of an EjectionConfig.
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
	// than the one before.
	backoffFactor = 3
	// probationSlots is the number of slots used on a server that has not
	// yet run a task. Each success adds one.
	probationSlots = 2
	// probationTasks is the number of successes that end the probation.
	probationTasks = 8
	// backoffResetAfter is the time without trouble after which the next ejection
	// or cooling is as short as the first.
	backoffResetAfter = 2 * time.Minute
	// leavingReportLifetime is the time for which a server that said that it is leaving
	// is believed more than the platform's list.
	leavingReportLifetime = 30 * time.Second
)

// EjectionConfig configures an Ejector. A zero field means its default.
type EjectionConfig struct {
	// Window is the age in which the outcomes of other servers count for
	// the comparison. The default is 10 s.
	Window time.Duration
	// MaxEjected is the largest share of the servers that may be ejected at
	// once, in [0, 1]. The default is 0.5.
	MaxEjected float64
	// Evidence is the logarithm of the likelihood ratio, bad to good, at
	// which a server is ejected. The default is 9.
	Evidence float64
	// Ejection is the length of a server's first ejection. Each further one
	// is three times as long. The default is 2 s.
	Ejection time.Duration
	// MaxEjection bounds the length of an ejection. The default is 2 min.
	MaxEjection time.Duration
	// Cooling is the time without tasks after a first refusal. Each further
	// one in a row is three times as long. The default is 100 ms.
	Cooling time.Duration
	// MaxCooling bounds the length of a cooling. The default is 10 s.
	MaxCooling time.Duration
	// Trials is the number of tasks in a row that must succeed, one at a
	// time, before a server is readmitted. The default is 3.
	Trials int
}

// An Ejector decides which backend servers of one pool are left out, and how
// many tasks the others may run.
//
// An Ejector is not safe for concurrent use: the control goroutine owns it.
type Ejector struct {
	cfg     EjectionConfig
	servers map[netip.AddrPort]*health
	routes  map[string]*outcomeRing
	// added counts the servers that are not released, and ejectedCount those of them
	// that are ejected or on trial.
	added, ejectedCount int
	// nextExpiry is the earliest until of any server, or zero.
	nextExpiry time.Time
}

// health is what an Ejector knows of one server.
type health struct {
	addr  netip.AddrPort
	state chart.State
	// added says that the server counts among those of the pool.
	added bool
	// since is when the server came into the state. The outcome of a task
	// that started earlier moves it to no other by itself.
	since time.Time
	// score is the evidence that the server is bad, a log likelihood ratio.
	score float64
	// successes counts the tasks that succeeded in this state.
	successes int
	// until ends cooling and ejection.
	until time.Time
	// ejections and refusals count those not yet forgiven.
	ejections, refusals int
	// lastTrouble is when the server last refused a task or when its last
	// ejection ends.
	lastTrouble time.Time
	// reportedLeaving is when the server itself said that it is leaving.
	reportedLeaving time.Time
}

// NewEjector returns an Ejector without servers. It returns a *ConfigError if
// cfg is out of range.
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

// setDefault replaces a zero field by its default.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Add counts addr among the servers. One that was never added, or forgotten,
// is on probation; a released one is as before.
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

// Release no longer counts addr among the servers, but remembers its health.
func (e *Ejector) Release(addr netip.AddrPort) {
	h := e.servers[addr]
	if h == nil || !h.added {
		return
	}
	e.added--
	e.ejectedCount -= h.ejectedCount()
	h.added = false
}

// Forget drops all that is known of addr.
func (e *Ejector) Forget(addr netip.AddrPort) {
	e.Release(addr)
	delete(e.servers, addr)
}

// SetLeaving records what the platform's list says of addr. That addr stays is
// not believed for a while after addr itself said that it is leaving.
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

// Ejected reports whether addr is left out at now because it did worse than
// the other servers. A server on trial is not left out.
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

// Limit returns the number of tasks that addr, a server with the given slots,
// may run at once. It is in [0, slots].
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

// ejectedCount returns 1 if the server counts against MaxEjected, else 0.
func (h *health) ejectedCount() int {
	if h.added && h.countsAsEjected() {
		return 1
	}
	return 0
}

// Advance ends the coolings and ejections whose time has passed at now. It
// reports whether any server changed.
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
