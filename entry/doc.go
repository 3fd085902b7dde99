// Package entry holds the control state of one entry instance: it takes jobs
// from callers, messages from peers and outcomes from backend servers, and
// says what is to be sent, started and answered. It holds no clock, goroutine
// or socket; the daemon wires it to them.
package entry
