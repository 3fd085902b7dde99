// Package caller implements the interface to the callers of the system: the
// types of a job and its answer, the submission keys, the table in which an
// entry instance records the state of each key, and the HTTP server and client.
//
// KeyIssuer, Key and SubmissionTable read no clock, start no goroutine and open
// no socket: methods that depend on the time take it as an argument. NewHandler
// and Client implement the HTTP protocol in which jobs and keys are sent.
package caller
