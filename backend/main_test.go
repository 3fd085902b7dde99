package backend_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain gives the properties the same random numbers in each run, unless
// the command line names a seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
