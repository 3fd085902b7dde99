package dispatch

import "time"

// A DoubtReason is a reason why a leader does not use a part of the capacity of its
// workers.
type DoubtReason int

// The reasons. Those that concern a run count what the run needs, the others the
// capacity of the worker that no run uses.
const (
	// DoubtStart means that the start command of a run has no answer yet although one is
	// due.
	DoubtStart DoubtReason = iota
	// DoubtEnd means that a run should have ended and that its end is not known.
	DoubtEnd
	// DoubtStop means that a run is to be stopped and that its end is not known.
	DoubtStop
	// DoubtSilent means that the worker has not answered in time.
	DoubtSilent
	// DoubtExcluded means that the worker is excluded after failures.
	DoubtExcluded
	// DoubtOrphaned means that runs of an earlier leader may be running on the worker.
	DoubtOrphaned
	// DoubtUnpolled means that the worker has not answered a poll of this leader yet.
	DoubtUnpolled
	doubtReasons
)

// String returns the name of r.
func (r DoubtReason) String() string {
	return [...]string{"start", "end", "stop", "silent", "excluded", "orphaned", "unpolled"}[r]
}

// DoubtReasons returns all reasons.
func DoubtReasons() []DoubtReason {
	all := make([]DoubtReason, doubtReasons)
	for r := range all {
		all[r] = DoubtReason(r)
	}
	return all
}

// InDoubt returns the processor capacity of the workers that this instance leads which it
// does not use although it may be free, in thousandths of a core, by reason.
func (i *Instance) InDoubt(now time.Time) [doubtReasons]int {
	return i.dispatcher.uncertainCapacity(now)
}

func (d *dispatcher) uncertainCapacity(now time.Time) (millicores [doubtReasons]int) {
	for _, w := range d.ledWorkers() {
		if reason, ok := w.uncertainState(now); ok {
			millicores[reason] += w.free().Millicores
		}
		limit := d.overdueAfter(w)
		for _, r := range w.runs {
			switch {
			case r.state == runUnknown, !r.uncertainSince.IsZero():
				millicores[DoubtStart] += r.needs.Millicores
			case r.state == runStopping:
				millicores[DoubtStop] += r.needs.Millicores
			case r.endOverdue(now, limit):
				millicores[DoubtEnd] += r.needs.Millicores
			}
		}
	}
	return millicores
}

// uncertainState returns the reason why no task is started on w, if that is because its state
// is uncertain.
func (w *worker) uncertainState(now time.Time) (reason DoubtReason, ok bool) {
	switch {
	case w.gone(now):
		return 0, false
	case !w.polled:
		return DoubtUnpolled, true
	case w.missedPolls > 0 || w.unresponsive:
		return DoubtSilent, true
	case now.Before(w.excludedUntil):
		return DoubtExcluded, true
	case w.orphans > 0:
		return DoubtOrphaned, true
	default:
		return 0, false
	}
}
