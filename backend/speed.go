package backend

import (
	"math"
	"time"
)

const (
	// minRouteStep is the least weight of a new run time in a route's estimate.
	minRouteStep = 0.02
	// speedVariance is the variance of the logarithm of the servers' speeds
	// before any run time is known: one in three differs by more than 2.
	speedVariance = 0.49
	// speedTimeConstant is the time after which most of what is known of a
	// server's speed is out of date.
	speedTimeConstant = 5 * time.Minute
	// firstNoise is the variance of the logarithm of a route's run times
	// before any is known.
	firstNoise = 1.0
	// minNoise bounds the variance of a route's run times from below.
	minNoise = 0.01
	// muchSlowerLog is the logarithm of the factor, 8, from which a server crawls.
	muchSlowerLog = 3 * math.Ln2
	// outlierDeviations is the number of standard deviations to which a run time is
	// cut before it counts.
	outlierDeviations = 2.0
	// biasStep is the weight of a residual in the moving mean, and leanMost
	// the mean that shows a change of speed, four standard deviations.
	biasStep = 0.125
	maxBias = 1.0
	// confidentSamples is the number of run times after which a route's
	// estimate is told to others.
	confidentSamples = 3
	// shortestDrift is the relative growth of a route's least run time with each
	// task that takes longer.
	shortestDrift = 0.01
	// minRunTime is the shortest run time that counts, in seconds.
	minRunTime = 1e-6
)

// runTimeEstimate is the learned run time of a route's tasks on a typical server.
type runTimeEstimate struct {
	// mean is the mean run time in seconds.
	mean float64
	// rate is the mean of the inverse of the run time in seconds.
	rate float64
	// log is the mean of the logarithm of the run time, and noise is the
	// variance of that logarithm.
	log, noise float64
	// shortest is about the shortest run time in seconds.
	shortest float64
	// samples is the number of run times seen.
	samples float64
}

// known reports whether there is an estimate.
func (w *runTimeEstimate) known() bool {
	return w.samples > 0
}

// harmonic returns the harmonic mean of the run time in seconds.
func (w *runTimeEstimate) harmonic() float64 {
	return 1 / w.rate
}

// slowness is the learned factor by which a server takes longer than a typical
// one, as a Kalman filter of its logarithm that falls back to 0 with age.
type slowness struct {
	log      float64
	variance float64
	// bias is the moving mean of the residuals in standard deviations.
	bias float64
	// at is when the estimate was last brought up to date.
	at time.Time
}

// age takes from s the confidence that it has lost up to now.
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

// factor returns the expected run time relative to a typical server's.
func (s *slowness) factor() float64 {
	return math.Exp(s.log)
}

// lowFactor returns the factor that the server is taken to have at least:
// one standard deviation below the expected one.
func (s *slowness) lowFactor() float64 {
	return math.Exp(s.log - math.Sqrt(s.variance))
}

// learn takes a run time of a route on a server into both estimates.
func learn(now time.Time, w *runTimeEstimate, s *slowness, run time.Duration) {
	s.age(now)
	seconds := max(run.Seconds(), minRunTime)
	typical := seconds / s.factor()
	if !w.known() {
		w.log = math.Log(typical)
		w.noise = firstNoise
	}
	w.updateShortest(typical)
	step := max(1/(w.samples+1), minRouteStep)
	w.mean += step * (typical - w.mean)
	w.rate += step * (1/typical - w.rate)
	residual := math.Log(typical) - w.log
	w.log += step * residual
	w.noise = max(minNoise, w.noise+minRouteStep*(residual*residual-w.noise))
	w.samples++
	s.correct(w, residual)
}

// correct moves the estimate by as much of the residual of a run time of the
// route as its confidence allows. It drops the confidence when the residuals
// lean to one side, since then the speed has changed.
func (s *slowness) correct(w *runTimeEstimate, residual float64) {
	deviation := math.Sqrt(w.noise + s.variance)
	residual = min(max(residual, -outlierDeviations*deviation), outlierDeviations*deviation)
	s.bias += biasStep * (residual/deviation - s.bias)
	if math.Abs(s.bias) > maxBias {
		s.bias = 0
		s.variance = speedVariance
	}
	gain := s.variance / (s.variance + w.noise)
	s.log += gain * residual
	s.variance *= 1 - gain
}

// muchSlower reports whether the server is certainly much slower than a typical
// one.
func (s *slowness) muchSlower() bool {
	return s.log-2*math.Sqrt(s.variance) > muchSlowerLog
}

func (w *runTimeEstimate) updateShortest(typical float64) {
	if !w.known() || typical < w.shortest {
		w.shortest = typical
		return
	}
	w.shortest += shortestDrift * w.shortest
}

// scale multiplies the run times by the exponential of mean.
func (w *runTimeEstimate) scale(mean float64) {
	factor := math.Exp(mean)
	w.mean *= factor
	w.rate /= factor
	w.shortest *= factor
	w.log += mean
}
