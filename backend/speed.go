package backend

import (
	"math"
	"time"
)

const (
	// routeStep is the least weight of a new run time in a route's estimate.
	routeStep = 0.02
	// serverStep is the least weight of a new run time in a server's estimate.
	serverStep = 0.05
	// speedMemory is the time after which a server's estimate has lost most
	// of its confidence.
	speedMemory = 3 * time.Minute
	// confidentSamples is the number of run times after which a route's
	// estimate is told to others.
	confidentSamples = 3
	// leastDrift is the relative growth of a route's least run time with each
	// task that takes longer.
	leastDrift = 0.01
	// shortestRun is the shortest run time that counts, in seconds.
	shortestRun = 1e-6
)

// work is the learned run time of a route's tasks on a typical server.
type work struct {
	// mean is the mean run time in seconds.
	mean float64
	// log is the mean of the logarithm of the run time.
	log float64
	// least is about the shortest run time in seconds.
	least float64
	// samples is the number of run times seen.
	samples float64
}

// known reports whether there is an estimate.
func (w *work) known() bool {
	return w.samples > 0
}

// slowness is the learned factor by which a server takes longer than a typical
// one, as a logarithm.
type slowness struct {
	log float64
	// samples is the confidence: the number of run times seen, less with age.
	samples float64
	// at is when the confidence was last brought up to date.
	at time.Time
}

// age takes from s the confidence that it has lost up to now. An estimate of
// no confidence is that of a typical server.
func (s *slowness) age(now time.Time) {
	if s.samples == 0 {
		s.at = now
		return
	}
	d := now.Sub(s.at)
	if d <= 0 {
		return
	}
	kept := math.Exp(-d.Seconds() / speedMemory.Seconds())
	s.log *= kept
	s.samples *= kept
	s.at = now
}

// factor returns the expected run time relative to a typical server's.
func (s *slowness) factor() float64 {
	return math.Exp(s.log)
}

// learn takes a run time of a route on a server into both estimates.
func learn(now time.Time, w *work, s *slowness, run time.Duration) {
	seconds := max(run.Seconds(), shortestRun)
	s.at = now
	typical := seconds / s.factor()
	step := max(1/(w.samples+1), routeStep)
	w.learnLeast(typical)
	w.mean += step * (typical - w.mean)
	if !w.known() {
		w.log = math.Log(typical)
	}
	residual := math.Log(typical) - w.log
	w.log += step * residual
	w.samples++
	s.log += max(1/(s.samples+2), serverStep) * residual
	s.samples++
}

func (w *work) learnLeast(typical float64) {
	if !w.known() || typical < w.least {
		w.least = typical
		return
	}
	w.least += leastDrift * w.least
}

// scale multiplies the run times by the exponential of mean.
func (w *work) scale(mean float64) {
	factor := math.Exp(mean)
	w.mean *= factor
	w.least *= factor
	w.log += mean
}
