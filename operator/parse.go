package operator

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// A File is a TOML file of routes, pools or both.
type File struct {
	// Name names the file in faults.
	Name string
	// Body is the file's content.
	Body []byte
}

// A Problem is one thing wrong with tables or settings.
type Problem struct {
	// File names the file, or is empty if there is none.
	File string
	// Key names the row and the key, as "routes.previews.share". A row
	// without a usable name is named by its number from 1, as "routes[2]".
	Key string
	// Reason says what is wrong with it.
	Reason string
}

// String returns the fault as "file: key: reason".
func (f Problem) String() string {
	parts := []string{}
	for _, part := range []string{f.File, f.Key, f.Reason} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// A CheckError lists every fault of the files or rows that were checked.
type CheckError struct {
	Problems []Problem
}

// Error returns the faults, one a line.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, f := range e.Problems {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// ParseTables returns the tables that files hold together. It returns a
// *CheckError with every fault if there is any. Of a file that is not TOML, or
// that has a value of the wrong type, only the first such fault is listed, and
// what other files need of it is not checked.
func ParseTables(files ...File) (*Tables, error) {
	c := &checker{}
	var rows placedRows
	for _, f := range files {
		var d document
		faults, whole := decodeTOML(f, &d)
		c.faults = append(c.faults, faults...)
		if !whole {
			c.partial = true
			continue
		}
		rows = rows.append(placeRows(f.Name, d))
	}
	return c.tables(rows)
}

// decodeTOML decodes a file in which unknown keys are faults. It reports
// whether all keys that are known were decoded.
func decodeTOML(f File, value any) (faults []Problem, whole bool) {
	decoder := toml.NewDecoder(bytes.NewReader(f.Body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		return nil, true
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for i := range missing.Errors {
			faults = append(faults, decodeFault(f.Name, &missing.Errors[i], "unknown key"))
		}
		return faults, true
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return []Problem{decodeFault(f.Name, wrong, strings.TrimPrefix(wrong.Error(), "toml: "))}, false
	}
	return []Problem{{File: f.Name, Reason: err.Error()}}, false
}

func decodeFault(file string, err *toml.DecodeError, reason string) Problem {
	row, column := err.Position()
	return Problem{
		File:   file,
		Key:    strings.Join(err.Key(), "."),
		Reason: fmt.Sprintf("line %d, column %d: %s", row, column, reason),
	}
}
