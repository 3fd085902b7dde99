package main

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

// auditCommand prints the changes of the configuration.
type auditCommand struct {
	logOptions
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"Time after which to give up"`
	env     environment
}

// Execute runs the command.
func (c *auditCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	log, err := c.env.newLog(c.Log)
	if err != nil {
		return err
	}
	reader, decisions, err := operator.ReadAll(ctx, log)
	if err != nil {
		return err
	}
	for _, d := range mergeDecisions(reader.State().RecentDecisions(), decisions) {
		fmt.Fprintln(c.env.stdout, formatDecision(d))
	}
	if n := reader.State().Mismatches(); n > 0 {
		fmt.Fprintf(c.env.stdout, "%d snapshots in the log differ from the edits before them\n", n)
	}
	return nil
}

// mergeDecisions returns the decisions that a snapshot remembers on edits before the
// first record that was read, followed by the decisions on the records that were read.
// It omits the records that are snapshots.
func mergeDecisions(fromSnapshot, read []operator.Decision) []operator.Decision {
	var out []operator.Decision
	for _, d := range fromSnapshot {
		if len(read) == 0 || d.Offset < recordOffset(read[0]) {
			out = append(out, d)
		}
	}
	for _, d := range read {
		if d.Outcome != operator.Noted {
			out = append(out, d)
		}
	}
	return out
}

// recordOffset returns the offset of the record that d is about.
func recordOffset(d operator.Decision) uint64 {
	return max(d.Offset, d.CopyOffset)
}

// formatDecision returns the line that audit prints about a decision.
func formatDecision(d operator.Decision) string {
	if d.Reason == operator.Malformed {
		return fmt.Sprintf("offset %d: refused: %s: %s", d.Offset, d.Reason, d.Detail)
	}
	text := fmt.Sprintf("offset %d: %s by %s, edit %v, from revision %d: ",
		recordOffset(d), d.At.Format(time.RFC3339), d.Author, d.EditID, d.Base)
	if d.CopyOffset > 0 {
		return text + fmt.Sprintf("copy of the edit at offset %d, which was %s", d.Offset, d.Outcome)
	}
	if d.Outcome == operator.Accepted {
		return text + fmt.Sprintf("accepted as revision %d: %s", d.Revision, d.Changes)
	}
	text += fmt.Sprintf("refused: %s; revision %d by %s stays", d.Reason, d.Revision, d.RevisionAuthor)
	if d.Detail != "" {
		text += ": " + d.Detail
	}
	return text
}
