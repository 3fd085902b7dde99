package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthwell/amaranthwell/caller"
)

// submitGrace is the time after the job's timeout for which the command still waits for
// the answer.
const submitGrace = time.Second

// submitCommand submits one job and prints a summary of its answer.
type submitCommand struct {
	Entries []string      `long:"entry" value-name:"URL" required:"true" description:"URL of the callers' port of an entry instance; may be repeated"`
	Route   string        `long:"route" value-name:"NAME" required:"true" description:"route of the job"`
	Tasks   int           `long:"tasks" value-name:"N" default:"1" description:"number of tasks"`
	Payload string        `long:"payload" value-name:"TEXT" description:"payload of each task"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"time after which the answer is no longer wanted"`
	Key     string        `long:"key" value-name:"KEY" description:"key of an earlier submission of the same job, to get its answer"`
	// stdout receives the summary. Nil means the standard output.
	stdout io.Writer
}

// An incompleteError reports a job that did not complete.
type incompleteError struct {
	answer caller.Answer
}

// Error returns a message with the key, status, reason and message of the answer.
func (e *incompleteError) Error() string {
	return fmt.Sprintf("job %s is %s (%s): %s", e.answer.Key, e.answer.Status, e.answer.Reason, e.answer.Message)
}

// Execute submits the job. It returns an error unless the job completed.
func (c *submitCommand) Execute([]string) error {
	job, err := c.job()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	start := time.Now()
	answer, err := client.Submit(context.Background(), job, caller.RetryPolicy{})
	if err != nil {
		return err
	}
	c.print(answer, time.Since(start))
	if answer.Status != caller.Complete {
		return &incompleteError{answer: answer}
	}
	return nil
}

// job returns the job that the options describe.
func (c *submitCommand) job() (caller.Job, error) {
	if c.Tasks < 1 || c.Tasks > caller.MaxTasks {
		return caller.Job{}, usageError(fmt.Sprintf("--tasks must be in [1, %d]", caller.MaxTasks))
	}
	if c.Timeout <= 0 {
		return caller.Job{}, usageError("--timeout must be positive")
	}
	job := caller.Job{Route: c.Route, Timeout: c.Timeout, Tasks: make([][]byte, c.Tasks)}
	for i := range job.Tasks {
		job.Tasks[i] = []byte(c.Payload)
	}
	if c.Key == "" {
		return job, nil
	}
	key, err := caller.ParseKey(c.Key)
	if err != nil {
		return caller.Job{}, usageError("--key: " + err.Error())
	}
	job.Key = key
	return job, nil
}

// usageError returns an error that reports an invalid command line.
func usageError(message string) error {
	return &flags.Error{Type: flags.ErrInvalidChoice, Message: message}
}

// client returns a client that tries the entries in random order.
func (c *submitCommand) client() (*caller.Client, error) {
	entries := make([]*url.URL, len(c.Entries))
	for i, text := range c.Entries {
		entry, err := url.Parse(text)
		if err != nil {
			return nil, usageError("--entry: " + err.Error())
		}
		entries[i] = entry
	}
	return caller.NewClient(caller.ClientConfig{
		Entries:      entries,
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		KeyBatchSize: 1,
		GracePeriod:  submitGrace,
	})
}

// print prints the summary of answer on one line.
func (c *submitCommand) print(answer caller.Answer, took time.Duration) {
	out := c.stdout
	if out == nil {
		out = os.Stdout
	}
	reason := ""
	if answer.Reason != "" {
		reason = fmt.Sprintf(" reason=%s", answer.Reason)
	}
	_, _ = fmt.Fprintf(out, "job %s status=%s%s tasks=%d took=%s\n",
		answer.Key, answer.Status, reason, c.Tasks, took.Round(time.Microsecond))
}
