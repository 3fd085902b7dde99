// Package operator implements the configuration that operators edit: the two
// tables and their validation, the replicated state that gives every instance
// the same decision on each edit, the instance's settings, and the operators'
// HTTP port.
package operator
