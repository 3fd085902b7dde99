package logservice

import "fmt"

// A ConfigError reports a configuration that is out of range.
type ConfigError struct {
	// Field names the field of the configuration.
	Field string
	Err   error
}

// Error returns the field and the cause.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("store: %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error {
	return e.Err
}

// A RefusedError reports an append that certainly had no effect.
type RefusedError struct {
	Stream string
	// Status is the store's HTTP status, or zero if the request was not sent.
	Status int
	Err    error
}

// Error returns the stream and the cause.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("append to %s refused: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error {
	return e.Err
}

// An UnknownOutcomeError reports an append that may have taken effect.
type UnknownOutcomeError struct {
	Stream string
	// Status is the store's HTTP status, or zero if there was no response.
	Status int
	Err    error
}

// Error returns the stream and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("append to %s: outcome unknown: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}
