package entry_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// rapidDefaults make each run of the tests the same. A flag of the run goes
// first.
var rapidDefaults = map[string]string{
	"rapid.seed":       "20261204",
	"rapid.checks":     "300",
	"rapid.nofailfile": "true",
}

func TestMain(m *testing.M) {
	for name, value := range rapidDefaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
