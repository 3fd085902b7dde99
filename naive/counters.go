package naive

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the counters of a naive instance. All except retries have the names of
// the product's counters. A naive instance sends no envelopes to peers, so its envelope
// counters stay 0.
type counters struct {
	set        *metrics.Set
	starts     *metrics.Counter
	notStarted *metrics.Counter
	retries    *metrics.Counter
}

func newCounters() counters {
	set := metrics.NewSet()
	set.NewCounter("amaranthwell_peer_envelopes_sent_total")
	set.NewCounter("amaranthwell_peer_envelopes_wasted_total")
	return counters{
		set:        set,
		starts:     set.NewCounter("amaranthwell_backend_starts_total"),
		notStarted: set.NewCounter("amaranthwell_backend_not_started_total"),
		retries:    set.NewCounter("amaranthwell_backend_retries_total"),
	}
}

func (c counters) write(w io.Writer) {
	c.set.WritePrometheus(w)
}
