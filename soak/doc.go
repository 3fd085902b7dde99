// Package soak runs the real program as separate processes beside stand-ins. It
// kills, pauses, ends and restarts the processes by signals, harms their connections
// in proxies, and has the store fail, in series that overlap. Its tests check what
// callers and workers see. It holds no code but tests.
package soak
