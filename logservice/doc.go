// Package logservice speaks to the log service and the list of instances that
// the own interface rests on: an append-only log, as a watermill
// Publisher and Subscriber, and its list of live and leaving instances.
package logservice
