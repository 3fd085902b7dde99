package operator

import (
	"net/netip"
	"net/url"
	"time"
)

// Defaults of optional settings.
const (
	// DefaultLogRetention is the assumed time for which the log keeps a
	// record.
	DefaultLogRetention = time.Hour
	// DefaultMaxWaitingJobs is the largest number of jobs that an entry
	// instance holds at once.
	DefaultMaxWaitingJobs = 10000
)

// Limits of the settings.
const (
	// MinLogRetention is the smallest log retention that is accepted.
	MinLogRetention = time.Minute
	// MaxLogRetention is the largest log retention that is accepted.
	MaxLogRetention = 10 * 365 * 24 * time.Hour
	// MaxWaitingJobs is the largest accepted limit of jobs held at once.
	MaxWaitingJobs = 1000000
)

// Settings holds the settings of an entry instance.
type Settings struct {
	// PeerAddress is where the instance listens for its peers. It also
	// identifies the instance.
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
	// MaxWaitingJobs is the largest number of jobs that the instance holds at
	// once.
	MaxWaitingJobs int
}

// settingsRow is the encoding of the settings in TOML.
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

// ParseSettings returns the settings that file holds, or a *CheckError with every
// problem. If file is not TOML or has a value of the wrong type, only the first
// problem is listed.
func ParseSettings(file File) (*Settings, error) {
	var row settingsRow
	problems, complete := decodeTOML(file, &row)
	if !complete {
		return nil, &CheckError{Problems: problems}
	}
	c := &settingsChecker{checker: checker{problems: problems}, file: file.Name}
	s := c.settings(row)
	if len(c.problems) > 0 {
		return nil, &CheckError{Problems: c.problems}
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
	checkRange(&c.checker, c.key("max-waiting-jobs"), "", s.MaxWaitingJobs, 1, MaxWaitingJobs)
	c.distinct(s)
	return s
}

// key returns the location of a key: the key takes the place of a row.
func (c *settingsChecker) key(key string) location {
	return location{file: c.file, row: key}
}

func (c *settingsChecker) url(key, text string) *url.URL {
	if text == "" {
		c.addProblem(c.key(key), "", "missing")
		return nil
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addProblem(c.key(key), "", "%q is not an HTTP URL", text)
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
		c.addProblem(p, "", "%q is not a duration such as \"24h\"", text)
		return 0
	}
	checkRange(&c.checker, p, "", retention, MinLogRetention, MaxLogRetention)
	return retention
}

// distinct adds a problem for each address that repeats an earlier one.
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
			c.addProblem(c.key(a.key), "", "%v is also the %s", a.address, first)
			continue
		}
		seen[a.address] = a.key
	}
}
