package backend

import "fmt"

// A ConfigError reports a configuration field that is out of range.
type ConfigError struct {
	// Field names the field.
	Field string
	// Value is the rejected value.
	Value any
	// Want says which values are allowed.
	Want string
}

// Error names the field, its value and its range.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s is %v, must be %s", e.Field, e.Value, e.Want)
}
