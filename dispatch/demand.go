package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the mean demand. It is short, so that the end of
	// an overload is soon noticed, and long beside the gaps between arrivals.
	demandTime = 500 * time.Millisecond
	// maxDemandAhead is the largest share of the capacity that a forecast leaves to jobs
	// that have not arrived yet.
	maxDemandAhead = 0.9
	// overloadDemand is the share of the capacity at which a pool is overloaded: the
	// waits of jobs that can end in time grow fast beyond it.
	overloadDemand = 0.85
	// ranksPerDoubling is the number of ranks of jobs between a work and its double.
	ranksPerDoubling = 4
)

// demandRank orders the jobs of a pool as the queue does.
type demandRank struct{ urgency, size int }

func (r demandRank) compare(other demandRank) int {
	return cmp.Or(cmp.Compare(r.urgency, other.urgency), cmp.Compare(r.size, other.size))
}

// rankOf returns the rank of j.
func rankOf(j *activeJob) demandRank {
	if j.late {
		return demandRank{math.MaxInt, 0}
	}
	size := 0
	switch {
	case j.largeFirst:
		size = math.MinInt
	case j.work > 0:
		size = int(math.Floor(math.Log2(j.work) * ranksPerDoubling))
	}
	return demandRank{j.Urgency, size}
}

// demand is the mean demand for the capacity of the pools, by pool.
type demand map[string]*poolDemand

// poolDemand is the work in core-seconds of the jobs that have arrived, by rank. It decays
// with the time constant demandTime.
type poolDemand struct {
	work map[demandRank]float64
	at   time.Time
	// ranks are the ranks in order, or nil if they have to be determined again, before is
	// the work of the ranks before each, and total that of all.
	ranks  []demandRank
	before []float64
	total  float64
}

// add adds a job that has arrived. Late jobs wait for all others and are no demand.
func (m demand) add(now time.Time, j *activeJob) {
	j.demandRank = rankOf(j)
	if j.late {
		return
	}
	p := m[j.Pool]
	if p == nil {
		p = &poolDemand{work: make(map[demandRank]float64), at: now}
		m[j.Pool] = p
	}
	p.decay(now)
	p.work[j.demandRank] += j.work
	p.ranks = nil
}

// decay lets the work decay until now, at most once in planInterval.
func (p *poolDemand) decay(now time.Time) {
	if now.Sub(p.at) < planInterval {
		return
	}
	factor := math.Exp(-float64(now.Sub(p.at)) / float64(demandTime))
	p.at, p.ranks = now, nil
	for rank, work := range p.work {
		if work *= factor; work < 0.001 {
			delete(p.work, rank)
			continue
		}
		p.work[rank] = work
	}
}

// sum determines the work before each rank.
func (p *poolDemand) sum() {
	p.ranks, p.before = make([]demandRank, 0, len(p.work)), p.before[:0]
	for rank := range p.work {
		p.ranks = append(p.ranks, rank)
	}
	slices.SortFunc(p.ranks, demandRank.compare)
	p.total = 0
	for _, rank := range p.ranks {
		p.before = append(p.before, p.total)
		p.total += p.work[rank]
	}
}

// waitFactor returns the factor by which the wait of j grows because jobs that are served
// before it keep arriving. capacity is that of the pool in thousandths of a core.
func (m demand) waitFactor(now time.Time, j *activeJob, capacity int) float64 {
	p := m[j.Pool]
	if p == nil {
		return 1
	}
	p.decay(now)
	if p.ranks == nil {
		p.sum()
	}
	work := p.total
	if i, _ := slices.BinarySearchFunc(p.ranks, j.demandRank, demandRank.compare); i < len(p.ranks) {
		work = p.before[i] + p.work[j.demandRank]/2
	}
	cores := float64(capacity) / 1000 * (1 - minRouteShare*float64(p.lessUrgent(j.Urgency)))
	return 1 / (1 - min(work/demandTime.Seconds()/cores, maxDemandAhead))
}

// exceeds reports whether the work that arrives needs so much of the capacity, in thousandths
// of a core, that the pool counts as overloaded.
func (p *poolDemand) exceeds(now time.Time, capacity int) bool {
	p.decay(now)
	if p.ranks == nil {
		p.sum()
	}
	return capacity > 0 && p.total/demandTime.Seconds() >= overloadDemand*float64(capacity)/1000
}

// before returns the work of the jobs of j's pool that are more urgent than urgency.
func (m demand) before(j *activeJob, urgency int) float64 {
	p := m[j.Pool]
	if p == nil {
		return 0
	}
	if p.ranks == nil {
		p.sum()
	}
	if i, _ := slices.BinarySearchFunc(p.ranks, demandRank{urgency, math.MinInt}, demandRank.compare); i < len(p.ranks) {
		return p.before[i]
	}
	return p.total
}

// lessUrgent returns the number of urgencies of jobs that are less urgent than urgency.
func (p *poolDemand) lessUrgent(urgency int) int {
	n, last := 0, urgency
	for _, rank := range p.ranks {
		if rank.urgency > last {
			n, last = n+1, rank.urgency
		}
	}
	return n
}
