package backend

import (
	_ "embed" // The chart of a backend server's health is a file.

	"github.com/amaranthwell/amaranthwell/chart"
)

//go:embed health.chart.toml
var healthText []byte

// healthChart is the chart of a backend server's health.
var healthChart = mustParse(healthText)

// The states of the health chart that this package asks for by name.
var (
	probation = mustState("probation")
	healthy   = mustState("healthy")
	cooling   = mustState("cooling")
	ejected   = mustState("ejected")
	trial     = mustState("trial")
)

// The events of the health chart.
var (
	proved      = mustEvent("proved")
	refused     = mustEvent("refused")
	firstFailed = mustEvent("first-failed")
	condemned   = mustEvent("condemned")
	timePassed  = mustEvent("time-passed")
	leave       = mustEvent("leave")
	stay        = mustEvent("stay")
)

// HealthChart returns the chart of a backend server's health.
func HealthChart() *chart.Chart {
	return healthChart
}

// mustParse panics if the embedded chart is malformed.
func mustParse(text []byte) *chart.Chart {
	c, err := chart.Parse(text)
	if err != nil {
		panic(err)
	}
	return c
}

// mustState panics if the embedded chart lacks the state.
func mustState(name string) chart.State {
	s, err := healthChart.State(name)
	if err != nil {
		panic(err)
	}
	return s
}

// mustEvent panics if the embedded chart lacks the event.
func mustEvent(name string) chart.Event {
	e, err := healthChart.Event(name)
	if err != nil {
		panic(err)
	}
	return e
}
