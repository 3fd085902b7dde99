package peer

import (
	_ "embed"

	"github.com/amaranthwell/amaranthwell/chart"
)

//go:embed life.chart.toml
var lifeText []byte

// life is the chart of what an instance believes of a peer's life.
var life = chart.MustParse(lifeText)

// lifeState and lifeEvent are a state and an event of the chart.
type (
	lifeState = chart.State
	lifeEvent = chart.Event
)

// The states and events of the chart that the code names.
var (
	lifeStart = life.MustState("unheard")
	lifeLive  = life.MustState("live")
	lifeGone  = life.MustState("gone")

	eventHeard   = life.MustEvent("heard")
	eventSilence = life.MustEvent("silence")
	eventLeave   = life.MustEvent("leave")
	eventStay    = life.MustEvent("stay")
	eventRestart = life.MustEvent("restart")
	eventForget  = life.MustEvent("forget")
)
