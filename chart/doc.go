// Package chart interprets state charts: files that list the states of a thing
// and the events that move it from one to another.
package chart
