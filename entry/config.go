package entry

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
)

// Config configures an Instance.
type Config struct {
	// Self is the instance's address for its peers.
	Self netip.AddrPort
	// Zone names the instance's availability zone.
	Zone string
	// Incarnation distinguishes the process from earlier processes at Self.
	// It must not be zero.
	Incarnation uint64
	// Start is the time to which the issue times of submission keys are
	// relative.
	Start time.Time
	// Secret authenticates the submission keys that the instance issues.
	Secret [32]byte
	// UseWithin is the time after its issue within which a submission key must
	// be used for the first time.
	UseWithin time.Duration
	// Submissions bounds the records of submissions. New replaces its Start by
	// the Start of this Config.
	Submissions caller.SubmissionTableConfig
	// HoldDown is the longest time for which a new holder of a backend
	// server waits for the former holder to release it.
	HoldDown time.Duration
	// MaxWaiting is the largest number of owned tasks that wait for a holder
	// before new jobs are refused.
	MaxWaiting int
	// MaxJobs is the largest number of open jobs that the instance owns.
	MaxJobs int
	// Random is the source of randomness for the choice of holders and for
	// retry times.
	Random *rand.Rand
}

// Defaults for the zero values of Config. DefaultKeepFor is the default of
// Submissions.KeepFor.
const (
	DefaultUseWithin  = 30 * time.Second
	DefaultKeepFor    = 5 * time.Minute
	DefaultHoldDown   = 2 * time.Second
	DefaultMaxWaiting = 200_000
	DefaultMaxJobs    = 10_000

	defaultMaxRecords     = 200_000
	defaultMaxAnswerBytes = 16 << 20
)

// setDefaults replaces the zero values of c by their defaults, and Submissions.Start
// by Start.
func (c *Config) setDefaults() {
	if c.UseWithin == 0 {
		c.UseWithin = DefaultUseWithin
	}
	c.Submissions.Start = c.Start
	if c.Submissions.UseWithin == 0 {
		c.Submissions.UseWithin = c.UseWithin
	}
	if c.Submissions.KeepFor == 0 {
		c.Submissions.KeepFor = DefaultKeepFor
	}
	if c.Submissions.MaxRecords == 0 {
		c.Submissions.MaxRecords = defaultMaxRecords
	}
	if c.Submissions.MaxAnswerBytes == 0 {
		c.Submissions.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if c.HoldDown == 0 {
		c.HoldDown = DefaultHoldDown
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.MaxJobs == 0 {
		c.MaxJobs = DefaultMaxJobs
	}
}
