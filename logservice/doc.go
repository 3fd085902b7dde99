// Package logservice keeps streams of records and the list of live and leaving
// instances in the platform's store, for entry instances that serve amaranthwell's
// own interface. The streams are a watermill Publisher and Subscriber.
package logservice
