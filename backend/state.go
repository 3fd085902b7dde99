package backend

import (
	"net/netip"

	"github.com/amaranthwell/amaranthwell/chart"
)

// InitialState is the name of the state in which a server's health begins.
const InitialState = "probation"

// State returns the name of the server's state in the health chart. It is
// InitialState for a server that is not known.
func (h *Scheduler[ID]) State(addr netip.AddrPort) string {
	s, ok := h.d.ejector.State(addr)
	if !ok {
		return InitialState
	}
	return healthChart.Name(s)
}

// InUse reports whether a server in the state of that name gets tasks, or is
// only cooling: it is not ejected, on trial or leaving.
func InUse(state string) bool {
	for _, s := range []chart.State{probation, healthy, cooling} {
		if healthChart.Name(s) == state {
			return true
		}
	}
	return false
}
