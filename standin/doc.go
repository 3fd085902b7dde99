// Package standin implements small in-memory substitutes for the platform's
// services: its metadata store (Store), workers of the platform's protocol
// (LeasedWorker), and workers with backend servers of the dispatcher's own
// protocol (Worker, Server). Faults can be injected into the store and the backend
// servers. The package imports none of the code under test, so that it can't share
// that code's errors.
package standin
