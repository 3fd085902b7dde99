package operator

import (
	"net/netip"
	"net/url"
	"time"
)

// The defaults of optional settings.
const (
	// DefaultLogRetention is the time for which the log is taken to keep a
	// record.
	DefaultLogRetention = time.Hour
	// DefaultMaxWaitingJobs is the number of jobs that an entry instance
	// holds at once.
	DefaultMaxWaitingJobs = 10000
)

// Limits of the settings.
const (
	// MinLogRetention is the least time for which the log keeps a record.
	MinLogRetention = time.Minute
	// MaxLogRetention is the largest retention that is taken.
	MaxLogRetention = 10 * 365 * 24 * time.Hour
	// MaxWaitingJobs is the largest number of jobs held at once.
	MaxWaitingJobs = 1000000
)

// Settings is an entry instance's settings file.
type Settings struct {
	// PeerAddress is where the instance listens for its peers, and names it.
	PeerAddress netip.AddrPort
	// CallerAddress is where the instance listens for callers.
	CallerAddress netip.AddrPort
	// OperatorAddress is where the instance listens for operators.
	OperatorAddress netip.AddrPort
	// Zone names the instance's availability zone.
	Zone string
	// Log is the URL of the platform's log.
	Log *url.URL
	// LogRetention is the time for which the log keeps a record.
	LogRetention time.Duration
	// Instances is the URL of the platform's list of instances.
	Instances *url.URL
	// MaxWaitingJobs is the number of jobs that the instance holds at once.
	MaxWaitingJobs int
}

// settingsRow is the form of the settings in TOML.
type settingsRow struct {
	PeerAddress     string `toml:"peer-address"`
	CallerAddress   string `toml:"caller-address"`
	OperatorAddress string `toml:"operator-address"`
	Zone            string `toml:"zone"`
	Log             string `toml:"log"`
	LogRetention    string `toml:"log-retention"`
	Instances       string `toml:"instances"`
	MaxWaitingJobs  *int   `toml:"max-waiting-jobs"`
}

// ParseSettings returns the settings that file holds. It returns a *CheckError
// with every fault if there is any, or with the first if file is not TOML or
// has a value of the wrong type.
func ParseSettings(file File) (*Settings, error) {
	var row settingsRow
	faults, whole := decodeTOML(file, &row)
	if !whole {
		return nil, &CheckError{Problems: faults}
	}
	c := &settingsChecker{checker: checker{faults: faults}, file: file.Name}
	s := c.settings(row)
	if len(c.faults) > 0 {
		return nil, &CheckError{Problems: c.faults}
	}
	return s, nil
}

type settingsChecker struct {
	checker
	file string
}

func (c *settingsChecker) settings(row settingsRow) *Settings {
	s := &Settings{
		PeerAddress:     c.address(c.key("peer-address"), "", row.PeerAddress),
		CallerAddress:   c.address(c.key("caller-address"), "", row.CallerAddress),
		OperatorAddress: c.address(c.key("operator-address"), "", row.OperatorAddress),
		Zone:            row.Zone,
		Log:             c.url("log", row.Log),
		LogRetention:    c.retention(row.LogRetention),
		Instances:       c.url("instances", row.Instances),
		MaxWaitingJobs:  DefaultMaxWaitingJobs,
	}
	c.name(c.key("zone"), "", row.Zone)
	if row.MaxWaitingJobs != nil {
		s.MaxWaitingJobs = *row.MaxWaitingJobs
	}
	between(&c.checker, c.key("max-waiting-jobs"), "", s.MaxWaitingJobs, 1, MaxWaitingJobs)
	c.distinct(s)
	return s
}

// key returns the place of a key, which stands for its own row.
func (c *settingsChecker) key(key string) place {
	return place{file: c.file, row: key}
}

func (c *settingsChecker) url(key, text string) *url.URL {
	if text == "" {
		c.fault(c.key(key), "", "missing")
		return nil
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.fault(c.key(key), "", "%q is not an HTTP URL", text)
		return nil
	}
	return parsed
}

func (c *settingsChecker) retention(text string) time.Duration {
	if text == "" {
		return DefaultLogRetention
	}
	p := c.key("log-retention")
	retention, err := time.ParseDuration(text)
	if err != nil {
		c.fault(p, "", "%q is not a duration such as \"24h\"", text)
		return 0
	}
	between(&c.checker, p, "", retention, MinLogRetention, MaxLogRetention)
	return retention
}

// distinct records a fault for each address that stands twice.
func (c *settingsChecker) distinct(s *Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		key     string
		address netip.AddrPort
	}{
		{"peer-address", s.PeerAddress},
		{"caller-address", s.CallerAddress},
		{"operator-address", s.OperatorAddress},
	} {
		if !a.address.IsValid() {
			continue
		}
		if first, ok := seen[a.address]; ok {
			c.fault(c.key(a.key), "", "%v is the %s too", a.address, first)
			continue
		}
		seen[a.address] = a.key
	}
}
