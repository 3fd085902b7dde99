package dispatch

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

// Weight returns the weight as a leader of an instance with the given processor capacity,
// in thousandths of a core, and rate of its network link in bits per second: the smaller
// of the capacity and of the part of it that the link can use. A rate of 0 is unlimited.
func Weight(millicores int, linkBits float64) int {
	if linkBits <= 0 {
		return millicores
	}
	return min(millicores, int(linkBits/linkBitsPerMillicore))
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
