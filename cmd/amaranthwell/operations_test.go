package main

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The operators' page lists every name that operators and callers see: metrics, log
// events, reasons, statuses, settings and commands.
func TestOperationsPageListsAllNames(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, source := range []struct {
		file, pattern string
		least         int
	}{
		{"metrics.go", "count\\((\"[^\"]*\"|`[^`]*`)", 20},
		{"configuration.go", `"event", "([a-z-]+)"`, 4},
		{"entry.go", `"event", "([a-z-]+)"`, 3},
		{"router_logger.go", `"event", "([a-z-]+)"`, 1},
		{"../../entry/changes.go", `ChangeKind = "([a-z-]+)"`, 2},
		{"serve.go", `"event", "([a-z-]+)"`, 5},
		{"serve.go", `"(amaranthwell_[a-z_]+)`, 1},
		{"dispatch_loop.go", "[\"`](amaranthwell_[a-z_]+)", 4},
		{"worker_commands.go", `"(amaranthwell_[a-z_]+)`, 1},
		{"drained_zones.go", "[\"`](amaranthwell_[a-z_]+)", 3},
		{"doubt_metrics.go", `"(amaranthwell_[a-z_]+)`, 1},
		{"follow.go", `"event", "([a-z-]+)"`, 3},
		{"line_writer.go", `event=([a-z-]+)`, 1},
		{"decision_log.go", `"event", "([a-z-]+)"`, 2},
		{"dispatch_loop.go", `Event: "([a-z-]+)"`, 1},
		{"worker_commands.go", `Event: "([a-z-]+)"`, 1},
		{"../../dispatch/admission.go", `return "([a-z-]+)"`, 2},
		{"../../dispatch/receiver.go", `:\n\t\treturn "([a-z-]+)"`, 3},
		{"../../dispatch/placement.go", `giveUp\(now, j, "([a-z-]+)"`, 2},
		{"../../dispatch/placement.go", `routine\("([a-z-]+)"`, 2},
		{"../../dispatch/active_jobs.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 4},
		{"../../dispatch/dispatcher.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 2},
		{"../../dispatch/drained_zones.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 2},
		{"../../dispatch/exchange.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 0},
		{"../../dispatch/followed_zone.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 3},
		{"../../dispatch/redirects.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 1},
		{"../../dispatch/redirect.go", ` = "([a-z-]+)"`, 5},
		{"../../dispatch/preview_decision.go", ` += "([a-z-]+)"`, 10},
		{"../../dispatch/preview.go", `Outcome = "([a-z-]+)"`, 4},
		{"../../dispatch/instance.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 5},
		{"../../dispatch/polls.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 4},
		{"../../dispatch/receiver.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 3},
		{"../../dispatch/runs.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 4},
		{"../../dispatch/tokens.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 1},
		{"../../dispatch/uncertain.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 2},
		{"../../dispatch/unusable.go", `"([a-z]+)"[,}]`, 7},
		{"../../dispatch/tick.go", `(?:decide|routine|note)\("([a-z-]+[a-z])"`, 2},
		{"../../logservice/subscription.go", `"event", "([a-z-]+)"`, 1},
		{"../../caller/job.go", `Reason = "([a-z-]+)"`, 14},
		{"../../caller/job.go", `Status = "([a-z-]+)"`, 4},
		{"../../caller/request.go", `RequestFault = "([a-z-]+)"`, 9},
		{"../../operator/decision.go", `Reason = "([a-z-]+)"`, 6},
		{"../../operator/settings.go", `toml:"([a-z-]+)"`, 8},
		{"../../operator/rows.go", `toml:"([a-z-]+)"`, 15},
		{"main.go", `AddCommand\("([a-z]+)"`, 7},
	} {
		text, err := os.ReadFile(source.file)
		is.NoErr(err)
		names := regexp.MustCompile(source.pattern).FindAllStringSubmatch(string(text), -1)
		is.True(len(names) >= source.least) // the pattern still finds the names
		for _, match := range names {
			name := strings.Trim(match[1], "\"`")
			if slices.Contains([]string{"routes", "pools", "servers"}, name) {
				continue // a table, not a key
			}
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("docs/OPERATIONS.md lacks `%s` of %s", name, source.file)
			}
		}
	}
}
