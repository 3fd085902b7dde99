//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file in which a case notes what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// note adds a line that begins with the time since the start of the case.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close writes the file and closes it.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
