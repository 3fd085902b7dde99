package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// A jobBody is the HTTP body of a job.
type jobBody struct {
	Key     string   `json:"key,omitempty"`
	Route   string   `json:"route"`
	Timeout string   `json:"timeout,omitempty"`
	Tasks   taskList `json:"tasks"`
}

// decodeJob returns the job that an HTTP body encodes. It returns a
// *RequestError if the body does not encode a valid job. The job's tasks do
// not share memory with body.
func decodeJob(body []byte) (Job, error) {
	fields, ok := scanJob(body)
	if !ok {
		var err error
		fields, err = unmarshalJob(body)
		if err != nil {
			return Job{}, err
		}
	}
	return fields.job()
}

// unmarshalJob decodes a job's body with encoding/json. It accepts every valid
// form; scanJob accepts the usual forms only, at a fraction of the cost.
func unmarshalJob(body []byte) (jobBody, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var fields *jobBody
	if err := decoder.Decode(&fields); err != nil {
		var requestErr *RequestError
		if errors.As(err, &requestErr) {
			return jobBody{}, requestErr
		}
		return jobBody{}, badRequest(FaultMalformedJSON, err.Error())
	}
	if fields == nil {
		return jobBody{}, badRequest(FaultMalformedJSON, "the body is null")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return jobBody{}, badRequest(FaultMalformedJSON, "there is more than one value")
	}
	return *fields, nil
}

// job returns the Job that the fields describe. It returns a *RequestError if a
// field is invalid.
func (f jobBody) job() (Job, error) {
	job := Job{Route: f.Route, Tasks: f.Tasks}
	if err := job.Key.UnmarshalText([]byte(f.Key)); err != nil {
		return Job{}, badRequest(FaultMalformedKey, err.Error())
	}
	if f.Route == "" {
		return Job{}, badRequest(FaultNoRoute, "the job names no route")
	}
	if f.Timeout != "" {
		timeout, err := time.ParseDuration(f.Timeout)
		if err != nil {
			return Job{}, badRequest(FaultMalformedTimeout, err.Error())
		}
		job.Timeout = timeout
	}
	if job.Timeout < 0 {
		return Job{}, badRequest(FaultMalformedTimeout, "the timeout is negative")
	}
	if len(f.Tasks) == 0 {
		return Job{}, badRequest(FaultTaskCount, "the job has no tasks")
	}
	return job, nil
}

// A taskList is a JSON array of at most MaxTasks base64 strings.
type taskList [][]byte

// UnmarshalJSON decodes the array. If there are more than MaxTasks strings, it
// returns a *RequestError without decoding the rest, so that a body with a
// great many empty tasks takes little memory.
func (l *taskList) UnmarshalJSON(data []byte) error {
	*l = nil
	if string(data) == "null" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return badRequest(FaultMalformedJSON, "the tasks are no array")
	}
	for decoder.More() {
		if len(*l) == MaxTasks {
			return tooManyTasks()
		}
		var task []byte
		if err := decoder.Decode(&task); err != nil {
			return badRequest(FaultMalformedJSON, fmt.Sprintf("task %d: %v", len(*l), err))
		}
		*l = append(*l, task)
	}
	return nil
}

func tooManyTasks() *RequestError {
	return badRequest(FaultTaskCount, fmt.Sprintf("the job has more than %d tasks", MaxTasks))
}
