package httpjson

import (
	"encoding/json"
	"fmt"
	"io"
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

// Do sends req and decodes the JSON response into v. It returns a *StatusError if
// the status is not 200.
func Do(client *http.Client, req *http.Request, v any) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return NewStatusError(resp.StatusCode, body)
	}
	return json.Unmarshal(body, v)
}

// NewStatusError returns the error for a response with a status and a body.
func NewStatusError(status int, body []byte) *StatusError {
	message := strings.TrimSpace(string(body[:min(len(body), MaxMessageBytes)]))
	return &StatusError{Status: status, Message: message}
}
