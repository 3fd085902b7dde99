package peer

import (
	_ "embed"
	"net/netip"

	"github.com/amaranthwell/amaranthwell/chart"
)

//go:embed state.chart.toml
var chartText []byte

// stateChart is the chart of the states in which an instance sees a peer.
var stateChart = chart.MustParse(chartText)

// peerState and peerEvent are a state and an event of stateChart.
type (
	peerState = chart.State
	peerEvent = chart.Event
)

// These are the states and events of stateChart that the code uses.
var (
	stateStart = stateChart.MustState("unheard")
	stateLive  = stateChart.MustState("live")
	stateGone  = stateChart.MustState("gone")

	eventReceived = stateChart.MustEvent("heard")
	eventSilence  = stateChart.MustEvent("silence")
	eventLeave    = stateChart.MustEvent("leave")
	eventStay     = stateChart.MustEvent("stay")
	eventRestart  = stateChart.MustEvent("restart")
	eventForget   = stateChart.MustEvent("forget")
)

// StateChart returns the chart of the states in which an instance sees a peer.
func StateChart() *chart.Chart { return stateChart }

// State returns the name of the state in StateChart that the peer at addr is
// in, as far as this instance knows. It is "gone" for an unknown peer.
func (m *Members) State(addr netip.AddrPort) string {
	p := m.peers[addr]
	if p == nil {
		return stateChart.Name(stateGone)
	}
	return stateChart.Name(p.state)
}
