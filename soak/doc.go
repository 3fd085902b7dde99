// Package soak runs the real program as separate processes against stand-ins of the
// platform and injects random faults that overlap: processes are killed, paused,
// ended and restarted by signals, proxies delay, drop or reset connections, and the
// store fails.
// Its tests check what callers and workers observe. The package holds only tests.
package soak
