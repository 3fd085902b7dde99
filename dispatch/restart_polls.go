package dispatch

import "time"

const (
	// restartPollInterval is the time between two polls of a silent worker at which a start
	// command may still arrive. A new incarnation carries that command out until it has
	// received the first command with a raised token.
	restartPollInterval = 100 * time.Millisecond
	// lateStartTime is the time after which a start command is not expected to arrive any
	// more.
	lateStartTime = 12 * time.Second
	// restartPollsPerTick bounds these polls of a leader, so that the failure of many workers
	// does not multiply the polls: 100 a second with ticks of 20 ms.
	restartPollsPerTick = 2
)

// mayRestart reports whether w is silent, and a start command is expected to arrive there
// that a new incarnation would carry out.
func (w *worker) mayRestart(now time.Time) bool {
	return w.missedPolls > 1 && now.Sub(w.latestStart().sentAt) < lateStartTime
}

// pollForRestarts polls some of the silent workers that may restart, in turns, beside their
// other polls, so that a new incarnation soon receives the raised token.
func (d *dispatcher) pollForRestarts(now time.Time) {
	if d.unfenced {
		return
	}
	workers, budget := d.ledWorkers(), restartPollsPerTick
	first := d.restartPollNext
	for i := range workers {
		at := (first + i) % len(workers)
		w := workers[at]
		if w.missedPolls <= 1 || now.Sub(later(w.restartPollSent, w.pollSent)) < restartPollInterval || !w.mayRestart(now) {
			continue
		}
		if from, _ := d.mayCommand(now, w.shard); now.Before(from) {
			continue
		}
		if budget == 0 {
			return
		}
		budget--
		d.restartPollNext = at + 1
		w.restartPollSent = now
		d.sendPoll(now, w, 0)
	}
}
