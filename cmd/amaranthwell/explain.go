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
	// beliefsBefore is for how long before a request's first line the changes
	// of belief are shown.
	beliefsBefore = 2 * time.Second
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
)

// beliefs are the events, beside those of a request, that change what an
// instance goes by.
var beliefs = []string{
	"started", "leaving", "ended", "process-paused", "leader", "leader-lost", "zone-leadership-started", "zone-leadership-ended", "fenced",
	"store-lost", "store-regained", "configuration", "log-lines-dropped", "log-jobs-left-out", "log-lines-left-out",
}

// workerEvents are the events about a worker that matter to the requests that it
// ran tasks of.
var workerEvents = []string{
	"worker", "worker-unlisted", "worker-taken-over", "worker-silent", "worker-back", "worker-excluded", "order-failed",
}

// explainCommand puts the lines about one request in order.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"the job's ID, which ends the request's path, or the caller's Request-Id"`
		Files []string `positional-arg-name:"FILE" description:"logs of the instances"`
	} `positional-args:"yes" required:"yes"`
	env environment
}

// Execute prints the request's lines, and the beliefs of the time.
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
		return &unloggedError{id: c.Args.ID}
	}
	for _, e := range lines {
		fmt.Fprintln(c.env.stdout, e.text)
	}
	return nil
}

// An unloggedError reports a request that no line is about.
type unloggedError struct{ id string }

// Error names the request.
func (e *unloggedError) Error() string { return "no line is about request " + e.id }

// A logEntry is one line of an instance's log.
type logEntry struct {
	at        time.Time
	event, id string
	// request is the caller's own name of the request.
	request string
	worker  string
	// runs are the runs that were started, as the line names them.
	runs string
	text string
}

// readLog reads the lines of a log that have a time and an event.
func readLog(name string) ([]logEntry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return parseLog(file)
}

// parseLog reads the lines that have a time and an event. What stands before the
// time in a line, as collectors of logs put it there, is left out.
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

// about reports whether the line is about the job or the refused path with an ID.
func (e logEntry) about(id string) bool {
	return e.id == id || (strings.HasPrefix(e.id, "/") && strings.HasSuffix(e.id, "/"+id))
}

// jobOf returns the ID of the job of which id is the ID, or a caller's own name of
// a request.
func jobOf(id string, entries []logEntry) string {
	for _, e := range entries {
		if e.request == id && e.request != "" {
			return e.id
		}
	}
	return id
}

// workers returns the workers that the line names.
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

// explain returns the lines about a request in order of time, with the changes of
// belief of its time, and what was believed of the workers that it ran on.
func explain(id string, entries []logEntry) []logEntry {
	id = jobOf(id, entries)
	var first, last time.Time
	workers := make(map[string]bool)
	for _, e := range entries {
		if !e.about(id) {
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
		near := !first.IsZero() && !e.at.Before(first.Add(-beliefsBefore)) && !e.at.After(last)
		belief := slices.Contains(beliefs, e.event) || (workers[e.id] && slices.Contains(workerEvents, e.event))
		if e.about(id) || (near && belief) {
			lines = append(lines, e)
		}
	}
	slices.SortStableFunc(lines, func(a, b logEntry) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return lines
}
