package dispatch

import "time"

// DecideShards changes the number of shards of each zone, whatever the workers call for.
func (i *Instance) DecideShards(now time.Time, count int) { i.decideShards(now, count) }

// ShardsFor is shardsFor.
func ShardsFor(workers, instances, heaviest, present int) int {
	return shardsFor(workers, instances, heaviest, present)
}

// ExpectedRunTime returns the run time at speed 1 that the leader expects of a task.
func (i *Instance) ExpectedRunTime(route string, estimate time.Duration) time.Duration {
	return i.dispatcher.estimates.expectedRunTime(route, estimate)
}
