package main

import (
	"sync/atomic"
	"time"

	"github.com/amaranthwell/amaranthwell/entry"
)

// metricsEvery is the minimum time between copies of the instance's counts and gauges.
const metricsEvery = 250 * time.Millisecond

// stats is a copy of an instance's counts and gauges.
type stats struct {
	counts entry.Counts
	gauges entry.Gauges
}

// registerMetrics registers the instance's counts and gauges for the operators' port.
func (d *daemon) registerMetrics() {
	var latest atomic.Pointer[stats]
	latest.Store(&stats{})
	var refreshedAt atomic.Int64
	refresh := func() *stats {
		now, last := time.Now().UnixNano(), refreshedAt.Load()
		if now-last > int64(metricsEvery) && refreshedAt.CompareAndSwap(last, now) {
			d.control.call(func(_ time.Time, i *entry.Instance) {
				latest.Store(&stats{counts: i.Counts(), gauges: i.Gauges()})
			})
		}
		return latest.Load()
	}
	count := func(name string, value func(*stats) uint64) {
		d.metrics.NewGauge(name, func() float64 { return float64(value(refresh())) })
	}
	count("amaranthwell_caller_submitted_total", func(s *stats) uint64 { return s.counts.Submitted })
	count("amaranthwell_caller_accepted_total", func(s *stats) uint64 { return s.counts.Accepted })
	count("amaranthwell_caller_overloaded_total", func(s *stats) uint64 { return s.counts.Overloaded })
	count("amaranthwell_caller_cancelled_total", func(s *stats) uint64 { return s.counts.Cancelled })
	count(`amaranthwell_caller_answers_total{status="complete"}`, func(s *stats) uint64 { return s.counts.Complete })
	count(`amaranthwell_caller_answers_total{status="failed"}`, func(s *stats) uint64 { return s.counts.Failed })
	count(`amaranthwell_caller_answers_total{status="not-run"}`, func(s *stats) uint64 { return s.counts.NotRun })
	count(`amaranthwell_caller_answers_total{status="unknown"}`, func(s *stats) uint64 { return s.counts.Unknown })
	count("amaranthwell_backend_starts_total", func(s *stats) uint64 { return s.counts.Starts })
	count("amaranthwell_backend_not_started_total", func(s *stats) uint64 { return s.counts.NotStarted })
	count("amaranthwell_peer_returned_total", func(s *stats) uint64 { return s.counts.Returned })
	count("amaranthwell_peer_envelopes_sent_total", func(s *stats) uint64 { return s.counts.EnvelopesSent })
	count("amaranthwell_peer_envelopes_wasted_total", func(s *stats) uint64 { return s.counts.EnvelopesWasted })
	count("amaranthwell_peer_envelopes_stale_total", func(s *stats) uint64 { return s.counts.EnvelopesStale })
	count("amaranthwell_entry_jobs", func(s *stats) uint64 { return uint64(s.gauges.Jobs) })
	count("amaranthwell_entry_relays", func(s *stats) uint64 { return uint64(s.gauges.Relays) })
	count("amaranthwell_entry_waiting_tasks", func(s *stats) uint64 { return uint64(s.gauges.Waiting) })
	count("amaranthwell_entry_held_jobs", func(s *stats) uint64 { return uint64(s.gauges.Held) })
	count("amaranthwell_entry_records", func(s *stats) uint64 { return uint64(s.gauges.Records) })
	count("amaranthwell_peer_live", func(s *stats) uint64 { return uint64(s.gauges.Peers) })
	count("amaranthwell_backend_servers_held", func(s *stats) uint64 { return uint64(s.gauges.Servers) })
	count("amaranthwell_configuration_revision", func(*stats) uint64 { return d.current.Load().Revision })
	count("amaranthwell_configuration_offset", func(*stats) uint64 { return d.current.Load().Offset })
}
