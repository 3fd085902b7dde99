package caller

import (
	"fmt"
	"net/http"
)

// A RequestFault states why an instance could not handle an HTTP request.
type RequestFault string

// The faults of a request. A request with a fault other than FaultInternal
// starts no job.
const (
	// FaultMalformedJSON means that the body is not a JSON object with only
	// known fields.
	FaultMalformedJSON RequestFault = "malformed-json"
	// FaultIncompleteBody means that the body ended early or arrived too
	// slowly.
	FaultIncompleteBody RequestFault = "incomplete-body"
	// FaultBodyTooLarge means that the body is larger than MaxBodyBytes.
	FaultBodyTooLarge RequestFault = "body-too-large"
	// FaultMalformedKey means that the key in the request is not the text form
	// of a key, or was not issued by the owner named in it.
	FaultMalformedKey RequestFault = "malformed-key"
	// FaultNoRoute means that the job names no route.
	FaultNoRoute RequestFault = "no-route"
	// FaultMalformedTimeout means that the job's timeout is negative or not a
	// valid duration.
	FaultMalformedTimeout RequestFault = "malformed-timeout"
	// FaultTaskCount means that the job has no tasks, or more than MaxTasks.
	FaultTaskCount RequestFault = "task-count"
	// FaultKeyCount means that the requested number of keys is not in
	// [1, MaxKeys].
	FaultKeyCount RequestFault = "key-count"
	// FaultInternal means that the instance failed to handle a valid request.
	// A job may have been started.
	FaultInternal RequestFault = "internal"
)

// maxDetailBytes is the maximum length of RequestError.Detail, which may quote
// the request.
const maxDetailBytes = 200

// A RequestError reports a request that violates the HTTP protocol for callers,
// or that an instance failed to handle.
type RequestError struct {
	// Code is the HTTP status code of the response.
	Code int
	// Fault is what is wrong with the request.
	Fault RequestFault
	// Detail is a human-readable explanation of the fault.
	Detail string
}

// Error returns the fault and its detail.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Fault, e.Detail)
}

// badRequest returns a RequestError with the status code 400.
func badRequest(fault RequestFault, detail string) *RequestError {
	return &RequestError{
		Code:   http.StatusBadRequest,
		Fault:  fault,
		Detail: detail[:min(len(detail), maxDetailBytes)],
	}
}
