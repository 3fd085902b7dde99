// Package tcp opens TCP connections with bounds on the time to connect and on the
// time that sent data stays unacknowledged, and finds out whether the remote host has closed one.
package tcp
