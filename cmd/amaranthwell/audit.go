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
	for _, v := range mergeDecisions(reader.State().RecentDecisions(), decisions) {
		fmt.Fprintln(c.env.stdout, formatDecision(v))
	}
	if n := reader.State().Mismatches(); n > 0 {
		fmt.Fprintf(c.env.stdout, "%d snapshots in the log differ from the edits before them\n", n)
	}
	return nil
}

// mergeDecisions returns the decisions that a snapshot remembers about edits before the
// first record that was read, followed by the decisions on the records that were read.
// It omits the records that are snapshots.
func mergeDecisions(remembered, read []operator.Decision) []operator.Decision {
	var out []operator.Decision
	for _, v := range remembered {
		if len(read) == 0 || v.Offset < recordOffset(read[0]) {
			out = append(out, v)
		}
	}
	for _, v := range read {
		if v.Outcome != operator.Noted {
			out = append(out, v)
		}
	}
	return out
}

// recordOffset returns the offset of the record that v is about.
func recordOffset(v operator.Decision) uint64 {
	return max(v.Offset, v.CopyOffset)
}

// formatDecision returns the line that audit prints about a decision.
func formatDecision(v operator.Decision) string {
	if v.Reason == operator.Malformed {
		return fmt.Sprintf("offset %d: refused: %s: %s", v.Offset, v.Reason, v.Detail)
	}
	text := fmt.Sprintf("offset %d: %s by %s, edit %v, from revision %d: ",
		recordOffset(v), v.At.Format(time.RFC3339), v.Author, v.EditID, v.Base)
	if v.CopyOffset > 0 {
		return text + fmt.Sprintf("copy of the edit at offset %d, which was %s", v.Offset, v.Outcome)
	}
	if v.Outcome == operator.Accepted {
		return text + fmt.Sprintf("accepted as revision %d: %s", v.Revision, v.Changes)
	}
	text += fmt.Sprintf("refused: %s; revision %d by %s stays", v.Reason, v.Revision, v.RevisionAuthor)
	if v.Detail != "" {
		text += ": " + v.Detail
	}
	return text
}
