package peer

import (
	_ "embed"
	"net/netip"

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

// StateChart returns the chart of what an instance believes of a peer's life.
func StateChart() *chart.Chart { return life }

// State returns the name of the state in StateChart that the peer at addr is
// believed to be in. It is "gone" for a peer that is not known.
func (m *Members) State(addr netip.AddrPort) string {
	p := m.peers[addr]
	if p == nil {
		return life.Name(lifeGone)
	}
	return life.Name(p.state)
}
