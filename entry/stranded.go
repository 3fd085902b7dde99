package entry

import "time"

// returnStranded gives the waiting tasks of each pool of which this instance
// has no usable slot back to their owners. Such tasks came while the owner
// believed otherwise, or before the last server here left or was ejected.
func (i *Instance) returnStranded(now time.Time) {
	if len(i.held) == 0 {
		return
	}
	for _, name := range sorted(i.pools) {
		if p := i.pools[name]; p.holding.Load().Slots == 0 {
			i.returnHeld(now, p)
		}
	}
}
