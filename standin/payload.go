package standin

import (
	"bytes"
	"strings"
	"time"
)

// DefaultRunTime is the run time of a task whose payload sets none.
const DefaultRunTime = 50 * time.Millisecond

// taskSpec is the behaviour of a task that its payload requests.
type taskSpec struct {
	runTime time.Duration
	fail    bool
}

// parsePayload reads the first line of payload, such as "run-time=120ms fail=1".
// It ignores unknown keys and run times that do not parse.
func parsePayload(payload []byte) taskSpec {
	spec := taskSpec{runTime: DefaultRunTime}
	line, _, _ := bytes.Cut(payload, []byte("\n"))
	for _, word := range strings.Fields(string(line)) {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "run-time":
			if d, err := time.ParseDuration(value); err == nil {
				spec.runTime = d
			}
		case "fail":
			spec.fail = value == "1"
		}
	}
	return spec
}
