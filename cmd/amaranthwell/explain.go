package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

const (
	// stateEventsBefore is how long before the first line about a request the state
	// events begin that are shown.
	stateEventsBefore = 2 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// stateEvents are the events of an instance that affect all requests, such as a
// change of the leader or of the configuration.
var stateEvents = []string{
	"started", "leaving", "ended", "process-paused", "leader", "leader-lost", "zone-leadership-started", "zone-leadership-ended", "zone-drained", "zone-returned", "fenced",
	"store-lost", "store-regained", "configuration", "log-lines-dropped", "log-jobs-left-out", "log-lines-left-out",
}

// workerEvents are the events of a worker that affect the requests whose tasks it
// ran.
var workerEvents = []string{
	"worker", "worker-unlisted", "worker-taken-over", "worker-silent", "worker-back", "worker-excluded", "command-failed",
}

// explainCommand prints the log lines about one request in order of time.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"the job's ID, which ends the request's path, or the caller's Request-Id"`
		Files []string `positional-arg-name:"FILE" description:"logs of the instances"`
	} `positional-args:"yes" required:"yes"`
	env environment
}

// Execute prints the lines about the request and the state events around it.
func (c *explainCommand) Execute([]string) error {
	var entries []logEntry
	for _, name := range c.Args.Files {
		more, err := readLog(name)
		if err != nil {
			return &fileError{err: err}
		}
		entries = append(entries, more...)
	}
	lines := explain(c.Args.ID, entries)
	if len(lines) == 0 {
		return &noLinesError{id: c.Args.ID}
	}
	for _, e := range lines {
		fmt.Fprintln(c.env.stdout, e.text)
	}
	return nil
}

// A noLinesError reports a request that no log line is about.
type noLinesError struct{ id string }

// Error returns a message with the ID of the request.
func (e *noLinesError) Error() string { return "no line is about request " + e.id }

// A logEntry is one line of an instance's log.
type logEntry struct {
	at time.Time
	// id names what the event is about, such as the ID of a job or of a worker, or the
	// path of a refused request.
	event, id string
	// request is the Request-Id that the caller gave the request.
	request string
	// worker is the ID of the worker that the line names, or empty.
	worker string
	// runs lists the runs that were started, each as step.task#run@worker, separated
	// by spaces.
	runs string
	text string
}

// readLog reads the lines of the log file name that have a time and an event.
func readLog(name string) ([]logEntry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parseLog(file)
}

// parseLog reads the lines that have a time and an event. It removes the prefix
// that log collectors put before the time.
func parseLog(r io.Reader) ([]logEntry, error) {
	var entries []logEntry
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		start := strings.Index(lines.Text(), "time=")
		if start < 0 {
			continue
		}
		if e, ok := parseLine(lines.Text()[start:]); ok {
			entries = append(entries, e)
		}
	}
	return entries, errors.Wrap(lines.Err(), "read a log")
}

// parseLine parses a line that begins with its time. It returns false if the line is
// malformed or has no time or no event.
func parseLine(text string) (logEntry, bool) {
	e := logEntry{text: text}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			value := string(decoder.Value())
			switch string(decoder.Key()) {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return e, false
				}
				e.at = at
			case "event":
				e.event = value
			case "id":
				e.id = value
			case "request":
				e.request = value
			case "worker":
				e.worker = value
			case "runs":
				e.runs = value
			}
		}
	}
	return e, decoder.Err() == nil && e.event != "" && !e.at.IsZero()
}

// concerns reports whether the line is about the job with the given ID, or about a
// refused request whose path ends with it.
func (e logEntry) concerns(id string) bool {
	return e.id == id || (strings.HasPrefix(e.id, "/") && strings.HasSuffix(e.id, "/"+id))
}

// resolveID returns the ID of the job that was submitted with the Request-Id id. If no
// line has that Request-Id, it returns id.
func resolveID(id string, entries []logEntry) string {
	for _, e := range entries {
		if e.request == id && e.request != "" {
			return e.id
		}
	}
	return id
}

// workers returns the IDs of the workers in the line.
func (e logEntry) workers() []string {
	var all []string
	if e.worker != "" {
		all = append(all, e.worker)
	}
	for run := range strings.FieldsSeq(e.runs) {
		if _, worker, ok := strings.Cut(run, "@"); ok {
			all = append(all, worker)
		}
	}
	return all
}

// explain returns the lines about a request in order of time, with the state events
// around it and the events of the workers that ran its tasks. The events start
// stateEventsBefore before the first line of the request and end with its last line.
func explain(id string, entries []logEntry) []logEntry {
	id = resolveID(id, entries)
	var first, last time.Time
	workers := make(map[string]bool)
	for _, e := range entries {
		if !e.concerns(id) {
			continue
		}
		if first.IsZero() || e.at.Before(first) {
			first = e.at
		}
		if e.at.After(last) {
			last = e.at
		}
		for _, w := range e.workers() {
			workers[w] = true
		}
	}
	var lines []logEntry
	for _, e := range entries {
		during := !first.IsZero() && !e.at.Before(first.Add(-stateEventsBefore)) && !e.at.After(last)
		stateEvent := slices.Contains(stateEvents, e.event) || (workers[e.id] && slices.Contains(workerEvents, e.event))
		if e.concerns(id) || (during && stateEvent) {
			lines = append(lines, e)
		}
	}
	slices.SortStableFunc(lines, func(a, b logEntry) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return lines
}
