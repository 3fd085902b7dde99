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

// checkCommand checks files of tables.
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
	fmt.Fprintf(c.env.stdout, "valid: %s\n", tableSummary(tables))
	return nil
}

// A fileError reports a file that cannot be read.
type fileError struct {
	err error
}

// Error returns the message of the cause.
func (e *fileError) Error() string {
	return e.err.Error()
}

// readTables parses the files at paths together as one set of tables.
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

// tableSummary returns the numbers of routes, pools and servers in t.
func tableSummary(t *operator.Tables) string {
	servers := 0
	for _, p := range t.Pools {
		servers += len(p.Servers)
	}
	return fmt.Sprintf("%d routes, %d pools, %d servers", len(t.Routes), len(t.Pools), servers)
}
