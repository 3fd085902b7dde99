// Package tcp opens TCP connections with bounds on the time to connect and on the
// time that sent data stays unacknowledged.
package tcp
