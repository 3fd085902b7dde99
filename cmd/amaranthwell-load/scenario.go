package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// A scenario is a sequence of phases that run on the same processes.
type scenario struct {
	name string
	// description describes the scenario in one sentence.
	description string
	phases      []phase
}

// A phase is a period of a scenario with a constant offered load and optional events.
type phase struct {
	name string
	// load is the steady load of all routes together, as a fraction of the
	// fleet's capacity.
	load float64
	// flood, if not nil, replaces the steady load of one route.
	flood *flood
	// waves, if not nil, adds cancellation waves on the least urgent route.
	waves *waves
	// warmup is the time from the start of the phase to the measured window.
	warmup       time.Duration
	windowLength time.Duration
	// events are in ascending order of their offsets.
	events []event
	// baseline is the name of the earlier phase with which this one is
	// compared, or empty.
	baseline string
}

// A flood is a load of one route far above the fleet's capacity.
type flood struct {
	route string
	// load is the flood's load as a fraction of the fleet's capacity.
	load float64
	// entry is the index of the entry instance that receives the flood, or
	// anyEntry.
	entry int
}

// An event is an action during a phase, such as a fault. offset is its time from the
// start of the phase.
type event struct {
	offset time.Duration
	name   string
	do     func(context.Context, *cluster) error
}

// Loads and durations of the scenarios.
const (
	baselineLoad  = 0.7
	floodLoad     = 10.0
	warmupTime    = 3 * time.Second
	faultWarmup   = 2 * time.Second
	defaultWindow = 12 * time.Second
	rollingWindow = 180 * time.Second
	pauseDuration = 5 * time.Second
	// detectionDelay is the time from the end of an entry instance until the
	// platform detects it.
	detectionDelay     = 3 * time.Second
	floodEntry         = 0
	faultyServerStride = 10 // One backend server in ten.
)

// scenarios returns all scenarios for f, in the order in which they run by default.
func scenarios(f *fleet) []scenario {
	return append(loadScenarios(f), faultScenarios(f)...)
}

func loadScenarios(f *fleet) []scenario {
	return []scenario{
		{
			name: "steady", description: "All routes at 50, 70 and 90 % of the fleet.",
			phases: []phase{steadyPhase("steady-50", 0.5), steadyPhase("steady-70", 0.7), steadyPhase("steady-90", 0.9)},
		},
		floodScenario("flood-least", "The least urgent route at 10 times the fleet.", f.leastUrgentRoute(), anyEntry),
		floodScenario("flood-most", "The most urgent route at 10 times the fleet.", f.mostUrgentRoute(), anyEntry),
		floodScenario("flood-least-one-entry", "The same flood of the least urgent route, all of it at one entry instance.",
			f.leastUrgentRoute(), floodEntry),
		floodScenario("flood-most-one-entry", "The same flood of the most urgent route, all of it at one entry instance.",
			f.mostUrgentRoute(), floodEntry),
		scenarioWithBaseline("cancel-waves", "Every 3 s, 300 jobs of the least urgent route start at once; 9 in 10 are cancelled 300 ms later.",
			phase{waves: &waves{interval: 3 * time.Second, jobsPerWave: 300, cancelAfter: 300 * time.Millisecond, cancelledFraction: 0.9}}),
	}
}

func steadyPhase(name string, load float64) phase {
	return phase{name: name, load: load, warmup: warmupTime, windowLength: defaultWindow}
}

func floodScenario(name, description, route string, entry int) scenario {
	return scenarioWithBaseline(name, description, phase{flood: &flood{route: route, load: floodLoad, entry: entry}})
}

// scenarioWithBaseline returns a scenario with two phases at baselineLoad: a baseline
// phase without the flood, waves or events of p, and then p itself. It sets the name, the
// load and the baseline of p, and the durations that are zero in p. On the routes that p
// does not flood, both phases have the same jobs.
func scenarioWithBaseline(name, description string, p phase) scenario {
	baseline := steadyPhase("without", baselineLoad)
	p.name = name
	p.load = baselineLoad
	p.baseline = baseline.name
	if p.warmup == 0 {
		p.warmup = warmupTime
	}
	if p.windowLength == 0 {
		p.windowLength = defaultWindow
	}
	baseline.windowLength = p.windowLength
	baseline.warmup = p.warmup
	return scenario{name: name, description: description, phases: []phase{baseline, p}}
}

// findScenario returns the scenario with the given name.
func findScenario(f *fleet, name string) (scenario, error) {
	for _, s := range scenarios(f) {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, errors.Newf("unknown scenario %q", name)
}

// streams returns the load streams of a phase: one for each route and, if the phase
// has cancellation waves, one for the waves.
func (p phase) streams(f *fleet) []stream {
	var all []stream
	for _, r := range f.routes {
		s := stream{route: r.name, load: p.load * r.loadFraction, entry: anyEntry}
		if p.flood != nil && p.flood.route == r.name {
			s.load = p.flood.load
			s.entry = p.flood.entry
		}
		all = append(all, s)
	}
	if p.waves != nil {
		all = append(all, stream{route: f.leastUrgentRoute(), entry: anyEntry, waves: p.waves})
	}
	return all
}

// disturbedRoute returns the name of the route with the flood or the cancellation waves
// of the phase, or "" if the phase has neither.
func (p phase) disturbedRoute(f *fleet) string {
	switch {
	case p.flood != nil:
		return p.flood.route
	case p.waves != nil:
		return f.leastUrgentRoute()
	default:
		return ""
	}
}
