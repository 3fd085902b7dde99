package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// estimateWeight is the weight of a new run time in the mean of its route.
	estimateWeight = 0.03
	// speedWeight and firstSpeedWeight are the weights of a new run time in a
	// worker's speed, if other tasks of the same job have ended and if none has.
	speedWeight      = 0.12
	firstSpeedWeight = 0.04
	// slowRunWeight is the weight of an unfinished run that takes much longer than
	// expected.
	slowRunWeight = 0.4
	// minSpeed and maxSpeed bound the estimate of a worker's speed.
	minSpeed = 0.03
	maxSpeed = 4
)

// estimates are the estimated run times of the routes, by route.
type estimates map[string]*routeEstimate

// routeEstimate holds means of logarithms, because run times vary by factors.
type routeEstimate struct {
	// logMean is the mean logarithm of the run time in seconds on a worker of speed
	// 1, and logBias that of the ratio of the run time to the caller's estimate.
	logMean, logBias float64
	samples          int
	// spread is the mean deviation of the logarithm of a run time from the expected one.
	spread      float64
	spreadKnown bool
}

// expectedRunTime returns the expected run time of a task of route on a worker of
// speed 1, given the caller's estimate.
func (e estimates) expectedRunTime(route string, estimate time.Duration) time.Duration {
	r := e[route]
	if r == nil || r.samples == 0 {
		return estimate
	}
	typical := math.Exp(r.logMean)
	if estimate <= 0 {
		return time.Duration(typical * float64(time.Second))
	}
	scaled := estimate.Seconds() * math.Exp(r.logBias)
	return time.Duration(math.Sqrt(typical*scaled) * float64(time.Second))
}

// record updates the estimate of route with the run time of a task at speed 1.
func (e estimates) record(route string, estimate, runTime time.Duration) {
	r := e[route]
	if r == nil {
		r = &routeEstimate{}
		e[route] = r
	}
	weight := max(estimateWeight, 1/float64(r.samples+1))
	r.samples++
	if runTime <= 0 {
		return
	}
	r.logMean += weight * (math.Log(runTime.Seconds()) - r.logMean)
	if estimate > 0 {
		r.logBias += weight * (math.Log(runTime.Seconds()/estimate.Seconds()) - r.logBias)
	}
}

// updateSpeed updates the worker's speed with the run time of a task that was
// expected to take expected at speed 1.
func (w *worker) updateSpeed(expected, runTime time.Duration, weight float64) {
	if expected <= 0 || runTime <= 0 {
		return
	}
	speed := math.Exp((1-weight)*math.Log(w.speed) + weight*math.Log(expected.Seconds()/runTime.Seconds()))
	w.speed = min(max(speed, minSpeed), maxSpeed)
}

// nominalRunTime converts expected, a run time on a worker of speed 1, to the scale
// of the callers' estimates.
func (e estimates) nominalRunTime(route string, expected time.Duration) time.Duration {
	r := e[route]
	if r == nil {
		return expected
	}
	return time.Duration(float64(expected) / math.Exp(r.logBias))
}

// normalizeSpeeds scales the workers' speeds to a median of 1, and the run times
// accordingly. Speeds and run times are estimated from each other and would otherwise
// drift together.
func (d *dispatcher) normalizeSpeeds() {
	workers := d.ledWorkers()
	if len(workers) == 0 {
		return
	}
	speeds := make([]float64, 0, len(workers))
	for _, w := range workers {
		speeds = append(speeds, w.speed)
	}
	slices.Sort(speeds)
	median := speeds[len(speeds)/2]
	for _, w := range workers {
		w.speed = min(max(w.speed/median, minSpeed), maxSpeed)
	}
	for _, r := range d.estimates {
		r.logMean -= math.Log(median)
		r.logBias -= math.Log(median)
	}
}

// runTime returns the run time on w of something that takes d at speed 1.
func (w *worker) runTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.speed)
}

// speedClass returns the class of a worker on which a task takes runTime that is
// expected to take expected at speed 1.
func speedClass(expected, runTime time.Duration) int {
	if expected <= 0 || runTime <= 0 {
		return 0
	}
	return int(math.Round(math.Log2(float64(runTime)/float64(expected)) * speedClassesPerDoubling))
}
