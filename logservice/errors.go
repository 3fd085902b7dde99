package logservice

import "fmt"

// A ConfigError reports a configuration that is out of range.
type ConfigError struct {
	Field string
	Err   error
}

// Error names the field.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("store: %s: %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error {
	return e.Err
}

// A RefusedError reports an append that has proved to have no effect.
type RefusedError struct {
	Stream string
	// Status is the log's HTTP status, or zero if the request was not sent.
	Status int
	Err    error
}

// Error says that the append had no effect, and why.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("append to %s refused: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error {
	return e.Err
}

// An UnknownError reports an append that may have taken effect.
type UnknownError struct {
	Stream string
	// Status is the log's HTTP status, or zero if there was no answer.
	Status int
	Err    error
}

// Error says that the append may have taken effect, and why this is unknown.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("append to %s: outcome unknown: %v", e.Stream, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
