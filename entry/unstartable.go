package entry

import "time"

// returnUnstartable returns waiting tasks to their owners if this instance has no
// usable slot in their pool. Such tasks were assigned by an owner with an outdated
// view, or before the last held server of the pool left or was ejected.
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
