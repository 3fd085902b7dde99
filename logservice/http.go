package logservice

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultTimeout is the time within which the platform must answer,
	// beyond the time that it was asked to wait.
	DefaultTimeout = 5 * time.Second
	// dialTimeout is the time within which a connection must be open.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time for which an unused connection is kept.
	idleTimeout = 30 * time.Second
	// idleConnections is the number of unused connections that are kept.
	idleConnections = 16
)

// newTransport returns a transport that uses no proxy.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// parseBase checks the base URL of a service and returns it without a slash
// at its end.
func parseBase(base string) (string, error) {
	u, err := url.Parse(base)
	if err != nil {
		return "", &ConfigError{Field: "url", Err: err}
	}
	if u.Scheme != "http" || u.Host == "" {
		return "", &ConfigError{Field: "url", Err: errors.Newf("%q is no http URL", base)}
	}
	return strings.TrimSuffix(base, "/"), nil
}
