// Package caller speaks to the callers of the system: it holds the types of a
// job and its answer, the submission keys, the book in which an entry instance
// records what became of each key, and the HTTP protocol.
//
// KeyIssuer, Key and SubmissionTable decide without a clock, a goroutine or a socket; Handler
// and Client carry their decisions over HTTP.
package caller
