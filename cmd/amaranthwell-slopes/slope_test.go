package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFitFindsExactLine(t *testing.T) {
	is := is.New(t)
	s := slope{Sizes: []int{10, 20, 40}, Readings: []float64{25, 45, 85}}
	s.fit()
	is.True(math.Abs(s.Intercept-5) < 1e-9) // y = 5 + 2 x
	is.True(math.Abs(s.Slope-2) < 1e-9)
	is.True(s.Misfit < 1e-9)
}

func TestMisfitIsLargestDeviationFromLine(t *testing.T) {
	is := is.New(t)
	s := slope{Sizes: []int{0, 1, 2}, Readings: []float64{0, 0, 6}}
	s.fit()
	// The line is -1 + 3 x; the middle reading is 2 below it.
	is.True(math.Abs(s.Misfit-2.0/6) < 1e-9)
}

func TestJobPathAnswersEveryJob(t *testing.T) {
	is := is.New(t)
	p := newJobPath(4)
	is.Equal(p.run(2, 5, 1), 2)
	is.True(p.wireBytes[relayToOwner] > 0)
	is.True(p.wireBytes[ownerToHolder] > 0)
	is.True(p.wireBytes[holderToOwner] > 0)
	is.True(p.wireBytes[ownerToRelay] > 0)
}
