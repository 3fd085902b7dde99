package standin

import (
	"bytes"
	"strings"
	"time"
)

// DefaultRunTime is the run time of a task whose payload names none.
const DefaultRunTime = 50 * time.Millisecond

// order is what a payload asks of the stand-in.
type order struct {
	runTime time.Duration
	fail    bool
}

// parseOrder reads the first line of payload, such as "run-time=120ms fail=1".
// Words that it does not know are ignored.
func parseOrder(payload []byte) order {
	o := order{runTime: DefaultRunTime}
	line, _, _ := bytes.Cut(payload, []byte("\n"))
	for _, word := range strings.Fields(string(line)) {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "run-time":
			if d, err := time.ParseDuration(value); err == nil {
				o.runTime = d
			}
		case "fail":
			o.fail = value == "1"
		}
	}
	return o
}
