package httpjson

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

const (
	// MaxMessageBytes is the largest size in bytes of a StatusError's message.
	// Longer bodies are cut off.
	MaxMessageBytes = 256
	// MaxAnswerBytes is the largest size in bytes of a response body that is
	// read. The rest is ignored.
	MaxAnswerBytes = 256 << 20
)

// A StatusError reports an HTTP status other than 200.
type StatusError struct {
	Status int
	// Message is the beginning of the response body.
	Message string
}

// Error returns the status and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// Decode decodes body, the JSON body of a response with the given status, into v. It
// returns a *StatusError if the status is not 200.
func Decode(status int, body []byte, v any) error {
	if status != http.StatusOK {
		return NewStatusError(status, body)
	}
	return json.Unmarshal(body, v)
}

// NewStatusError returns the error for a response with a status and a body.
func NewStatusError(status int, body []byte) *StatusError {
	message := strings.TrimSpace(string(body[:min(len(body), MaxMessageBytes)]))
	return &StatusError{Status: status, Message: message}
}
