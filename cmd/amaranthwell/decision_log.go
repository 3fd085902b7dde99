package main

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

const (
	// usualLines is the number of lines a second about jobs that go their usual
	// way. With more, whole jobs are left out.
	usualLines = 600
	// otherLines is the number of all other lines a second. With more, lines are
	// counted by their event and reason instead.
	otherLines = 300
	// wholeShare is the share of the jobs whose lines are kept, in thousandths,
	// when none is left out.
	wholeShare = 1000
)

// decisionLog writes decisions as log lines, and bounds their number.
//
// It is not safe for concurrent use: the control goroutine owns it.
type decisionLog struct {
	logger log.Logger
	second time.Time
	// share is the share of the jobs whose usual lines are kept, in
	// thousandths. It depends on the job's ID alone which those are.
	share uint64
	// usual counts the usual lines of this second, also those left out, and
	// other the other ones.
	usual, other int
	// usualLeftOut counts the usual lines that were left out in this second.
	usualLeftOut int
	leftOut      map[leftOutKind]*leftOutLines
}

// leftOutKind is a kind of line that was left out.
type leftOutKind struct{ event, reason string }

// leftOutLines counts the lines of a kind, with the subject of one of them.
type leftOutLines struct {
	count   int
	example string
}

func newDecisionLog(logger log.Logger) *decisionLog {
	return &decisionLog{logger: logger, share: wholeShare, leftOut: make(map[leftOutKind]*leftOutLines)}
}

// write logs a decision made at now, or counts it.
func (l *decisionLog) write(now time.Time, d dispatch.Decision) {
	l.turn(now)
	switch {
	case d.Routine:
		l.usual++
		if xxhash.Sum64String(d.Subject)%wholeShare >= l.share {
			l.usualLeftOut++
			return
		}
	case l.other >= otherLines:
		l.leaveOut(d)
		return
	default:
		l.other++
	}
	line := append(make([]any, 0, 4+len(d.Fields)), "event", d.Event, "id", d.Subject)
	// The writer behind the logger counts what it cannot write.
	_ = l.logger.Log(append(line, d.Fields...)...)
}

// leaveOut counts a line of which there are too many.
func (l *decisionLog) leaveOut(d dispatch.Decision) {
	kind := leftOutKind{event: d.Event}
	for n := 0; n+1 < len(d.Fields); n += 2 {
		if reason, ok := d.Fields[n+1].(string); ok && d.Fields[n] == "reason" {
			kind.reason = reason
		}
	}
	lines := l.leftOut[kind]
	if lines == nil {
		lines = &leftOutLines{example: d.Subject}
		l.leftOut[kind] = lines
	}
	lines.count++
}

// turn begins a new second, if one has passed, and sums the last one up.
func (l *decisionLog) turn(now time.Time) {
	if now.Sub(l.second) < time.Second {
		return
	}
	l.second = now
	if l.usualLeftOut > 0 {
		_ = l.logger.Log("event", "log-jobs-left-out", "lines", l.usualLeftOut, "kept-thousandths", l.share)
	}
	for kind, lines := range l.leftOut {
		_ = l.logger.Log("event", "log-lines-left-out", "of", kind.event, "reason", kind.reason, "count", lines.count, "example", lines.example)
	}
	clear(l.leftOut)
	l.share = wholeShare
	if l.usual > usualLines {
		l.share = uint64(wholeShare * usualLines / l.usual)
	}
	l.usual, l.other, l.usualLeftOut = 0, 0, 0
}
