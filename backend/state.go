package backend

import (
	"net/netip"

	"github.com/amaranthwell/amaranthwell/chart"
)

// InitialState is the name of the state of the health chart in which a server
// starts.
const InitialState = "probation"

// State returns the name of the server's state in the health chart, or
// InitialState for an unknown server.
func (sched *Scheduler[ID]) State(addr netip.AddrPort) string {
	s, ok := sched.d.ejector.State(addr)
	if !ok {
		return InitialState
	}
	return healthChart.Name(s)
}

// InUse reports whether a server in the state with the given name gets tasks,
// or will get them after a short cooling. It returns false for the states
// ejected, trial and leaving.
func InUse(state string) bool {
	for _, s := range []chart.State{probation, healthy, cooling} {
		if healthChart.Name(s) == state {
			return true
		}
	}
	return false
}
