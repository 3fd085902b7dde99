package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// doubtMetrics are the gauges of the capacity that a leader does not use because it does not
// know its state.
type doubtMetrics struct {
	millicores  []atomic.Int64
	refreshedAt time.Time
}

func newDoubtMetrics(set *metrics.Set) *doubtMetrics {
	reasons := dispatch.DoubtReasons()
	m := &doubtMetrics{millicores: make([]atomic.Int64, len(reasons))}
	for _, reason := range reasons {
		value := &m.millicores[reason]
		set.NewGauge(fmt.Sprintf("amaranthwell_workers_doubt_millicores{reason=%q}", reason), func() float64 { return float64(value.Load()) })
	}
	return m
}

// refresh copies the amounts from the instance, at most once in metricsEvery. Only the
// control goroutine may call it.
func (m *doubtMetrics) refresh(now time.Time, i *dispatch.Instance) {
	if now.Sub(m.refreshedAt) < metricsEvery {
		return
	}
	m.refreshedAt = now
	for reason, millicores := range i.InDoubt(now) {
		m.millicores[reason].Store(int64(millicores))
	}
}
