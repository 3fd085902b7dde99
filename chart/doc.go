// Package chart implements finite state machines whose states, events and
// transitions are read from TOML files.
package chart
