package dispatch

import (
	"math"

	"github.com/amaranthwell/amaranthwell/peer"
)

const (
	// linkBitsPerMillicore is the rate in bits per second that a leader needs on its link
	// to use a thousandth of a core: commands, polls and answers of tasks need both.
	linkBitsPerMillicore = 50_000
	// workersPerMillicore is the number of workers that a leader can command for each
	// unit of its weight.
	workersPerMillicore = 0.15
	// rejoinShare is the share of the number of workers that one leader can command
	// below which one instance leads all zones again.
	rejoinShare = 0.8
	// defaultWeight is the assumed weight of the heaviest instance if none is known.
	defaultWeight = 800
)

// Limits of the shards of a zone.
const (
	// shardWorkersPerMillicore is the number of workers of a shard for each unit of the
	// heaviest instance's weight above which the zone is divided further. It is above
	// workersPerMillicore: an instance that leads one shard only exchanges nothing with the
	// workers and the callers of others. With some four connections to each worker, a machine
	// of weight 800 then needs 800 descriptors of 3,075 and 60 Mbit/s of 200 at most.
	shardWorkersPerMillicore = 0.25
	// instancesPerShard is the number of instances of the smallest zone for each shard that
	// a further division needs, so that an instance can replace the leader of its shard. The
	// loss of instances does not reduce the number of shards: other leaders take them over.
	instancesPerShard = 2
)

// shardsFor returns the number of shards, a power of two, into which each zone is to be
// divided if the largest zone has the given number of workers, the smallest one the given
// number of instances, and the zones have present shards now. It halves the number only where
// the result is clearly below the limit, so that it does not change back soon.
func shardsFor(workers, instances, heaviest, present int) int {
	if heaviest == 0 {
		heaviest = defaultWeight
	}
	limit := max(shardWorkersPerMillicore*float64(heaviest), 1)
	n := present
	for n < peer.MaxShards && float64(workers) > float64(n)*limit && instances >= 2*n*instancesPerShard {
		n *= 2
	}
	for n > 1 && float64(workers) <= float64(n/2)*limit*rejoinShare {
		n /= 2
	}
	return n
}

// Weight returns the weight as a leader of an instance with the given processor capacity,
// in thousandths of a core, and rate of its network link in bits per second: the smaller
// of the capacity and of the part of it that the link can use. A rate of 0 is unlimited.
func Weight(millicores int, linkBits float64) int {
	if linkBits <= 0 {
		return millicores
	}
	return min(millicores, int(linkBits/linkBitsPerMillicore))
}

// requiredWeight returns the weight that a leader of the given number of workers needs.
func requiredWeight(workers int) int {
	return int(math.Ceil(float64(workers) / workersPerMillicore))
}

// tooManyForOne reports whether the workers are more than one leader can command, if the
// heaviest instance has the given weight. The argument apart is true if each zone has a
// leader of its own at present.
func tooManyForOne(workers, heaviest int, apart bool) bool {
	if heaviest == 0 {
		heaviest = defaultWeight
	}
	limit := workersPerMillicore * float64(heaviest)
	if apart {
		limit *= rejoinShare
	}
	return float64(workers) > limit
}
