package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseMetricsSumsLabels(t *testing.T) {
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

func TestReadingCosts(t *testing.T) {
	is := is.New(t)
	earlier := reading{envelopesWasted: 10, notStarted: 1, started: 100, processorTime: time.Second}
	later := reading{envelopesWasted: 16, notStarted: 3, started: 200, processorTime: 2 * time.Second}
	used := later.minus(earlier)
	is.Equal(used.wastedMessages(), 0.1) // 6 envelopes and 2 refusals of 2 messages for 100 tasks.
	is.Equal(used.processorMicroseconds(), 10_000.0)
	is.Equal(reading{}.minus(later).started, 0) // An instance that ended counts nothing.
}
