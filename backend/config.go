package backend

import "fmt"

// A ConfigError reports a configuration field that is out of range.
type ConfigError struct {
	// Field names the field.
	Field string
	// Value is the rejected value.
	Value any
	// Want describes the allowed values.
	Want string
}

// Error returns a message with the field, its value and the allowed values.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %v, must be %s", e.Field, e.Value, e.Want)
}
