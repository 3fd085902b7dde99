package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// tableCommand prints the results in results files as one Markdown table.
type tableCommand struct {
	Args struct {
		Files []string `positional-arg-name:"results" required:"1"`
	} `positional-args:"true"`
}

// Execute runs the command.
func (c *tableCommand) Execute([]string) error {
	var all report
	for _, file := range c.Args.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var one report
		if err := toml.Unmarshal(text, &one); err != nil {
			return errors.Wrapf(err, "reading %s", file)
		}
		all.Runs = append(all.Runs, one.Runs...)
	}
	writeTable(os.Stdout, all.Runs)
	return nil
}

const tableHead = `| scenario | version | response over ideal p50 | p99 | tasks/s | complete | wasted messages a task | other work kept | other work p99 ratio | refused but run | started twice | useless starts a task | processor µs a task |
|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|
`

// writeTable writes one row for each result. For a phase with a baseline, the response
// times and the complete share are those of the routes without a flood or waves.
func writeTable(w io.Writer, runs []result) {
	fmt.Fprint(w, tableHead)
	for _, r := range runs {
		routes := r.All
		if r.Others != nil {
			routes = *r.Others
		}
		fmt.Fprintf(w, "| %s %s | %s | %s | %s | %.0f | %.1f %% | %.3f | %s | %s | %d | %d | %.3f | %.0f |\n",
			r.Fleet, rowName(r), r.Version, ratioText(routes, routes.ResponseOverIdealP50), ratioText(routes, routes.ResponseOverIdealP99),
			r.All.Throughput, 100*routes.CompleteShare, r.WastedMessagesPerTask,
			compared(r.OtherWorkKept), compared(r.OtherWorkP99Ratio),
			r.RefusedButRun, r.StartedTwice, r.UselessStartsPerTask, r.ProcessorMicrosecondsPerTask)
	}
}

// rowName returns the text of the first column after the fleet's name: the name of the
// phase or, for a baseline phase, the scenario's name and ", without".
func rowName(r result) string {
	if r.Others == nil && r.Phase == "without" {
		return r.Scenario + ", without"
	}
	return r.Phase
}

// compared formats a comparison, or returns a dash if value is nil.
func compared(value *float64) string {
	if value == nil {
		return "–"
	}
	return fmt.Sprintf("%.3f", *value)
}

// ratioText formats a ratio of r, or returns a dash if r has no complete answers.
func ratioText(r routeResult, ratio float64) string {
	if r.CompleteShare == 0 {
		return "–"
	}
	return fmt.Sprintf("%.2f", ratio)
}
