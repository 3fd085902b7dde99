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
	// speedTimeConstant is the time constant with which the speed estimate of
	// a server decays to the speed of a typical server.
	speedTimeConstant = 5 * time.Minute
	// firstNoise is the variance of the logarithm of a route's run times that
	// is assumed at the first run time.
	firstNoise = 1.0
	// minNoise is the lower limit of the estimated variance of the logarithm
	// of a route's run times.
	minNoise = 0.01
	// muchSlowerLog is the logarithm of the slowness factor, 8, above which a
	// server counts as much slower.
	muchSlowerLog = 3 * math.Ln2
	// outlierDeviations is the number of standard deviations to which the
	// residual of a run time is clipped.
	outlierDeviations = 2.0
	// biasStep is the weight of a residual in the moving mean of residuals,
	// and maxBias is the absolute value of that mean above which the speed is
	// taken to have changed: about four standard deviations of the mean.
	biasStep = 0.125
	maxBias  = 1.0
	// confidentSamples is the number of measured run times from which on
	// Scheduler reports the estimated run time of a route.
	confidentSamples = 3
	// shortestDrift is the relative amount by which the estimate of a route's
	// shortest run time grows with each task that takes longer.
	shortestDrift = 0.01
	// minRunTime is the lower limit, in seconds, to which a measured run time
	// is raised, so that its logarithm and its inverse are finite.
	minRunTime = 1e-6
)

// A runTimeEstimate estimates the run time of a route's tasks on a typical
// server, that is, one with the slowness factor 1.
type runTimeEstimate struct {
	// mean is the mean run time in seconds.
	mean float64
	// rate is the mean of the inverse run times, in 1/s.
	rate float64
	// log is the mean of the logarithm of the run time in seconds, and noise
	// is the variance of that logarithm.
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

// slowness estimates the slowness factor of a server: the ratio of a task's
// run time there to its run time on a typical server. It is a Kalman filter of
// the logarithm of the factor, which decays to 0 with age.
type slowness struct {
	// log is the estimated logarithm of the factor, and variance is the
	// variance of that estimate.
	log      float64
	variance float64
	// bias is the moving mean of the residuals, each divided by its expected
	// standard deviation.
	bias float64
	// at is when the estimate was last updated.
	at time.Time
}

// age accounts for the time from the last update to now: the estimated factor
// decays towards 1, and the variance grows towards speedVariance.
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

// factor returns the estimated slowness factor.
func (s *slowness) factor() float64 {
	return math.Exp(s.log)
}

// factorLowerBound returns the slowness factor whose logarithm is one standard
// deviation below the estimated one, so that a server whose speed is uncertain
// does not count as slow.
func (s *slowness) factorLowerBound() float64 {
	return math.Exp(s.log - math.Sqrt(s.variance))
}

// learn updates the estimate e of a route and the estimate s of a server with
// the run time of a task of that route on that server.
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

// correct updates s with a residual. The residual is the logarithm of the
// quotient of a run time and the slowness factor of s, minus the mean of these
// logarithms in the estimate e of the task's route. Its weight follows from the
// variance of s and the noise of e. If the residuals are biased to one side,
// the speed of the server has changed, and the variance is reset.
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

// muchSlower reports whether the logarithm of the slowness factor exceeds
// muchSlowerLog by more than two standard deviations.
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

// scale multiplies the estimated run times by exp(mean).
func (e *runTimeEstimate) scale(mean float64) {
	factor := math.Exp(mean)
	e.mean *= factor
	e.rate /= factor
	e.shortest *= factor
	e.log += mean
}
