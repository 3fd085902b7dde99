package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Lines of two instances. Those of the first have the prefix of a log collector.
const (
	receiverLines = `  33.40 frontend-a-2 time=2026-09-14T10:04:08.40Z instance=a-2 event=job-accepted id=4591c4dd2d221791 request=q1 leader=10.1.0.7:70
  33.95 frontend-a-2 time=2026-09-14T10:04:08.95Z instance=a-2 event=leader-lost id=a leader=10.1.0.7:70 heard=450ms
  34.10 frontend-a-2 time=2026-09-14T10:04:09.10Z instance=a-2 event=job-answered id=4591c4dd2d221791 state=overdue
  50.00 frontend-a-2 time=2026-09-14T10:04:25.00Z instance=a-2 event=leader id=a leader=10.1.0.7:70
a line without a time
`
	leaderLines = `time=2026-09-14T10:04:08.41Z instance=a-1 event=tasks-started id=4591c4dd2d221791 runs="0.0#1@w-1 0.1#1@w-2"
time=2026-09-14T10:04:08.42Z instance=a-1 event=job-accepted id=0000000000000001 request=q2
time=2026-09-14T10:04:08.60Z instance=a-1 event=worker-silent id=w-2 misses=1
time=2026-09-14T10:04:08.61Z instance=a-1 event=worker-silent id=w-3 misses=1
`
)

// The command explain prints the lines about a request in order of time, from the logs
// of several instances, and finds them by the job's ID or by the caller's request ID.
func TestExplainSortsLinesOfRequest(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	files := []string{filepath.Join(dir, "a-2.log"), filepath.Join(dir, "a-1.log")}
	for n, text := range []string{receiverLines, leaderLines} {
		is.NoErr(os.WriteFile(files[n], []byte(text), 0o600))
	}
	var out, errs strings.Builder
	env := environment{stdout: &out, stderr: &errs}
	is.Equal(run(append([]string{"explain", "4591c4dd2d221791"}, files...), env), exitDone)
	byJob := out.String()
	out.Reset()
	is.Equal(run(append([]string{"explain", "q1"}, files...), env), exitDone)
	is.Equal(out.String(), byJob) // the caller's request ID selects the same lines
	var events []string
	for line := range strings.Lines(out.String()) {
		is.True(strings.HasPrefix(line, "time="))
		_, rest, _ := strings.Cut(line, "event=")
		event, _, _ := strings.Cut(rest, " ")
		events = append(events, event)
	}
	// No line of another request or another worker, and no later state event.
	is.Equal(events, []string{"job-accepted", "tasks-started", "worker-silent", "leader-lost", "job-answered"})

	is.Equal(run([]string{"explain", "ffffffffffffffff", files[0]}, env), exitUnknown)
	is.True(strings.Contains(errs.String(), "no line is about request ffffffffffffffff"))
	is.Equal(run([]string{"explain", "ffffffffffffffff", filepath.Join(dir, "none")}, env), exitUsage)
	is.Equal(run([]string{"explain"}, env), exitUsage)
}

// TestExplainFollowsARedirectedJob guards the lines about a job that was redirected: those of
// the receiver and of the leaders of both zones, and the loss of the second leader.
func TestExplainFollowsARedirectedJob(t *testing.T) {
	is := is.New(t)
	lines := func(text string) []logEntry {
		entries, err := parseLog(strings.NewReader(text))
		is.NoErr(err)
		return entries
	}
	const id = "4591c4dd2d221791"
	receiver := lines(`time=2026-09-14T10:04:08.40Z instance=a-2 event=job-accepted id=4591c4dd2d221791 request=q1 leader=10.1.0.7:70
time=2026-09-14T10:04:08.90Z instance=a-2 event=leader-lost id=b leader=10.2.0.7:70 heard=450ms
time=2026-09-14T10:04:10.40Z instance=a-2 event=job-redirect-returned id=4591c4dd2d221791 from=b to=a reason=no-leader
time=2026-09-14T10:04:10.70Z instance=a-2 event=job-answered id=4591c4dd2d221791 state=completed
`)
	home := lines(`time=2026-09-14T10:04:08.42Z instance=a-1 event=job-redirected id=4591c4dd2d221791 from=a to=b reason=later-start
time=2026-09-14T10:04:10.41Z instance=a-1 event=tasks-started id=4591c4dd2d221791 runs=0.0#65@w-1
`)
	other := lines(`time=2026-09-14T10:04:08.43Z instance=b-1 event=job-redirect-accepted id=4591c4dd2d221791 from=a to=b
time=2026-09-14T10:04:08.44Z instance=b-1 event=tasks-started id=4591c4dd2d221791 runs=0.0#1@w-9
time=2026-09-14T10:04:08.45Z instance=b-1 event=ended id=b-1
`)
	var events []string
	for _, e := range explain(id, slices.Concat(receiver, home, other)) {
		events = append(events, e.event)
	}
	is.Equal(events, []string{
		"job-accepted", "job-redirected", "job-redirect-accepted", "tasks-started", "ended", "leader-lost",
		"job-redirect-returned", "tasks-started", "job-answered",
	})
}
