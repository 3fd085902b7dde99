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
	// Incarnation tells the process from its predecessors at Self. It is
	// not zero.
	Incarnation uint64
	// Start is the time from which the submission keys count their time of
	// issue.
	Start time.Time
	// Secret authenticates the submission keys that the instance issues.
	Secret [32]byte
	// UseWithin is the time in which a key may first be used.
	UseWithin time.Duration
	// Submissions bounds the records of submissions.
	Submissions caller.SubmissionTableConfig
	// HoldDown is the longest time that a new holder of a backend server
	// waits for the former one to let go of it.
	HoldDown time.Duration
	// MaxWaiting is the largest number of tasks that wait at the instance
	// as their owner.
	MaxWaiting int
	// MaxJobs is the largest number of open jobs that the instance owns.
	MaxJobs int
	// Random draws holders, servers and retry times.
	Random *rand.Rand
}

// Defaults of Config.
const (
	DefaultUseWithin  = 30 * time.Second
	DefaultKeepFor    = 5 * time.Minute
	DefaultHoldDown   = 2 * time.Second
	DefaultMaxWaiting = 200_000
	DefaultMaxJobs    = 10_000

	defaultMaxRecords     = 200_000
	defaultMaxAnswerBytes = 16 << 20
)

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
