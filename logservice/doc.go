// Package logservice keeps what the own interface needs in the platform's store:
// streams of records, as a watermill Publisher and Subscriber, and the list of
// live and leaving instances.
package logservice
