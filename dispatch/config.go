package dispatch

import "time"

// Times and limits of the dispatch.
const (
	// leaseTime is the longest lease that a worker grants.
	leaseTime = time.Second
	// clockDrift is the largest share by which a worker's clock may be slow.
	clockDrift = 0.02
	// stopTime is how long a worker takes to end a run, with a margin.
	stopTime = 100 * time.Millisecond
	// lookWait is for how long a worker may hold a look back. A lease must
	// outlast it, the time-out of the look and a second look.
	lookWait = 450 * time.Millisecond
	// idleWait is the same for a worker without runs.
	idleWait = 1500 * time.Millisecond
	// renewAfter is the age of a lease at which it is renewed beside a look
	// that is outstanding.
	renewAfter = 550 * time.Millisecond
	// missPause and maxMissPause bound the time between looks at a worker that
	// gives no answer.
	missPause    = 50 * time.Millisecond
	maxMissPause = time.Second
	// stopAgain is the time after which an order to stop is repeated.
	stopAgain = 300 * time.Millisecond
	// grace is the time for which a new leader keeps runs whose jobs may
	// still be handed to it.
	grace = 400 * time.Millisecond
	// settleTime is the time after which nothing is at work any more that
	// was ordered by a leader not heard since.
	settleTime = leaseTime + 250*time.Millisecond
	// receiverSilence is the silence of a job's receivers after which the
	// job's tasks are stopped: another leader may be given the job.
	receiverSilence = 350 * time.Millisecond
	// askAgain is the time between questions to a receiver that is back
	// whether it still wants a job.
	askAgain = 200 * time.Millisecond
	// dropAfter is how long a job without receivers is kept.
	dropAfter = 3 * time.Second
	// keepEnds is how long the end of a job is kept for its receivers.
	keepEnds = 4 * time.Second
	// backWithin is the time within which the entry of a worker that lives comes
	// back after an outage of the store.
	backWithin = 2 * time.Second
	// missingFor is the time after which a worker that is missing in the table is
	// forgotten, once nothing can run there.
	missingFor = 2500 * time.Millisecond
	// refusedPause is the time without starts on a worker that refused one,
	// doubled with each further one up to maxRefusedPause.
	refusedPause    = 50 * time.Millisecond
	maxRefusedPause = 2 * time.Second
	// noLeaderFor is the time without a leader after which jobs are refused.
	noLeaderFor = 1500 * time.Millisecond
	// retryAfter is when a caller may come again after an outage.
	retryAfter = time.Second
	// wokeAfter is the time between two events after which the process is
	// taken to have stood still.
	wokeAfter = 700 * time.Millisecond
	// probeEvery is the time between questions to the workers of a zone that
	// may have lost its leader.
	probeEvery = 300 * time.Millisecond
	// tablesAfter is for how long a peer's configuration may be behind before
	// it is sent a newer one, and again after each further such time.
	tablesAfter = 300 * time.Millisecond
)

const (
	// lateFactor is the multiple of the objective after which the end of a
	// job is worth nothing.
	lateFactor = 3
	// holdShare is the share of the time to its objective for which a job may
	// wait for its first start. A refusal then leaves its caller time to come
	// again, and its room to those that can be in time.
	holdShare = 0.45
	// runsPerRound is the number of runs of a task that one leader may order
	// before the numbers of the next leader's runs begin.
	runsPerRound = 64
	// numberLeap is the number of run numbers that are passed over when a worker
	// knows a later run of a task.
	numberLeap = runsPerRound / 4
	// maxWorkersTogether is the number of workers above which each zone has a
	// leader of its own.
	maxWorkersTogether = 120
	// probesPerZone is the number of workers that are asked.
	probesPerZone = 3
	// maxJobs bounds the jobs of a leader, and of a receiver.
	maxJobs = 4096
)

// overhead is the time from a job's last end to its caller, and from its
// arrival to its first start, together.
const overhead = 10 * time.Millisecond
