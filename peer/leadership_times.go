package peer

import "time"

// Times of a Leadership.
const (
	// LeaderHeartbeatEvery is the time between a leader's heartbeats to each
	// instance.
	LeaderHeartbeatEvery = 100 * time.Millisecond
	// LeaderTimeout is the time without a heartbeat after which a leader counts
	// as gone.
	LeaderTimeout = 450 * time.Millisecond
	// queryEvery is the time between the queries of an instance that looks for
	// a leader of its zone. The first query is delayed by queryStagger for each
	// instance that is preferred as leader, and by at most maxQueryDelay: if all
	// instances queried all others, the loss of one leader would flood them.
	queryEvery    = 60 * time.Millisecond
	queryStagger  = 60 * time.Millisecond
	maxQueryDelay = 600 * time.Millisecond
	// queryFor is the time for which an instance collects replies before it
	// claims leadership, and rankDelay is added to it for each higher-ranked
	// candidate.
	queryFor  = 120 * time.Millisecond
	rankDelay = 100 * time.Millisecond
	// confirmationLease is the time for which a leader of unfenced workers leads
	// a zone after it has sent a heartbeat that was answered. It ends before
	// the instance that answered counts the leader as gone.
	confirmationLease = LeaderTimeout - 50*time.Millisecond
	// handoverTime is the time for which a new leader sends no command to
	// unfenced workers, so that a leader that it replaces, and another instance
	// that makes a claim at the same time, learn of it and their last commands
	// have arrived.
	handoverTime = 100 * time.Millisecond
	// unconfirmedAfter is the time without a leader after which an instance may
	// claim leadership although no other instance confirms that the leader is
	// gone: this instance may be the one that is cut off. The leases that a
	// former leader granted expire in this time.
	unconfirmedAfter = 2 * time.Second
	// unknownLeaderAfter is the time without a leader after which an instance
	// that never knew one claims leadership even if workers have served another
	// leader.
	unknownLeaderAfter = 10 * time.Second
	// stableAfter is the time for which a leader must have been seen without a
	// pause before its availability zones are taken over. unattendedAfter is
	// the time without a leader and without live instances after which a zone
	// is taken over.
	stableAfter     = time.Second
	unattendedAfter = time.Second
	// remoteHeartbeatEvery is the time between a leader's heartbeats to the
	// instances of a zone of which it knows no live leader, if each zone has its
	// own leader.
	remoteHeartbeatEvery = time.Second
	// listMembersEvery is the time between the member lists that a leader
	// sends.
	listMembersEvery = time.Second
	// forgetAfter is the time after which nothing more is sent to an instance
	// from which nothing was received and which no other instance has listed.
	// If it is still running, its next heartbeat makes it known again.
	forgetAfter = 15 * time.Second
)

// replaceWeightRatio is the smallest ratio of an instance's weight to the weight of
// its own zone's leader at which the instance replaces the leader.
const replaceWeightRatio = 1.5

// termTieBits is the number of low bits of a term that distinguish claims made
// in the same millisecond.
const termTieBits = 10

// fencedTermAdvance is how far terms are set ahead of this instance's clock
// after a worker refused an earlier term, because the clock of another process
// may be ahead. It doubles with each further refusal.
const fencedTermAdvance = 10 * time.Second
