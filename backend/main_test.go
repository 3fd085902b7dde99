package backend_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain makes the property tests use the same random numbers in each run,
// unless the command line sets a seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
