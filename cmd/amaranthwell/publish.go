package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"github.com/amaranthwell/amaranthwell/operator"
)

// retryPause is the time between attempts to publish.
const retryPause = time.Second

// publishCommand publishes tables as the new configuration.
type publishCommand struct {
	logOptions
	Author    string        `long:"author" value-name:"NAME" required:"true" description:"Name of the edit's author"`
	Base      *uint64       `long:"base" value-name:"REVISION" description:"Revision that the edit was made from; default: the current revision of the log"`
	Reset     bool          `long:"reset" description:"Publish regardless of the current revision, for a log from which it can no longer be read"`
	EditID    string        `long:"edit-id" value-name:"ID" description:"ID of an edit whose outcome is unknown, to repeat it with the same --base; default: a new ID"`
	Timeout   time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"Time after which the outcome is reported as unknown"`
	Arguments fileArguments `positional-args:"true" required:"true"`
	env       environment
}

// A refusedError reports an edit that was refused.
type refusedError struct {
	decision operator.Decision
}

// Error returns the reason and the current revision.
func (e *refusedError) Error() string {
	d := e.decision
	text := "refused: " + string(d.Reason)
	if d.Detail != "" {
		text += ": " + d.Detail
	}
	if d.Revision == 0 {
		return text + "; there is no current revision"
	}
	return text + fmt.Sprintf("; the current revision is %d by %s", d.Revision, d.RevisionAuthor)
}

// Execute runs the command.
func (c *publishCommand) Execute([]string) error {
	if c.Reset && c.Base != nil {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "--reset and --base exclude each other"}
	}
	id, err := c.editID()
	if err != nil {
		return err
	}
	tables, err := readTables(c.Arguments.Files)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "edit-id: %v\n", id)
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	edit := operator.Edit{ID: id, Author: c.Author, At: time.Now(), Tables: tables}
	return c.publish(ctx, edit)
}

func (c *publishCommand) editID() (uuid.UUID, error) {
	if c.EditID == "" {
		return uuid.New(), nil
	}
	id, err := uuid.Parse(c.EditID)
	if err != nil || id == uuid.Nil {
		message := fmt.Sprintf("--edit-id %q is not a valid edit ID", c.EditID)
		return id, &flags.Error{Type: flags.ErrMarshal, Message: message}
	}
	return id, nil
}

// publish publishes edit repeatedly until the outcome is known or ctx ends.
func (c *publishCommand) publish(ctx context.Context, edit operator.Edit) error {
	log, err := c.env.newLog(c.Log)
	if err != nil {
		return err
	}
	for {
		d, err := c.attempt(ctx, log, &edit)
		if err == nil {
			return c.reportDecision(d)
		}
		var unknown *operator.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			return err
		}
		if !waitToRetry(ctx) {
			return errors.Wrap(err, c.repeatOptions(edit))
		}
		fmt.Fprintf(c.env.stderr, "trying again: %v\n", err)
	}
}

// repeatOptions returns a hint with the options that repeat edit.
func (c *publishCommand) repeatOptions(edit operator.Edit) string {
	text := fmt.Sprintf("repeat with --edit-id %v", edit.ID)
	if c.Base != nil {
		text += fmt.Sprintf(" --base %d", *c.Base)
	}
	return text
}

// attempt publishes edit once. If no base revision was given, it first reads the
// current one from the log.
func (c *publishCommand) attempt(ctx context.Context, log operator.Log, edit *operator.Edit) (operator.Decision, error) {
	if c.Reset {
		return operator.PublishReset(ctx, log, *edit)
	}
	if c.Base == nil {
		reader, _, err := operator.ReadAll(ctx, log)
		if err != nil {
			return operator.Decision{}, &operator.UnknownOutcomeError{EditID: edit.ID, Err: err}
		}
		base := reader.State().Revision()
		c.Base = &base
		fmt.Fprintf(c.env.stdout, "base: %d\n", base)
	}
	edit.Base = *c.Base
	return operator.Publish(ctx, log, *edit)
}

// waitToRetry waits for retryPause. It returns false if ctx ends first.
func waitToRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reportDecision prints an accepted edit, and returns a *refusedError for a refused one.
func (c *publishCommand) reportDecision(d operator.Decision) error {
	if d.Outcome != operator.Accepted {
		return &refusedError{decision: d}
	}
	fmt.Fprintf(c.env.stdout, "accepted: revision %d at offset %d: %s\n", d.Revision, d.Offset, d.Changes)
	return nil
}
