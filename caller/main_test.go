package caller_test

import (
	"flag"
	"os"
	"testing"
)

// rapidDefaults make a run of the property tests give the same verdict as the
// last, on longer schedules than the library's. A flag of the run goes first.
var rapidDefaults = map[string]string{
	"rapid.seed":   "20261204",
	"rapid.checks": "400",
	"rapid.steps":  "60",
}

func TestMain(m *testing.M) {
	for name, value := range rapidDefaults {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}
