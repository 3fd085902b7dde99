package dispatch

import "time"

const (
	// minHedgeDelay and maxHedgeDelay bound the time after which a worker's answer is
	// overdue. The lower bound leaves room for a pause of the leader's own process, the
	// upper one is below the time-out of a command.
	minHedgeDelay = 10 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// answerMeanShare and answerDeviationShare are the inverse weights of a new answer
	// time in the mean and in the deviation, as for the retransmission timer of TCP.
	answerMeanShare      = 8
	answerDeviationShare = 4
	// answerDeviations is the number of deviations above the mean at which an answer is
	// overdue.
	answerDeviations = 4
)

// answerTimes estimates the time in which a worker answers a command that it carries out
// at once.
type answerTimes struct {
	mean, deviation time.Duration
	known           bool
}

// record updates the estimate with an answer that took d.
func (a *answerTimes) record(d time.Duration) {
	if d < 0 {
		return
	}
	if !a.known {
		a.mean, a.deviation, a.known = d, d/2, true
		return
	}
	a.deviation += ((d - a.mean).Abs() - a.deviation) / answerDeviationShare
	a.mean += (d - a.mean) / answerMeanShare
}

// overdue returns the time after which an answer is overdue.
func (a *answerTimes) overdue() time.Duration {
	if !a.known {
		return maxHedgeDelay
	}
	return min(max(a.mean+answerDeviations*a.deviation, minHedgeDelay), maxHedgeDelay)
}

const (
	// hedgeShare is the number of extra commands that each regular command allows.
	hedgeShare = 0.1
	// hedgeBurst is the number of extra commands that may be sent in a row.
	hedgeBurst = 20
)

// hedgeBudget bounds the extra commands to a share of the regular ones, so that workers
// that answer slowly never multiply the load.
type hedgeBudget struct{ tokens float64 }

// earn records a regular command.
func (b *hedgeBudget) earn() { b.tokens = min(b.tokens+hedgeShare, hedgeBurst) }

// spend reports whether an extra command may be sent now, and counts it.
func (b *hedgeBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
