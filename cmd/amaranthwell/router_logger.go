package main

import (
	"github.com/ThreeDotsLabs/watermill"
	"github.com/go-kit/log"
)

// A routerLogger passes the error messages of watermill to a go-kit logger and drops
// all others.
type routerLogger struct{ logger log.Logger }

// Error logs an error.
func (l routerLogger) Error(msg string, err error, fields watermill.LogFields) {
	keyvals := []any{"event", "router-error", "detail", msg, "err", err}
	for k, v := range fields {
		keyvals = append(keyvals, k, v)
	}
	_ = l.logger.Log(keyvals...)
}

// Info, Debug and Trace log nothing.
func (routerLogger) Info(string, watermill.LogFields)  {}
func (routerLogger) Debug(string, watermill.LogFields) {}
func (routerLogger) Trace(string, watermill.LogFields) {}

// With returns the logger unchanged. It ignores the fields.
func (l routerLogger) With(watermill.LogFields) watermill.LoggerAdapter { return l }
