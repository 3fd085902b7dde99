package entry_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// rapidDefaults makes the property tests use the same inputs in each run. Flags of
// the command line override it.
var rapidDefaults = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.checks":     "300",
	"rapid.nofailfile": "true",
}

// TestMain sets rapidDefaults and fails if a goroutine is left at the end.
func TestMain(m *testing.M) {
	for name, value := range rapidDefaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
