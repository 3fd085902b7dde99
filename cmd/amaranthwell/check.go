package main

import (
	"fmt"
	"os"

	"github.com/amaranthwell/amaranthwell/operator"
)

// fileArguments are the files that a command reads.
type fileArguments struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// checkCommand checks tables.
type checkCommand struct {
	Arguments fileArguments `positional-args:"true" required:"true"`
	env       environment
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	tables, err := readTables(c.Arguments.Files)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "valid: %s\n", count(tables))
	return nil
}

// A fileError reports a file that cannot be read.
type fileError struct {
	err error
}

// Error returns the cause.
func (e *fileError) Error() string {
	return e.err.Error()
}

// readTables returns the tables that the files at paths hold together.
func readTables(paths []string) (*operator.Tables, error) {
	var files []operator.File
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, &fileError{err: err}
		}
		files = append(files, operator.File{Name: path, Body: body})
	}
	return operator.ParseTables(files...)
}

// count returns the numbers of rows of t.
func count(t *operator.Tables) string {
	servers := 0
	for _, p := range t.Pools {
		servers += len(p.Servers)
	}
	return fmt.Sprintf("%d routes, %d pools, %d servers", len(t.Routes), len(t.Pools), servers)
}
