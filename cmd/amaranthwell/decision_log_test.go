package main

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// Above the limit of routine lines, a decision log omits all routine lines of a job or
// none of them.
func TestDecisionLogKeepsOrOmitsAllRoutineLinesOfAJob(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := newDecisionLog(log.NewLogfmtLogger(&out), metrics.NewSet())
	now := time.Unix(100, 0)
	const jobs = 2 * maxRoutineLines
	for second := range 3 {
		out.Reset()
		for _, event := range []string{"job-accepted", "job-completed"} {
			for n := range jobs {
				l.write(now.Add(time.Duration(second)*time.Second), dispatch.Decision{Event: event, Subject: fmt.Sprintf("%016x", n), Routine: true})
			}
		}
	}
	kept := make(map[string]int)
	for line := range strings.Lines(out.String()) {
		if _, id, ok := strings.Cut(strings.TrimSpace(line), " id="); ok {
			kept[id]++
		}
	}
	is.True(len(kept) > 0)
	lines := 0
	for _, n := range kept {
		is.Equal(n, 2) // both lines of the job, or none
		lines += n
	}
	// A hash selects the jobs, so the number of lines varies by much less than half.
	is.True(lines <= maxRoutineLines*3/2)
	is.True(strings.Contains(out.String(), "event=log-jobs-left-out"))
}

// Above the limit of other lines, a decision log counts lines by event and reason, and
// logs the counts in the next second. The counter of the event counts all.
func TestDecisionLogCountsExcessRefusals(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	set := metrics.NewSet()
	l := newDecisionLog(log.NewLogfmtLogger(&out), set)
	now := time.Unix(100, 0)
	refusal := func(n int) dispatch.Decision {
		return dispatch.Decision{Event: "job-not-run", Subject: fmt.Sprintf("%016x", n), Fields: []any{"reason", "overload"}}
	}
	for n := range maxOtherLines + 5 {
		l.write(now, refusal(n))
	}
	is.Equal(strings.Count(out.String(), "event=job-not-run"), maxOtherLines)
	out.Reset()
	l.write(now.Add(time.Second), refusal(0))
	first, _, _ := strings.Cut(out.String(), "\n")
	is.Equal(first, fmt.Sprintf("event=log-lines-left-out of=job-not-run reason=overload count=5 example=%016x", maxOtherLines))
	is.Equal(set.GetOrCreateCounter(`amaranthwell_decisions_total{event="job-not-run"}`).Get(), uint64(maxOtherLines+6))
}

// blockedOutput is an output whose writes never return. It reports the first write.
type blockedOutput struct{ written chan struct{} }

func (o blockedOutput) Write([]byte) (int, error) {
	close(o.written)
	select {}
}

// A blocked output of the log must not delay the control goroutine: lines are dropped
// instead.
func TestDecisionLogDoesNotWaitForBlockedOutput(t *testing.T) {
	is := is.New(t)
	output := blockedOutput{written: make(chan struct{})}
	lines := newLineWriter(output)
	l := newDecisionLog(log.NewLogfmtLogger(lines), metrics.NewSet())
	const many = 10 * lineCapacity
	write := func(n int) { l.write(time.Unix(int64(n), 0), dispatch.Decision{Event: "job-failed", Subject: "x"}) }
	write(0)
	<-output.written
	for n := range many {
		write(n + 1)
	}
	is.Equal(lines.dropped.Load(), uint64(many-lineCapacity)) // all but the queued lines were dropped
}

func BenchmarkDecisionLog(b *testing.B) {
	logger := log.With(log.NewLogfmtLogger(newLineWriter(io.Discard)), "time", log.DefaultTimestampUTC, "instance", "entry-1")
	l := newDecisionLog(logger, metrics.NewSet())
	for n := range b.N {
		l.write(time.Unix(int64(n), 0), dispatch.Decision{Event: "tasks-started", Subject: "4a682232fefefc68", Routine: true, Fields: []any{
			"runs", "0.0#1@i-e9bedafbf8 0.1#1@i-af59e0c9cb", "waiting", 0, "queued", 3, "expected", 35 * time.Millisecond, "left", 90 * time.Millisecond, "round", 0,
		}})
	}
}
