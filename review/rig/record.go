package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// A recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func newRecorder(out io.Writer) *recorder { return &recorder{start: time.Now(), out: out} }

// note writes one line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
