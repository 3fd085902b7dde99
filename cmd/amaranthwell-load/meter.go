package main

import (
	"context"
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
	envelopesSent   float64
	envelopesWasted float64
	backendStarts   float64
	notStarted      float64
	processorTime   time.Duration
	started         int
}

// read reads all counters. Entry instances that do not answer count 0.
func (b *bench) read(ctx context.Context) (reading, error) {
	var sum reading
	for i, e := range b.fleet.entries {
		if p := b.entries[i]; p != nil && p.running() {
			sum.processorTime += p.processorTime()
		}
		text, err := get(ctx, b.meterClient, "http://"+e.operator.String()+"/metrics")
		if err != nil {
			continue
		}
		counters := parseMetrics(string(text))
		sum.envelopesSent += counters[envelopesSentMetric]
		sum.envelopesWasted += counters[envelopesWastedMetric]
		sum.backendStarts += counters[backendStartsMetric]
		sum.notStarted += counters[notStartedMetric]
	}
	seen, err := b.platform.readStarts(ctx, false)
	sum.started = seen.Started
	return sum, err
}

// minus returns what was counted since the earlier reading. A count is at
// least 0, also when an entry instance has ended meanwhile.
func (r reading) minus(earlier reading) reading {
	return reading{
		envelopesSent:   max(0, r.envelopesSent-earlier.envelopesSent),
		envelopesWasted: max(0, r.envelopesWasted-earlier.envelopesWasted),
		backendStarts:   max(0, r.backendStarts-earlier.backendStarts),
		notStarted:      max(0, r.notStarted-earlier.notStarted),
		processorTime:   max(0, r.processorTime-earlier.processorTime),
		started:         max(0, r.started-earlier.started),
	}
}

// wastedMessages returns the number of messages a task that carried no task,
// job, result or answer. It returns 0 without a started task.
func (r reading) wastedMessages() float64 {
	return perTask(r.envelopesWasted+messagesPerRefusal*r.notStarted, r.started)
}

// processorMicroseconds returns the entry instances' processor time a task.
func (r reading) processorMicroseconds() float64 {
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
