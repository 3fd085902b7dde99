package naive

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// counts holds the counters that every entry instance exposes. A naive one
// sends no envelopes, so that their counters stay 0.
type counts struct {
	set        *metrics.Set
	starts     *metrics.Counter
	notStarted *metrics.Counter
	retries    *metrics.Counter
}

func newCounts() counts {
	set := metrics.NewSet()
	set.NewCounter("amaranthwell_peer_envelopes_sent_total")
	set.NewCounter("amaranthwell_peer_envelopes_wasted_total")
	return counts{
		set:        set,
		starts:     set.NewCounter("amaranthwell_backend_starts_total"),
		notStarted: set.NewCounter("amaranthwell_backend_not_started_total"),
		retries:    set.NewCounter("amaranthwell_backend_retries_total"),
	}
}

func (c counts) write(w io.Writer) {
	c.set.WritePrometheus(w)
}
