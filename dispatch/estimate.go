package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// estimateWeight is the weight of a new run time in a route's mean.
	estimateWeight = 0.03
	// speedWeight and firstSpeedWeight are the weights of a new run time in a
	// worker's speed: compared with other tasks of its job, or without them.
	speedWeight      = 0.12
	firstSpeedWeight = 0.04
	// slowWeight is that of a run that is seen to take far too long.
	slowWeight = 0.4
	// minSpeed and maxSpeed bound the belief in a worker's speed.
	minSpeed = 0.03
	maxSpeed = 4
)

// estimates are the run times learnt of each route.
type estimates map[string]*routeEstimate

// routeEstimate holds means of logarithms: run times vary by factors.
type routeEstimate struct {
	// typical is that of the run time on a worker of speed 1, in seconds, and
	// bias that of the run time over the caller's estimate.
	typical, bias float64
	samples       int
}

// expect returns the expected run time of a task of route on a worker of speed
// 1, given the caller's estimate.
func (e estimates) expect(route string, estimate time.Duration) time.Duration {
	r := e[route]
	if r == nil || r.samples == 0 {
		return estimate
	}
	typical := math.Exp(r.typical)
	if estimate <= 0 {
		return time.Duration(typical * float64(time.Second))
	}
	told := estimate.Seconds() * math.Exp(r.bias)
	return time.Duration(math.Sqrt(typical*told) * float64(time.Second))
}

// learn takes in that a task took taken on a worker of speed 1.
func (e estimates) learn(route string, estimate, taken time.Duration) {
	r := e[route]
	if r == nil {
		r = &routeEstimate{}
		e[route] = r
	}
	weight := max(estimateWeight, 1/float64(r.samples+1))
	r.samples++
	if taken <= 0 {
		return
	}
	r.typical += weight * (math.Log(taken.Seconds()) - r.typical)
	if estimate > 0 {
		r.bias += weight * (math.Log(taken.Seconds()/estimate.Seconds()) - r.bias)
	}
}

// learnSpeed takes in that a task took taken where expected was expected of a
// worker of speed 1.
func (w *worker) learnSpeed(expected, taken time.Duration, weight float64) {
	if expected <= 0 || taken <= 0 {
		return
	}
	speed := math.Exp((1-weight)*math.Log(w.speed) + weight*math.Log(expected.Seconds()/taken.Seconds()))
	w.speed = min(max(speed, minSpeed), maxSpeed)
}

// nominal returns the run time that the caller's estimates mean by expected, a
// run time on a worker of speed 1.
func (e estimates) nominal(route string, expected time.Duration) time.Duration {
	r := e[route]
	if r == nil {
		return expected
	}
	return time.Duration(float64(expected) / math.Exp(r.bias))
}

// level makes the median of the workers' speeds 1 again, and the run times fit:
// they are learnt from each other, and would drift together.
func (d *dispatcher) level() {
	if len(d.order) == 0 {
		return
	}
	speeds := make([]float64, 0, len(d.order))
	for _, w := range d.order {
		speeds = append(speeds, w.speed)
	}
	slices.Sort(speeds)
	median := speeds[len(speeds)/2]
	for _, w := range d.order {
		w.speed = min(max(w.speed/median, minSpeed), maxSpeed)
	}
	for _, r := range d.estimates {
		r.typical -= math.Log(median)
		r.bias -= math.Log(median)
	}
}

// on returns how long something takes on w that takes d at speed 1.
func (w *worker) on(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.speed)
}

// speedClass returns the class of a worker on which what is expected to take
// expected at speed 1 takes takes.
func speedClass(expected, takes time.Duration) int {
	if expected <= 0 || takes <= 0 {
		return 0
	}
	return int(math.Round(math.Log2(float64(takes)/float64(expected)) * speedSteps))
}
