package logservice

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of a BackoffConfig.
const (
	// DefaultMinBackoff is the upper bound of the first pause.
	DefaultMinBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff is the upper bound of all pauses.
	DefaultMaxBackoff = 2 * time.Second
)

// BackoffConfig configures the pauses after consecutive failed reads. Each pause is
// drawn at random from [limit/2, limit]; limit is Min for the first pause and doubles
// with each further one, up to Max.
type BackoffConfig struct {
	// Min is the upper bound of the first pause. Zero means DefaultMinBackoff.
	Min time.Duration
	// Max is the upper bound of all pauses. Zero means DefaultMaxBackoff, or Min
	// if that is larger.
	Max time.Duration
}

// withDefaults returns cfg with the defaults in its zero fields. It returns a *ConfigError
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

// backoff computes the pauses after consecutive failures.
type backoff struct {
	cfg  BackoffConfig
	rand *rand.Rand
	// limit is the upper bound of the last pause, or zero after a success.
	limit time.Duration
}

// next doubles limit, within [cfg.Min, cfg.Max], and returns a random pause in
// [limit/2, limit].
func (b *backoff) next() time.Duration {
	b.limit = min(max(2*b.limit, b.cfg.Min), b.cfg.Max)
	half := b.limit / 2
	return half + time.Duration(b.rand.Int64N(int64(b.limit-half)+1))
}

// reset makes the next pause start from cfg.Min. It is called after a success.
func (b *backoff) reset() {
	b.limit = 0
}
