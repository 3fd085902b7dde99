package operator

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// A File is a TOML file of routes, pools or both, or of settings.
type File struct {
	// Name names the file in problems.
	Name string
	// Body is the file's content.
	Body []byte
}

// A Problem is one thing wrong with tables or settings.
type Problem struct {
	// File names the file, or is empty if there is none.
	File string
	// Key names the row and the key, such as "routes.previews.share". A row
	// without a valid name is named by its number from 1, such as
	// "routes[2]".
	Key string
	// Reason is what is wrong with the row or the key's value.
	Reason string
}

// String returns the problem as "file: key: reason" without empty parts.
func (p Problem) String() string {
	parts := []string{}
	for _, part := range []string{p.File, p.Key, p.Reason} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// A CheckError lists the problems of the files or rows that were checked.
type CheckError struct {
	// Problems holds at least one problem.
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ParseTables returns the tables that files hold together, or a *CheckError with
// every problem. If a file is not TOML or has a value of the wrong type, only the
// first problem of that file is listed, and problems that its rows might solve, such
// as an unknown pool, are not reported.
func ParseTables(files ...File) (*Tables, error) {
	c := &checker{}
	var rows locatedRows
	for _, f := range files {
		var d document
		problems, complete := decodeTOML(f, &d)
		c.problems = append(c.problems, problems...)
		if !complete {
			c.partial = true
			continue
		}
		rows = rows.append(locateRows(f.Name, d))
	}
	return c.tables(rows)
}

// decodeTOML decodes f into value and returns a problem for each unknown key.
// complete reports whether all known keys were decoded.
func decodeTOML(f File, value any) (problems []Problem, complete bool) {
	decoder := toml.NewDecoder(bytes.NewReader(f.Body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return nil, true
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for i := range missing.Errors {
			problems = append(problems, newDecodeProblem(f.Name, &missing.Errors[i], "unknown key"))
		}
		return problems, true
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return []Problem{newDecodeProblem(f.Name, wrong, strings.TrimPrefix(wrong.Error(), "toml: "))}, false
	}
	return []Problem{{File: f.Name, Reason: err.Error()}}, false
}

func newDecodeProblem(file string, err *toml.DecodeError, reason string) Problem {
	row, column := err.Position()
	return Problem{
		File:   file,
		Key:    strings.Join(err.Key(), "."),
		Reason: fmt.Sprintf("line %d, column %d: %s", row, column, reason),
	}
}
