package caller

import (
	"fmt"
	"net/http"
)

// A RequestFault says what is wrong with an HTTP request.
type RequestFault string

// The faults of a request. A request with a fault starts nothing.
const (
	// FaultMalformedJSON means that the body is no JSON object of the known fields.
	FaultMalformedJSON RequestFault = "malformed-json"
	// FaultIncompleteBody means that the body ended early or came too slowly.
	FaultIncompleteBody RequestFault = "incomplete-body"
	// FaultBodyTooLarge means that the body is larger than MaxBodyBytes.
	FaultBodyTooLarge RequestFault = "body-too-large"
	// FaultMalformedKey means that the key's text is no key's, or names its owner
	// falsely.
	FaultMalformedKey RequestFault = "malformed-key"
	// FaultNoRoute means that the route is missing.
	FaultNoRoute RequestFault = "no-route"
	// FaultMalformedTimeout means that the timeout is no duration, or negative.
	FaultMalformedTimeout RequestFault = "malformed-timeout"
	// FaultTaskCount means that there are no tasks, or more than MaxTasks.
	FaultTaskCount RequestFault = "task-count"
	// FaultKeyCount means that the number of keys is not in [1, MaxKeys].
	FaultKeyCount RequestFault = "key-count"
	// FaultInternal means that the instance could not take the request.
	FaultInternal RequestFault = "internal"
)

// maxDetailBytes bounds what a RequestError repeats of a bad request.
const maxDetailBytes = 200

// A RequestError reports a request that the HTTP protocol does not allow, or
// that failed before it became a job.
type RequestError struct {
	// Code is the HTTP status code of the response.
	Code int
	// Fault says what is wrong.
	Fault RequestFault
	// Detail explains the fault to a person.
	Detail string
}

// Error returns the fault and its detail.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Fault, e.Detail)
}

// badRequest returns a RequestError with the code 400.
func badRequest(fault RequestFault, detail string) *RequestError {
	return &RequestError{
		Code:   http.StatusBadRequest,
		Fault:  fault,
		Detail: detail[:min(len(detail), maxDetailBytes)],
	}
}
