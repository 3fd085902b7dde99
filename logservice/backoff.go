package logservice

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of a BackoffConfig.
const (
	// DefaultMinBackoff is the largest first pause.
	DefaultMinBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff is the largest pause of all.
	DefaultMaxBackoff = 2 * time.Second
)

// BackoffConfig configures the pauses between failed reads. They are drawn
// from the upper half of a range that doubles from Min up to Max.
type BackoffConfig struct {
	// Min is the largest first pause. Zero means DefaultMinBackoff.
	Min time.Duration
	// Max is the largest pause of all. Zero means DefaultMaxBackoff.
	Max time.Duration
}

// withDefaults returns cfg with its zero fields set. It returns a *ConfigError
// unless 0 < Min <= Max.
func (cfg BackoffConfig) withDefaults() (BackoffConfig, error) {
	if cfg.Min == 0 {
		cfg.Min = DefaultMinBackoff
	}
	if cfg.Max == 0 {
		cfg.Max = max(cfg.Min, DefaultMaxBackoff)
	}
	if cfg.Min < 0 || cfg.Max < cfg.Min {
		return cfg, &ConfigError{Field: "backoff", Err: errors.Newf("min %v, max %v", cfg.Min, cfg.Max)}
	}
	return cfg, nil
}

// backoff gives the pauses after consecutive failures.
type backoff struct {
	cfg   BackoffConfig
	rand  *rand.Rand
	limit time.Duration
}

// next returns the pause after one more failure, in [limit/2, limit], where
// limit doubles up to cfg.Max.
func (b *backoff) next() time.Duration {
	b.limit = min(max(2*b.limit, b.cfg.Min), b.cfg.Max)
	half := b.limit / 2
	return half + time.Duration(b.rand.Int64N(int64(b.limit-half)+1))
}

// reset ends a run of failures.
func (b *backoff) reset() {
	b.limit = 0
}
