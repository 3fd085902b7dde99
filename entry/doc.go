// Package entry implements the control state of one entry instance: it handles
// jobs from callers, messages from peers and outcomes from backend servers, and
// returns what is to be sent, started and answered. It uses no clock, goroutine
// or socket: the daemon provides them.
package entry
