package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Interval and timeout of the balancer's health checks.
const (
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// A balancer chooses a ready entry instance uniformly at random, as the
// platform's load balancer does. It is safe for concurrent use.
type balancer struct {
	entries []entryInstance
	client  *http.Client

	mu    sync.Mutex
	rand  *rand.Rand
	ready []bool
}

// newBalancer returns a balancer that periodically checks the health of the entry
// instances until ctx ends. It treats each instance as ready until the first check.
func newBalancer(ctx context.Context, entries []entryInstance, r *rand.Rand) *balancer {
	b := &balancer{
		entries: entries,
		client:  &http.Client{Timeout: healthTimeout},
		rand:    r,
		ready:   make([]bool, len(entries)),
	}
	for i := range entries {
		b.ready[i] = true
		go func() {
			ticker := time.NewTicker(healthInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					b.check(ctx, i)
				}
			}
		}()
	}
	return b
}

func (b *balancer) check(ctx context.Context, i int) {
	ok := isReady(ctx, b.client, b.entries[i].operator)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ok
}

// isReady reports whether the entry instance with operator address addr answers
// a readiness check with status 200.
func isReady(ctx context.Context, client *http.Client, addr netip.AddrPort) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// choose returns the index of a random ready entry instance, or of any instance
// if none is ready.
func (b *balancer) choose() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen, readyCount := b.rand.IntN(len(b.entries)), 0
	for i, ok := range b.ready {
		if !ok {
			continue
		}
		readyCount++
		if b.rand.IntN(readyCount) == 0 {
			chosen = i
		}
	}
	return chosen
}

// markDown makes choose treat entry instance i as not ready until the next health check.
func (b *balancer) markDown(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = false
}
