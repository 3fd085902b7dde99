package caller

import (
	"net/http"
	"time"
)

// ServerConfig configures the HTTP server for callers.
type ServerConfig struct {
	// Handler answers the requests.
	Handler http.Handler
	// HeaderTimeout bounds the time in which a request's header arrives. It
	// is positive.
	HeaderTimeout time.Duration
	// ReadTimeout bounds the time in which a whole request arrives. It is at
	// least HeaderTimeout.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time for which a connection is kept between
	// requests. It is positive.
	IdleTimeout time.Duration
}

// maxHeaderBytes bounds a request's header. Go's server adds 4096 bytes to it.
const maxHeaderBytes = 16 << 10

// NewServer returns a server that gives up connections that are slow to send,
// half open or without end to their headers. The time for the answer is not
// bounded here: it is the job's. It returns a *ConfigError if cfg is out of
// range.
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
