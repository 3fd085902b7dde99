// Package naive implements a minimal entry instance that serves as the baseline
// of measurements. Tasks wait in a single first-in, first-out queue, are sent to
// the backend servers in round-robin order, and are retried after any error,
// even if they may have started. Instances do not communicate with each other.
// The package imports none of the product's scheduling code.
package naive
