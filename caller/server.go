package caller

import (
	"net/http"
	"time"
)

// ServerConfig configures the HTTP server for callers.
type ServerConfig struct {
	// Handler handles the callers' requests. NewHandler returns one.
	Handler http.Handler
	// HeaderTimeout is the maximum time for reading a request's header. It
	// must be positive.
	HeaderTimeout time.Duration
	// ReadTimeout is the maximum time for reading a whole request. It must
	// be at least HeaderTimeout.
	ReadTimeout time.Duration
	// IdleTimeout is the maximum time for which a connection is kept open
	// between requests. It must be positive.
	IdleTimeout time.Duration
}

// maxHeaderBytes is the maximum size of a request's header. net/http adds 4096
// bytes to it.
const maxHeaderBytes = 16 << 10

// NewServer returns a server that closes connections on which a request arrives
// too slowly or with too large a header, and connections that are idle for too
// long, such as half-open ones. It does not limit the time for the answer,
// which depends on the job's timeout. It returns a *ConfigError if a field of
// cfg is out of range.
func NewServer(cfg ServerConfig) (*http.Server, error) {
	switch {
	case cfg.HeaderTimeout <= 0:
		return nil, &ConfigError{Field: "HeaderTimeout", Problem: "must be positive"}
	case cfg.ReadTimeout < cfg.HeaderTimeout:
		return nil, &ConfigError{Field: "ReadTimeout", Problem: "must be at least HeaderTimeout"}
	case cfg.IdleTimeout <= 0:
		return nil, &ConfigError{Field: "IdleTimeout", Problem: "must be positive"}
	}
	return &http.Server{
		Handler:           cfg.Handler,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		ReadTimeout:       cfg.ReadTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, nil
}
