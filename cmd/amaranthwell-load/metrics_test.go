package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseMetricsSumsOverLabels(t *testing.T) {
	is := is.New(t)
	got := parseMetrics("# HELP a\na{peer=\"x y\"} 2\na{peer=\"z\"} 3\nb 1.5\nmalformed\n")
	is.Equal(got, map[string]float64{"a": 5, "b": 1.5})
}

func TestParseProcessorTime(t *testing.T) {
	is := is.New(t)
	stat := "12 (a name) with) S 1 12 12 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 1 0"
	is.Equal(parseProcessorTime(stat), 2*time.Second) // 150+50 ticks of 10 ms.
	is.Equal(parseProcessorTime("malformed"), time.Duration(0))
}

func TestReadingSinceCountsRestartedProcessFromItsStart(t *testing.T) {
	is := is.New(t)
	earlier := reading{started: 100, entries: []entryCounters{
		{pid: 1, envelopesWasted: 10, notStarted: 1, processorTime: time.Second},
		{pid: 2, envelopesWasted: 90, processorTime: time.Second},
	}}
	later := reading{started: 200, entries: []entryCounters{
		{pid: 1, envelopesWasted: 15, notStarted: 3, processorTime: 2 * time.Second},
		{pid: 3, envelopesWasted: 1, processorTime: time.Second}, // A restarted process counts from its start.
	}}
	used := later.since(earlier)
	is.Equal(used.wastedMessages(), 0.1) // 5+1 envelopes and 2 refusals with 2 messages each, for 100 tasks.
	is.Equal(used.processorMicroseconds(), 20_000.0)
}

// The counters of an instance that does not answer are read as 0. The increase since an
// earlier reading must not be negative then.
func TestReadingSinceOfUnresponsiveInstance(t *testing.T) {
	is := is.New(t)
	earlier := reading{entries: []entryCounters{{pid: 1, envelopesSent: 5, processorTime: time.Second}}}
	later := reading{entries: []entryCounters{{pid: 1}}}
	is.Equal(later.since(earlier), usage{})
}
