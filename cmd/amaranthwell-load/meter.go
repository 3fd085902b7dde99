package main

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Names of the entry instances' metrics.
const (
	envelopesSentMetric   = "amaranthwell_peer_envelopes_sent_total"
	envelopesWastedMetric = "amaranthwell_peer_envelopes_wasted_total"
	backendStartsMetric   = "amaranthwell_backend_starts_total"
	notStartedMetric      = "amaranthwell_backend_not_started_total"
)

// messagesPerRefusal counts a refused start: the task there and the refusal back.
const messagesPerRefusal = 2

// A reading is what the entry instances and the workers have counted so far.
type reading struct {
	entries []entryReading
	started int
}

// An entryReading is what one process of an entry instance has counted.
type entryReading struct {
	// pid identifies the process.
	pid             int
	envelopesSent   float64
	envelopesWasted float64
	backendStarts   float64
	notStarted      float64
	processorTime   time.Duration
}

// read reads all counters. An entry instance that does not answer counts 0.
func (b *bench) read(ctx context.Context) (reading, error) {
	var r reading
	for i, e := range b.fleet.entries {
		r.entries = append(r.entries, b.readEntry(ctx, b.entries[i], e.operator))
	}
	seen, err := b.platform.readStarts(ctx, false)
	r.started = seen.Started
	return r, err
}

func (b *bench) readEntry(ctx context.Context, p *process, operator netip.AddrPort) entryReading {
	r := entryReading{pid: p.cmd.Process.Pid, processorTime: p.processorTime()}
	text, err := get(ctx, b.meterClient, "http://"+operator.String()+"/metrics")
	if err != nil {
		return r
	}
	counters := parseMetrics(string(text))
	r.envelopesSent = counters[envelopesSentMetric]
	r.envelopesWasted = counters[envelopesWastedMetric]
	r.backendStarts = counters[backendStartsMetric]
	r.notStarted = counters[notStartedMetric]
	return r
}

// A usage is what was counted between two readings.
type usage struct {
	entryReading
	started int
}

// since returns what was counted since the earlier reading. A process that
// began meanwhile counts from its start; what one that ended had counted since
// the earlier reading is lost.
func (r reading) since(earlier reading) usage {
	used := usage{started: r.started - earlier.started}
	for i, e := range r.entries {
		if e.pid == earlier.entries[i].pid {
			e = e.minus(earlier.entries[i])
		}
		used.envelopesSent += e.envelopesSent
		used.envelopesWasted += e.envelopesWasted
		used.backendStarts += e.backendStarts
		used.notStarted += e.notStarted
		used.processorTime += e.processorTime
	}
	return used
}

// minus returns the difference, and at least 0: a process may not answer.
func (e entryReading) minus(earlier entryReading) entryReading {
	return entryReading{
		envelopesSent:   max(0, e.envelopesSent-earlier.envelopesSent),
		envelopesWasted: max(0, e.envelopesWasted-earlier.envelopesWasted),
		backendStarts:   max(0, e.backendStarts-earlier.backendStarts),
		notStarted:      max(0, e.notStarted-earlier.notStarted),
		processorTime:   max(0, e.processorTime-earlier.processorTime),
	}
}

// wastedMessages returns the number of messages a task that carried no task,
// job, result or answer. It returns 0 without a started task.
func (r usage) wastedMessages() float64 {
	return perTask(r.envelopesWasted+messagesPerRefusal*r.notStarted, r.started)
}

// processorMicroseconds returns the entry instances' processor time a task.
func (r usage) processorMicroseconds() float64 {
	return perTask(float64(r.processorTime.Microseconds()), r.started)
}

func perTask(n float64, tasks int) float64 {
	if tasks == 0 {
		return 0
	}
	return n / float64(tasks)
}

// parseMetrics returns the sum of each metric over its labels.
func parseMetrics(text string) map[string]float64 {
	sums := make(map[string]float64)
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		space := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || space < 0 {
			continue
		}
		name, _, _ := strings.Cut(line[:space], "{")
		if value, err := strconv.ParseFloat(line[space+1:], 64); err == nil {
			sums[strings.TrimSpace(name)] += value
		}
	}
	return sums
}
