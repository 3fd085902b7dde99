// Package dispatch implements the control state of an entry instance on the platform.
// An instance receives whole jobs from callers and forwards each job to the instance
// that leads the availability zone. The leader queues the job, chooses workers for
// its tasks, starts, monitors and stops their runs under leases and fencing tokens,
// and reports the end of the job.
//
// An Instance is the control state of one entry instance. It holds no clock,
// goroutine or socket: its methods are called with the present time and an event, and
// Take returns the effects to carry out.
package dispatch
