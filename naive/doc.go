// Package naive implements a minimal entry instance, with which measurements compare the
// product. Tasks wait in a single first-in, first-out queue, are sent to the backend
// servers in round-robin order, and are retried after any error, even if they may have
// started. Instances do not communicate with each other.
// The package imports none of the product's scheduling code.
package naive
