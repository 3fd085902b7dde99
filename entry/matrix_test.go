package entry_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// matrixPairs is the number of seeded pairs that CI runs; the environment
// variable MATRIX_PAIRS asks for more.
const matrixPairs = 300

// notApplicable lists the cells that are not run, with the reason.
var notApplicable = []struct {
	reason  string
	matches func(s scenario, st step, f fault) bool
}{
	{
		"no instance joins: the next holder serves from the start, as the holder does",
		func(s scenario, _ step, f fault) bool { return f.of == joinerRole && !s.joins },
	},
	{
		"no backend server changes hands",
		func(s scenario, _ step, f fault) bool {
			return strings.HasSuffix(f.name, " released") && !s.joins && !s.leaver.IsValid()
		},
	},
	{
		"no backend server changes hands after the step",
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
		func(s scenario, _ step, f fault) bool { return f.leaves && f.of == s.leaver },
	},
	{
		"the process has ended by itself: nothing of it is left to strike",
		func(s scenario, st step, f fault) bool {
			return st.name == "end of the process" && f.of == s.leaver
		},
	},
}

// whyNot returns why a cell is not run, or "".
func whyNot(s scenario, st step, f fault) string {
	for _, n := range notApplicable {
		if n.matches(s, st, f) {
			return n.reason
		}
	}
	return ""
}

// TestMatrixWithoutFaults shows that the scenarios reach each of their steps and
// end as they must when nothing fails.
func TestMatrixWithoutFaults(t *testing.T) {
	none := fault{name: "none", harmless: true, apply: func(*cell) {}}
	for _, s := range matrixScenarios {
		for _, st := range s.steps {
			t.Run(s.name+"/"+st.name, func(t *testing.T) {
				t.Parallel()
				if found := newCell(1, s, &trigger{step: st, fault: none}).play(); len(found) > 0 {
					t.Fatal(strings.Join(found, "\n"))
				}
			})
		}
	}
}

// TestMatrix runs every fault at every step.
func TestMatrix(t *testing.T) {
	cells, skipped := 0, make(map[string]int)
	for _, s := range matrixScenarios {
		for at, st := range s.steps {
			var run []fault
			for _, f := range matrixFaults {
				if reason := whyNot(s, st, f); reason != "" {
					skipped[reason]++
					continue
				}
				run = append(run, f)
			}
			cells += len(run)
			t.Run(s.name+"/"+st.name, func(t *testing.T) {
				t.Parallel()
				for n, f := range run {
					seed := uint64(1000*at + n)
					c := newCell(seed, s, &trigger{step: st, fault: f})
					if found := c.play(); len(found) > 0 {
						t.Errorf("seed %d, %s: %s", seed, c, strings.Join(found, "\n"))
					}
				}
			})
		}
	}
	total := cells
	for _, n := range notApplicable {
		t.Logf("%d cells not applicable: %s", skipped[n.reason], n.reason)
		total += skipped[n.reason]
	}
	t.Logf("%d faults, %d cells, %d run", len(matrixFaults), total, cells)
}

// TestMatrixPairs runs seeded pairs of faults, each at a step of its own of the
// same scenario.
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
				c := newPair(uint64(seed))
				if found := c.play(); len(found) > 0 {
					t.Errorf("seed %d, %s: %s", seed, c, strings.Join(found, "\n"))
				}
			}
		})
	}
	t.Logf("%d pairs", pairs)
}

// newPair returns the cell of two faults that a seed draws.
func newPair(seed uint64) *cell {
	draw := rand.New(rand.NewPCG(seed, 5))
	s := matrixScenarios[draw.IntN(len(matrixScenarios))]
	c := newCell(seed, s, drawTrigger(draw, s), drawTrigger(draw, s))
	c.pair = true
	return c
}

func drawTrigger(draw *rand.Rand, s scenario) *trigger {
	for {
		st := s.steps[draw.IntN(len(s.steps))]
		f := matrixFaults[draw.IntN(len(matrixFaults))]
		if whyNot(s, st, f) == "" {
			return &trigger{step: st, fault: f}
		}
	}
}

// String names the cell's scenario, steps and faults.
func (c *cell) String() string {
	text := c.scenario.name
	for _, t := range c.triggers {
		text += fmt.Sprintf(", %s at %q", t.fault.name, t.step.name)
	}
	return text
}
