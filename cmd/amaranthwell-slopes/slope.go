package main

import "math"

// A report is the content of the output file.
type report struct {
	Slopes []slope `toml:"slopes"`
}

// A slope is a straight line fitted to readings at several sizes.
type slope struct {
	// Name identifies the slope. What describes what was measured and how.
	Name string `toml:"name"`
	What string `toml:"what"`
	// Unit is the unit of the readings, such as "ns". By says what a size counts,
	// such as "worker".
	Unit string `toml:"unit"`
	By   string `toml:"by"`
	// Readings[i] is the reading at Sizes[i].
	Sizes    []int     `toml:"sizes"`
	Readings []float64 `toml:"readings"`
	// Intercept is the value of the least-squares line at size 0. Slope is the
	// increase of the line when the size grows by 1. Both are in the unit Unit.
	Intercept float64 `toml:"intercept"`
	Slope     float64 `toml:"slope"`
	// Misfit is the largest distance of a reading from the line, as a
	// fraction of the largest reading.
	Misfit float64 `toml:"misfit"`
	// Command is the shell command that measures the slope again.
	Command string `toml:"command"`
}

// add appends a reading.
func (s *slope) add(size int, reading float64) {
	s.Sizes = append(s.Sizes, size)
	s.Readings = append(s.Readings, reading)
}

// fit sets Intercept, Slope and Misfit from the readings. At least two sizes must
// differ.
func (s *slope) fit() {
	n := float64(len(s.Sizes))
	var meanX, meanY, xx, xy, most float64
	for i, x := range s.Sizes {
		meanX += float64(x) / n
		meanY += s.Readings[i] / n
	}
	for i, x := range s.Sizes {
		dx := float64(x) - meanX
		xx += dx * dx
		xy += dx * (s.Readings[i] - meanY)
	}
	s.Slope = xy / xx
	s.Intercept = meanY - s.Slope*meanX
	s.Misfit = 0
	for i, x := range s.Sizes {
		s.Misfit = max(s.Misfit, math.Abs(s.Readings[i]-s.Intercept-s.Slope*float64(x)))
		most = max(most, math.Abs(s.Readings[i]))
	}
	if most > 0 {
		s.Misfit /= most
	}
}
