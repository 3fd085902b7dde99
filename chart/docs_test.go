package chart_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/chart"
	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// chartsPage is the documentation page that shows the state charts.
const chartsPage = "../docs/CHARTS.md"

var update = flag.Bool("update", false, "regenerate "+chartsPage+" from the chart files")

// page returns the expected content of chartsPage.
func page() string {
	return `# State charts

The code reads these charts from files, and the drawings are made from the same
files. ` + "`go test ./chart -update`" + ` regenerates this page; a test fails while it
differs from the files.

## The state of a peer

The states in which an entry instance sees a peer (` + "`peer/state.chart.toml`" + `). They
decide to which instances tasks are assigned, and never whether a task may start a
second time.

` + mermaidBlock(peer.StateChart()) + `
## The health of a backend server

The states in which the holder of a backend server sees it
(` + "`backend/health.chart.toml`" + `).

` + mermaidBlock(backend.HealthChart()) + `
## The state of a job

The states of a job at its leader (` + "`dispatch/job.chart.toml`" + `). A job that has
ended takes no event: what its runs do afterwards changes nothing.

` + mermaidBlock(dispatch.JobChart()) + `
## The state of a task

The states of a task at the leader of its job (` + "`dispatch/task.chart.toml`" + `), while
the job has not ended. The runs that may be running are known apart from these states:
a task that is done, or whose job has ended, may have some, and each is stopped until
its end is confirmed.

` + mermaidBlock(dispatch.TaskChart())
}

// mermaidBlock returns the chart as a fenced code block in Markdown.
func mermaidBlock(c *chart.Chart) string {
	return "```mermaid\n" + c.Mermaid() + "```\n"
}

// TestChartsPageIsUpToDate checks that chartsPage shows the charts as the program reads
// them. With the flag -update it writes the page first.
func TestChartsPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(chartsPage, []byte(page()), 0o644))
	}
	text, err := os.ReadFile(chartsPage)
	is.NoErr(err)
	is.Equal(string(text), page()) // go test ./chart -update regenerates it
	files, err := filepath.Glob("../*/*.chart.toml")
	is.NoErr(err)
	is.Equal(len(files), 4) // the page shows the chart of each file
}
