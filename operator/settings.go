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
	// DefaultMaxWaitingJobs is the default of Settings.MaxWaitingJobs.
	DefaultMaxWaitingJobs = 10000
)

// Limits of the settings.
const (
	// MinLogRetention is the smallest log retention that is accepted.
	MinLogRetention = time.Minute
	// MaxLogRetention is the largest log retention that is accepted.
	MaxLogRetention = 10 * 365 * 24 * time.Hour
	// MaxWaitingJobs is the largest value of Settings.MaxWaitingJobs that is
	// accepted.
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
	// MaxWaitingJobs is the largest number of jobs that the instance owns at
	// once, including those whose tasks run.
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

// settingsChecker collects the problems of the settings in the named file.
type settingsChecker struct {
	checker
	file string
}

func (c *settingsChecker) settings(row settingsRow) *Settings {
	s := &Settings{
		PeerAddress:     c.address(c.keyLocation("peer-address"), "", row.PeerAddress),
		CallerAddress:   c.address(c.keyLocation("caller-address"), "", row.CallerAddress),
		OperatorAddress: c.address(c.keyLocation("operator-address"), "", row.OperatorAddress),
		Zone:            row.Zone,
		Log:             c.url("log", row.Log),
		LogRetention:    c.retention(row.LogRetention),
		Instances:       c.url("instances", row.Instances),
		MaxWaitingJobs:  DefaultMaxWaitingJobs,
	}
	c.checkName(c.keyLocation("zone"), "", row.Zone)
	if row.MaxWaitingJobs != nil {
		s.MaxWaitingJobs = *row.MaxWaitingJobs
	}
	checkRange(&c.checker, c.keyLocation("max-waiting-jobs"), "", s.MaxWaitingJobs, 1, MaxWaitingJobs)
	c.checkDistinct(s)
	return s
}

// keyLocation returns the location of a key of the settings, which have no rows: the
// key stands in place of a row.
func (c *settingsChecker) keyLocation(key string) location {
	return location{file: c.file, row: key}
}

// url parses the URL at key. It adds a problem and returns nil if text is not an HTTP
// or HTTPS URL.
func (c *settingsChecker) url(key, text string) *url.URL {
	if text == "" {
		c.addProblem(c.keyLocation(key), "", "missing")
		return nil
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addProblem(c.keyLocation(key), "", "%q is not an HTTP URL", text)
		return nil
	}
	return parsed
}

// retention parses the log's retention, or returns the default if text is empty.
func (c *settingsChecker) retention(text string) time.Duration {
	if text == "" {
		return DefaultLogRetention
	}
	p := c.keyLocation("log-retention")
	retention, err := time.ParseDuration(text)
	if err != nil {
		c.addProblem(p, "", "%q is not a duration such as \"24h\"", text)
		return 0
	}
	checkRange(&c.checker, p, "", retention, MinLogRetention, MaxLogRetention)
	return retention
}

// checkDistinct adds a problem for each address that repeats an earlier one.
func (c *settingsChecker) checkDistinct(s *Settings) {
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
			c.addProblem(c.keyLocation(a.key), "", "%v is also the %s", a.address, first)
			continue
		}
		seen[a.address] = a.key
	}
}
