package entry_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// matrixPairs is the default number of pairs of faults that TestMatrixPairs injects. The
// environment variable MATRIX_PAIRS overrides it.
const matrixPairs = 300

// notApplicable lists the combinations of scenario, step and fault that are not run,
// with the reasons.
var notApplicable = []struct {
	reason  string
	matches func(s scenario, st step, f fault) bool
}{
	{
		"no instance joins: the next holder is up from the start, like the holder",
		func(s scenario, _ step, f fault) bool { return f.target == joinerRole && !s.joins },
	},
	{
		"no backend server changes its holder",
		func(s scenario, _ step, f fault) bool {
			return strings.HasSuffix(f.name, " released") && !s.joins && !s.leaver.IsValid()
		},
	},
	{
		"no backend server changes its holder after the step",
		func(_ scenario, st step, f fault) bool {
			return strings.HasSuffix(f.name, " released") && (st.name == "end of the process" ||
				st.name == "answer sent" || st.name == "answer at the caller" || st.name == "result sent")
		},
	},
	{
		"no answer is sent once the owner has ended",
		func(s scenario, st step, f fault) bool {
			return strings.HasSuffix(f.name, " answer") && s.leaver == ownerRole && st.name == "end of the process"
		},
	},
	{
		"the instance is shutting down already",
		func(s scenario, _ step, f fault) bool { return f.shutsDown && f.target == s.leaver },
	},
	{
		"the process has already ended",
		func(s scenario, st step, f fault) bool {
			return st.name == "end of the process" && f.target == s.leaver
		},
	},
}

// exclusionReason returns why a combination is not run, or "" if it is.
func exclusionReason(s scenario, st step, f fault) string {
	for _, n := range notApplicable {
		if n.matches(s, st, f) {
			return n.reason
		}
	}
	return ""
}

// TestMatrixWithoutFaults checks that each scenario reaches all of its steps and ends
// with an allowed status when no fault is injected.
func TestMatrixWithoutFaults(t *testing.T) {
	none := fault{name: "none", harmless: true, apply: func(*matrixCase) {}}
	for _, s := range matrixScenarios {
		for _, st := range s.steps {
			t.Run(s.name+"/"+st.name, func(t *testing.T) {
				t.Parallel()
				if found := newMatrixCase(1, s, &trigger{step: st, fault: none}).execute(); len(found) > 0 {
					t.Fatal(strings.Join(found, "\n"))
				}
			})
		}
	}
}

// TestMatrix injects every fault at every step of every scenario and checks that no
// task starts twice and that callers get no wrong, partial or contradictory answers.
func TestMatrix(t *testing.T) {
	cases, skipped := 0, make(map[string]int)
	for _, s := range matrixScenarios {
		for at, st := range s.steps {
			var run []fault
			for _, f := range matrixFaults {
				if reason := exclusionReason(s, st, f); reason != "" {
					skipped[reason]++
					continue
				}
				run = append(run, f)
			}
			cases += len(run)
			t.Run(s.name+"/"+st.name, func(t *testing.T) {
				t.Parallel()
				for n, f := range run {
					seed := uint64(1000*at + n)
					c := newMatrixCase(seed, s, &trigger{step: st, fault: f})
					if found := c.execute(); len(found) > 0 {
						t.Errorf("seed %d, %s: %s", seed, c, strings.Join(found, "\n"))
					}
				}
			})
		}
	}
	total := cases
	for _, n := range notApplicable {
		t.Logf("%d cases not applicable: %s", skipped[n.reason], n.reason)
		total += skipped[n.reason]
	}
	t.Logf("%d faults, %d cases, %d run", len(matrixFaults), total, cases)
}

// TestMatrixPairs injects random pairs of faults, each fault at a random step of the
// same scenario, and checks the same invariants as TestMatrix.
func TestMatrixPairs(t *testing.T) {
	pairs := matrixPairs
	if text := os.Getenv("MATRIX_PAIRS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		pairs = n
	}
	const lanes = 8
	for lane := range lanes {
		t.Run(fmt.Sprintf("lane-%d", lane), func(t *testing.T) {
			t.Parallel()
			for seed := lane; seed < pairs; seed += lanes {
				c := newPairCase(uint64(seed))
				if found := c.execute(); len(found) > 0 {
					t.Errorf("seed %d, %s: %s", seed, c, strings.Join(found, "\n"))
				}
			}
		})
	}
	t.Logf("%d pairs", pairs)
}

// newPairCase returns the test case with two random faults for a seed.
func newPairCase(seed uint64) *matrixCase {
	rng := rand.New(rand.NewPCG(seed, 5))
	s := matrixScenarios[rng.IntN(len(matrixScenarios))]
	c := newMatrixCase(seed, s, drawTrigger(rng, s), drawTrigger(rng, s))
	c.pair = true
	return c
}

// drawTrigger returns a random applicable fault at a random step of s.
func drawTrigger(rng *rand.Rand, s scenario) *trigger {
	for {
		st := s.steps[rng.IntN(len(s.steps))]
		f := matrixFaults[rng.IntN(len(matrixFaults))]
		if exclusionReason(s, st, f) == "" {
			return &trigger{step: st, fault: f}
		}
	}
}

// String returns the scenario, faults and steps of the test case.
func (c *matrixCase) String() string {
	text := c.scenario.name
	for _, t := range c.triggers {
		text += fmt.Sprintf(", %s at %q", t.fault.name, t.step.name)
	}
	return text
}
