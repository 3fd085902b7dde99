package dispatch

import "time"

// Time-outs and intervals.
const (
	// leaseDuration is the longest lease that a worker grants.
	leaseDuration = time.Second
	// maxClockDrift is the largest share by which a worker's clock may run slow.
	maxClockDrift = 0.02
	// maxStopTime is the time that a worker takes to end a run, with a margin.
	maxStopTime = 100 * time.Millisecond
	// pollWait is the time for which a worker may delay its answer to a poll until a
	// run ends. A lease must last longer than this wait, the time-out of the poll and
	// a second poll together.
	pollWait = 450 * time.Millisecond
	// idlePollWait is the same time for a worker without runs.
	idlePollWait = 1500 * time.Millisecond
	// leaseRenewalAge is the age of a lease at which a second poll renews it while
	// another poll is outstanding.
	leaseRenewalAge = 550 * time.Millisecond
	// pollRetryDelay and maxPollRetryDelay are the shortest and the longest time
	// between polls of a worker that does not answer.
	pollRetryDelay    = 50 * time.Millisecond
	maxPollRetryDelay = time.Second
	// minStartLease is the shortest lease with which a task is started: until then the
	// lease can be renewed.
	minStartLease = leaseDuration - leaseRenewalAge
	// minLeaseRenewal is the time by which an extra poll must prolong a lease.
	minLeaseRenewal = 100 * time.Millisecond
	// stopRetryInterval is the time after which a stop command is repeated. Several must
	// fit into the time until the lease of the run ends.
	stopRetryInterval = 150 * time.Millisecond
	// orphanGracePeriod is the time for which a new leader keeps orphaned runs, whose
	// jobs may still be forwarded to it.
	orphanGracePeriod = 400 * time.Millisecond
	// defaultResubmitDelay is the ResubmitDelay of a Config that sets none.
	defaultResubmitDelay = 1300 * time.Millisecond
	// minRunConfirmation and maxRunConfirmation bound the time for which a confirmation
	// by its receiver lets a run continue. The upper bound grants full leases while
	// heartbeats are answered at once, and ends all runs within earlierRunsTimeout.
	minRunConfirmation = 600 * time.Millisecond
	maxRunConfirmation = leaseDuration + 100*time.Millisecond
	// resubmitMargin is the time in which a caller's loss of its connection becomes known
	// and a command arrives.
	resubmitMargin = 50 * time.Millisecond
	// earlierRunsTimeout is the time since something was last received from a leader
	// after which no run that it started is running any more.
	earlierRunsTimeout = leaseDuration + 250*time.Millisecond
	// receiverTimeout is the time without heartbeats from all receivers of a job
	// after which its runs are stopped, because the job may have been forwarded to
	// another leader.
	receiverTimeout = 350 * time.Millisecond
	// forwardRequestInterval is the time between requests to a reconnected receiver
	// to forward a suspended job again.
	forwardRequestInterval = 200 * time.Millisecond
	// suspendedJobTimeout is the time after which a job without live receivers is
	// dropped.
	suspendedJobTimeout = 3 * time.Second
	// endRetention is the time for which the end of a job is kept for its receivers.
	endRetention = 4 * time.Second
	// maxTableAge is the age of the worker table from which on a new leader reads it
	// before it starts tasks, and tableReadTimeout how long it waits for that read. A
	// leader reads the table more often than that.
	maxTableAge      = time.Second
	tableReadTimeout = 300 * time.Millisecond
	// relistTimeout is the time within which a live worker is listed again after an
	// outage of the store.
	relistTimeout = 2 * time.Second
	// missingWorkerTimeout is the time after which a worker that is missing from the
	// table is removed, once nothing can run on it.
	missingWorkerTimeout = 2500 * time.Millisecond
	// refusalPause is the time without starts on a worker after a refused start.
	// Exclusions after failures in a row last a power of two times refusalPause, and
	// at most twice exclusionLimit.
	refusalPause   = 50 * time.Millisecond
	exclusionLimit = 2 * time.Second
	// noLeaderTimeout is the time without a leader after which new jobs are refused.
	noLeaderTimeout = 1500 * time.Millisecond
	// pauseThreshold is the time between two events from which on the process counts
	// as having been paused.
	pauseThreshold = 700 * time.Millisecond
	// maxCommandAge is the age at which a command is too old to be sent: the process was
	// paused after the command was issued.
	maxCommandAge = 300 * time.Millisecond
	// probeInterval is the time between probes of the workers of a zone that may have
	// lost its leader.
	probeInterval = 300 * time.Millisecond
	// configurationLagLimit is the time for which this instance's configuration may be
	// outdated before it requests a newer one from a peer. The store is usually faster.
	// configurationRequestInterval is the shortest time between such requests: one
	// configuration at a time is sent to an instance on a slow link.
	configurationLagLimit        = 300 * time.Millisecond
	configurationRequestInterval = time.Second
)

const (
	// lateFactor is the multiple of the time to its objective after which the end of
	// a job is worthless.
	lateFactor = 3
	// maxWaitShare is the share of the time to its objective for which a job may wait
	// for its first start. A refusal at that time leaves the caller time to submit
	// again, and leaves the resources to jobs that can meet their objectives.
	maxWaitShare = 0.45
	// runNumbersPerLeader is the number of run numbers of a task that each leader of
	// its job may use. The numbers of the next leader follow them.
	runNumbersPerLeader = 64
	// runNumberSkip is the number of run numbers that are skipped when a worker
	// refuses a start because it knows a later run of the task.
	runNumberSkip = runNumbersPerLeader / 4
	// probesPerZone is the number of workers that are probed in a zone.
	probesPerZone = 3
	// maxJobs bounds the jobs of a leader, and those of a receiver.
	maxJobs = 4096
)

// overhead is the time from the arrival of a job to its first start plus the time
// from its last end to the answer to its caller.
const overhead = 10 * time.Millisecond
