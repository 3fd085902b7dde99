package caller

import (
	"fmt"
	"net/http"
	"time"
)

// HTTP headers and the content type of all bodies.
const (
	// NextKeyHeader names the response header that contains a new key for the
	// caller's next job. The answering instance issued the key.
	NextKeyHeader     = "Next-Key"
	retryAfterHeader  = "Retry-After"
	contentTypeHeader = "Content-Type"
	jsonContentType   = "application/json"
)

// An answerBody is the HTTP body of an Answer.
type answerBody struct {
	Key        Key      `json:"key"`
	Status     Status   `json:"status"`
	Reason     Reason   `json:"reason,omitempty"`
	Message    string   `json:"message,omitempty"`
	RetryAfter string   `json:"retry-after,omitempty"`
	Results    [][]byte `json:"results,omitempty"`
}

// An errorBody is the HTTP body of a RequestError.
type errorBody struct {
	Error   RequestFault `json:"error"`
	Message string       `json:"message"`
}

// newAnswerBody returns the HTTP body of answer. It contains results only if
// the answer is complete.
func newAnswerBody(answer Answer) answerBody {
	body := answerBody{
		Key:     answer.Key,
		Status:  answer.Status,
		Reason:  answer.Reason,
		Message: answer.Message,
	}
	if answer.Status == Complete {
		body.Results = answer.Results
	}
	if answer.RetryAfter > 0 {
		body.RetryAfter = answer.RetryAfter.String()
	}
	return body
}

// answer returns the Answer that the body encodes. It returns an error if the
// field retry-after is not a valid duration.
func (b answerBody) answer() (Answer, error) {
	answer := Answer{
		Key:     b.Key,
		Status:  b.Status,
		Reason:  b.Reason,
		Message: b.Message,
		Results: b.Results,
	}
	if b.RetryAfter == "" {
		return answer, nil
	}
	retryAfter, err := time.ParseDuration(b.RetryAfter)
	answer.RetryAfter = retryAfter
	return answer, err
}

// statusCode returns the HTTP status code of an answer:
//
//	200 complete
//	429 not-run for overload
//	503 not-run for another reason
//	502 failed
//	504 unknown
func statusCode(answer Answer) int {
	switch answer.Status {
	case Complete:
		return http.StatusOK
	case NotRun:
		if answer.Reason == ReasonOverload {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case Failed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}

// retryAfterSeconds returns d in whole seconds, rounded up, as the value of
// the Retry-After header.
func retryAfterSeconds(d time.Duration) string {
	return fmt.Sprint(int64((d + time.Second - 1) / time.Second))
}
