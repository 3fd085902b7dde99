package caller_test

import (
	"flag"
	"os"
	"testing"
)

// rapidDefaults holds the default flags of the property tests: a fixed seed, so
// that runs are reproducible, and longer schedules than the library's defaults.
// Flags on the command line take precedence.
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
