// Package dispatch decides for the workers which task runs where and when: it
// receives whole jobs from callers, gives each to the instance that leads the
// availability zone, and there queues, places, starts, watches and ends its
// tasks under leases and fencing tokens.
//
// An Instance is the control state of one entry instance. It holds no clock,
// goroutine or socket: its methods take the present time and what happened, and
// Take returns what is to be done.
package dispatch
