// Package naive is the simplest entry instance that could answer jobs, for
// measurements to compare with: tasks wait in one queue in their order of
// arrival, go to the backend servers in turn, and are tried again on any
// error, also when they may have started. Instances know nothing of each
// other. It imports nothing of the code that decides.
package naive
