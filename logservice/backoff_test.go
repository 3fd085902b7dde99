package logservice

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBackoffDoublesUpToMax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		seed := rapid.Uint64().Draw(t, "seed")
		cfg := BackoffConfig{Min: 10 * time.Millisecond, Max: 60 * time.Millisecond}
		b := backoff{cfg: cfg, rand: rand.New(rand.NewPCG(seed, 0))}
		for range 2 {
			for _, limit := range []time.Duration{10, 20, 40, 60, 60} {
				pause := b.next()
				is.True(pause >= limit*time.Millisecond/2)
				is.True(pause <= limit*time.Millisecond)
			}
			b.reset()
		}
	})
}
