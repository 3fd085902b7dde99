package entry

import "time"

// returnUnstartable returns the waiting tasks of each pool in which this instance
// has no usable slot to their owners. Such tasks were assigned by an owner with an
// outdated view, or before the last held server of the pool left or was ejected.
func (i *Instance) returnUnstartable(now time.Time) {
	if len(i.held) == 0 {
		return
	}
	for _, name := range sortedMapKeys(i.pools) {
		if p := i.pools[name]; p.scheduler.Load().Slots == 0 {
			i.returnHeld(now, p)
		}
	}
}
