package backend

import (
	_ "embed" // For the embedded health chart.

	"github.com/amaranthwell/amaranthwell/chart"
)

//go:embed health.chart.toml
var healthText []byte

// healthChart is the state chart of the health of a backend server.
var healthChart = chart.MustParse(healthText)

// The states of the health chart that the code refers to. The head of
// health.chart.toml describes them.
var (
	probation = healthChart.MustState("probation")
	healthy   = healthChart.MustState("healthy")
	cooling   = healthChart.MustState("cooling")
	ejected   = healthChart.MustState("ejected")
	trial     = healthChart.MustState("trial")
)

// The events of the health chart.
var (
	succeeded   = healthChart.MustEvent("proved")
	refused     = healthChart.MustEvent("refused")
	firstFailed = healthChart.MustEvent("first-failed")
	ejectionDue = healthChart.MustEvent("condemned")
	timePassed  = healthChart.MustEvent("time-passed")
	leave       = healthChart.MustEvent("leave")
	stay        = healthChart.MustEvent("stay")
)

// HealthChart returns the state chart of the health of a backend server.
func HealthChart() *chart.Chart {
	return healthChart
}
