package main

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Names of metrics that the entry instances expose.
const (
	envelopesSentMetric   = "amaranthwell_peer_envelopes_sent_total"
	envelopesWastedMetric = "amaranthwell_peer_envelopes_wasted_total"
	backendStartsMetric   = "amaranthwell_backend_starts_total"
	notStartedMetric      = "amaranthwell_backend_not_started_total"
)

// messagesPerRefusedStart is the number of messages that a refused start costs: one with
// the task and one with the refusal.
const messagesPerRefusedStart = 2

// A reading holds the counters of the entry instances and the number of tasks that
// the workers have started, at one time.
type reading struct {
	entries []entryCounters
	started int
}

// entryCounters holds the counters of a process of an entry instance, counted from the
// start of the process, or the differences of two such readings.
type entryCounters struct {
	// pid is the process ID. It changes if the entry instance is restarted.
	pid             int
	envelopesSent   float64
	envelopesWasted float64
	backendStarts   float64
	notStarted      float64
	processorTime   time.Duration
}

// readCounters reads the counters of all entry instances and the number of started tasks.
// The counters of an instance that does not answer are 0, except for processorTime.
func (c *cluster) readCounters(ctx context.Context) (reading, error) {
	var r reading
	for i, e := range c.fleet.entries {
		r.entries = append(r.entries, c.readEntryCounters(ctx, c.entries[i], e.operator))
	}
	observed, err := c.platform.readStarts(ctx, false)
	r.started = observed.Started
	return r, err
}

func (c *cluster) readEntryCounters(ctx context.Context, p *process, operator netip.AddrPort) entryCounters {
	r := entryCounters{pid: p.cmd.Process.Pid, processorTime: p.processorTime()}
	text, err := get(ctx, c.metricsClient, "http://"+operator.String()+"/metrics")
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

// A usage is the increase of the counters between two readings.
type usage struct {
	entryCounters
	started int
}

// since returns the increase of the counters since the earlier reading, summed over
// the entry instances. For a process that started between the readings, it is the
// increase since the start. What a process that ended between the readings counted after
// the earlier one is lost.
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

// minus returns the differences e - earlier of the counters. It replaces negative
// differences by 0: they occur because the counters of a process that does not answer
// are read as 0.
func (e entryCounters) minus(earlier entryCounters) entryCounters {
	return entryCounters{
		envelopesSent:   max(0, e.envelopesSent-earlier.envelopesSent),
		envelopesWasted: max(0, e.envelopesWasted-earlier.envelopesWasted),
		backendStarts:   max(0, e.backendStarts-earlier.backendStarts),
		notStarted:      max(0, e.notStarted-earlier.notStarted),
		processorTime:   max(0, e.processorTime-earlier.processorTime),
	}
}

// wastedMessages returns the number of wasted messages per started task: envelopes that
// carried no task, job, result or answer, and the messages of refused starts. It returns
// 0 if no task started.
func (r usage) wastedMessages() float64 {
	return perTask(r.envelopesWasted+messagesPerRefusedStart*r.notStarted, r.started)
}

// processorMicroseconds returns the entry instances' processor time per started
// task, in microseconds. It returns 0 if no task started.
func (r usage) processorMicroseconds() float64 {
	return perTask(float64(r.processorTime.Microseconds()), r.started)
}

func perTask(n float64, tasks int) float64 {
	if tasks == 0 {
		return 0
	}
	return n / float64(tasks)
}

// parseMetrics parses the Prometheus text format. It returns the value of each
// metric, summed over its label values. Malformed lines are skipped.
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
