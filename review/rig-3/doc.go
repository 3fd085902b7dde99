//go:build review

// Command rig-3 plays the cases of the third review that are no days of the bench.
//
// A case starts a small deployment on loopback addresses: instances of the program as
// separate processes, and, within this process, the store and the workers of the platform.
// It acts as the callers and as the operator, and records what was sent, answered and run.
// The exit status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment, the disruption of the case is left out.
package main
