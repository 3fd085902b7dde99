package dispatch

import "math"

const (
	// largeQuantile and largestQuantile delimit the size classes of a kind of jobs.
	largeQuantile   = 0.7
	largestQuantile = 0.9
	// quantileStep is the largest change of the logarithm of a quantile with one job.
	quantileStep = 0.03
	// servedWeight is the weight of a job in the share of its size class that is served,
	// and kindWeight that in the share of its kind, which has more jobs.
	servedWeight = 0.2
	kindWeight   = 0.05
	// minServedRatio is the ratio of the share of large jobs that is served to that of
	// their kind below which large jobs come first. It must not fall below a half; the
	// rest is a margin for the delay of the control.
	minServedRatio = 0.6
)

// sizeClass is the class of a job by its work within its kind.
type sizeClass uint8

// The size classes.
const (
	ordinarySize sizeClass = iota
	// largeSize is the fifth of the jobs below the largest tenth.
	largeSize
	largestSize
	sizeClasses
)

// routeSizes are the sizes of the jobs of a route, and the shares that are served.
type routeSizes struct {
	// logLarge and logLargest are the logarithms of the quantiles of the work.
	logLarge, logLargest float64
	// served are the recent shares of the jobs served in each class, and servedAll that
	// of all.
	served    [sizeClasses]float64
	servedAll float64
}

// sizes are the sizes of the jobs of each route.
type sizes map[string]*routeSizes

// classify returns the size class of a job that has arrived, and updates the quantiles.
func (s sizes) classify(j *activeJob) sizeClass {
	if j.work <= 0 {
		return ordinarySize
	}
	log := math.Log(j.work)
	r := s[j.Route]
	if r == nil {
		r = &routeSizes{logLarge: log, logLargest: log, served: [sizeClasses]float64{1, 1, 1}, servedAll: 1}
		s[j.Route] = r
	}
	class := ordinarySize
	switch {
	case log > r.logLargest:
		class = largestSize
	case log > r.logLarge:
		class = largeSize
	}
	r.logLarge = adjustQuantile(r.logLarge, log, largeQuantile)
	r.logLargest = max(adjustQuantile(r.logLargest, log, largestQuantile), r.logLarge)
	return class
}

// adjustQuantile moves the estimate of a quantile towards value.
func adjustQuantile(estimate, value, quantile float64) float64 {
	switch {
	case value > estimate:
		return estimate + quantileStep*quantile
	case value < estimate:
		return estimate - quantileStep*(1-quantile)
	default:
		return estimate
	}
}

// record records whether a job was served.
func (s sizes) record(j *activeJob, served bool) {
	r := s[j.Route]
	if r == nil {
		return
	}
	value := 0.0
	if served {
		value = 1
	}
	r.served[j.size] += servedWeight * (value - r.served[j.size])
	r.servedAll += kindWeight * (value - r.servedAll)
}

// underserved reports whether the large jobs of j's class are served too rarely, so that they
// come before the others of their kind.
func (s sizes) underserved(j *activeJob) bool {
	r := s[j.Route]
	return r != nil && j.size != ordinarySize && r.served[j.size] < minServedRatio*r.servedAll
}
