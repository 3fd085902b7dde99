// Package backend decides which backend server gets which task and when, and
// speaks HTTP to the backend servers.
package backend
