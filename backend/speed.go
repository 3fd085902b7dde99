package backend

import (
	"math"
	"time"
)

const (
	// minRouteStep is the minimum weight of a new run time in the estimate of
	// a route.
	minRouteStep = 0.02
	// speedVariance is the variance of the logarithm of the servers' speeds
	// before any run time is known: one server in three differs by a factor
	// of more than 2.
	speedVariance = 0.49
	// speedTimeConstant is the time constant with which a speed estimate
	// decays to that of a typical server.
	speedTimeConstant = 5 * time.Minute
	// firstNoise is the variance of the logarithm of a route's run times
	// before any is known.
	firstNoise = 1.0
	// minNoise is the minimum variance of the logarithm of a route's run
	// times.
	minNoise = 0.01
	// muchSlowerLog is the logarithm of the slowness factor, 8, above which a
	// server counts as much slower.
	muchSlowerLog = 3 * math.Ln2
	// outlierDeviations is the number of standard deviations to which the
	// residual of a run time is clipped.
	outlierDeviations = 2.0
	// biasStep is the weight of a residual in the moving mean of residuals,
	// and maxBias is the mean above which the speed is taken to have changed:
	// about four standard deviations of that mean.
	biasStep = 0.125
	maxBias  = 1.0
	// confidentSamples is the number of run times after which the estimate of
	// a route is reported.
	confidentSamples = 3
	// shortestDrift is the relative growth of a route's shortest run time
	// with each task that takes longer.
	shortestDrift = 0.01
	// minRunTime is the shortest run time that is used, in seconds.
	minRunTime = 1e-6
)

// A runTimeEstimate estimates the run time of a route's tasks on a typical
// server.
type runTimeEstimate struct {
	// mean is the mean run time in seconds.
	mean float64
	// rate is the mean of the inverse of the run time in seconds.
	rate float64
	// log is the mean of the logarithm of the run time, and noise is the
	// variance of that logarithm.
	log, noise float64
	// shortest is approximately the shortest run time in seconds.
	shortest float64
	// samples is the number of measured run times.
	samples float64
}

// known reports whether any run time has been measured.
func (e *runTimeEstimate) known() bool {
	return e.samples > 0
}

// harmonic returns the harmonic mean of the run time in seconds.
func (e *runTimeEstimate) harmonic() float64 {
	return 1 / e.rate
}

// slowness estimates the factor by which a server takes longer than a typical
// one. It is a Kalman filter of the logarithm of the factor, which decays to
// 0 with age.
type slowness struct {
	log      float64
	variance float64
	// bias is the moving mean of the residuals in standard deviations.
	bias float64
	// at is when the estimate was last updated.
	at time.Time
}

// age updates the estimate to now: it decays to that of a typical server and
// its variance grows.
func (s *slowness) age(now time.Time) {
	d := now.Sub(s.at).Seconds()
	s.at = now
	if d <= 0 {
		return
	}
	kept := math.Exp(-d / speedTimeConstant.Seconds())
	s.log *= kept
	s.variance = speedVariance - (speedVariance-s.variance)*kept*kept
}

// factor returns the expected run time relative to that on a typical server.
func (s *slowness) factor() float64 {
	return math.Exp(s.log)
}

// lowFactor returns a low estimate of the factor: one standard deviation
// below the expected one.
func (s *slowness) lowFactor() float64 {
	return math.Exp(s.log - math.Sqrt(s.variance))
}

// learn updates both estimates with the run time of a route's task on a
// server.
func learn(now time.Time, e *runTimeEstimate, s *slowness, run time.Duration) {
	s.age(now)
	seconds := max(run.Seconds(), minRunTime)
	typical := seconds / s.factor()
	if !e.known() {
		e.log = math.Log(typical)
		e.noise = firstNoise
	}
	e.updateShortest(typical)
	step := max(1/(e.samples+1), minRouteStep)
	e.mean += step * (typical - e.mean)
	e.rate += step * (1/typical - e.rate)
	residual := math.Log(typical) - e.log
	e.log += step * residual
	e.noise = max(minNoise, e.noise+minRouteStep*(residual*residual-e.noise))
	e.samples++
	s.correct(e, residual)
}

// correct updates the estimate with a residual of the route, weighted by the
// variances. If the residuals are biased to one side, the speed has changed,
// and the variance is reset.
func (s *slowness) correct(e *runTimeEstimate, residual float64) {
	deviation := math.Sqrt(e.noise + s.variance)
	residual = min(max(residual, -outlierDeviations*deviation), outlierDeviations*deviation)
	s.bias += biasStep * (residual/deviation - s.bias)
	if math.Abs(s.bias) > maxBias {
		s.bias = 0
		s.variance = speedVariance
	}
	gain := s.variance / (s.variance + e.noise)
	s.log += gain * residual
	s.variance *= 1 - gain
}

// muchSlower reports whether the factor exceeds the threshold of
// muchSlowerLog by two standard deviations.
func (s *slowness) muchSlower() bool {
	return s.log-2*math.Sqrt(s.variance) > muchSlowerLog
}

func (e *runTimeEstimate) updateShortest(typical float64) {
	if !e.known() || typical < e.shortest {
		e.shortest = typical
		return
	}
	e.shortest += shortestDrift * e.shortest
}

// scale multiplies the run times by exp(mean).
func (e *runTimeEstimate) scale(mean float64) {
	factor := math.Exp(mean)
	e.mean *= factor
	e.rate /= factor
	e.shortest *= factor
	e.log += mean
}
