package main

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

const (
	// maxRoutineLines is the intended maximum of routine lines a second. After a
	// second with more, the routine lines of only a share of the jobs are written
	// in the next second.
	maxRoutineLines = 600
	// maxOtherLines is the maximum number of other lines a second. Further lines
	// are only counted, by event and reason.
	maxOtherLines = 300
	// fullShare is the share, in thousandths, that means all jobs.
	fullShare = 1000
)

// decisionLog writes decisions as log lines and limits their number per second. Routine
// lines are those of decisions on the normal path of a job (dispatch.Decision.Routine).
//
// It is not safe for concurrent use: the control goroutine owns it.
type decisionLog struct {
	logger log.Logger
	// metrics holds the counters of the lines that are not routine, which counts holds by
	// event.
	metrics *metrics.Set
	counts  map[string]*metrics.Counter
	// second is the start of the current second.
	second time.Time
	// share is the share of the jobs whose routine lines are written, in
	// thousandths. A hash of the job's ID selects the jobs, so that either all
	// or none of a job's lines are written while the share stays the same.
	share uint64
	// routine counts the routine lines of this second, including omitted ones,
	// and other counts the other lines that were written.
	routine, other int
	// routineOmitted counts the routine lines that were omitted in this second.
	routineOmitted int
	// omitted counts the other lines that were omitted in this second.
	omitted map[lineKind]*omittedLines
}

// lineKind identifies the kind of an omitted line: its event, and the value of its field
// "reason" if it has one.
type lineKind struct{ event, reason string }

// omittedLines counts the omitted lines of one kind. example is the subject of the first
// of these lines.
type omittedLines struct {
	count   int
	example string
}

func newDecisionLog(logger log.Logger, set *metrics.Set) *decisionLog {
	return &decisionLog{
		logger: logger, share: fullShare, omitted: make(map[lineKind]*omittedLines),
		metrics: set, counts: make(map[string]*metrics.Counter),
	}
}

// count counts a decision that is not routine, whether or not its line is written.
func (l *decisionLog) count(event string) {
	counter := l.counts[event]
	if counter == nil {
		counter = l.metrics.GetOrCreateCounter(fmt.Sprintf("amaranthwell_decisions_total{event=%q}", event))
		l.counts[event] = counter
	}
	counter.Inc()
}

// write logs a decision made at now, or counts it as omitted.
func (l *decisionLog) write(now time.Time, d dispatch.Decision) {
	l.startSecond(now)
	if !d.Routine {
		l.count(d.Event)
	}
	switch {
	case d.Routine:
		l.routine++
		if xxhash.Sum64String(d.Subject)%fullShare >= l.share {
			l.routineOmitted++
			return
		}
	case l.other >= maxOtherLines:
		l.omit(d)
		return
	default:
		l.other++
	}
	line := append(make([]any, 0, 4+len(d.Fields)), "event", d.Event, "id", d.Subject)
	// The lineWriter behind the logger counts the lines that it drops.
	_ = l.logger.Log(append(line, d.Fields...)...)
}

// omit counts a line that exceeds maxOtherLines.
func (l *decisionLog) omit(d dispatch.Decision) {
	kind := lineKind{event: d.Event}
	for n := 0; n+1 < len(d.Fields); n += 2 {
		if reason, ok := d.Fields[n+1].(string); ok && d.Fields[n] == "reason" {
			kind.reason = reason
		}
	}
	lines := l.omitted[kind]
	if lines == nil {
		lines = &omittedLines{example: d.Subject}
		l.omitted[kind] = lines
	}
	lines.count++
}

// startSecond starts a new second if the current one has passed. It logs what was
// omitted and computes the share of jobs for the new second.
func (l *decisionLog) startSecond(now time.Time) {
	if now.Sub(l.second) < time.Second {
		return
	}
	l.second = now
	if l.routineOmitted > 0 {
		_ = l.logger.Log("event", "log-jobs-left-out", "lines", l.routineOmitted, "kept-thousandths", l.share)
	}
	for kind, lines := range l.omitted {
		_ = l.logger.Log("event", "log-lines-left-out", "of", kind.event, "reason", kind.reason, "count", lines.count, "example", lines.example)
	}
	clear(l.omitted)
	l.share = fullShare
	if l.routine > maxRoutineLines {
		l.share = uint64(fullShare * maxRoutineLines / l.routine)
	}
	l.routine, l.other, l.routineOmitted = 0, 0, 0
}
