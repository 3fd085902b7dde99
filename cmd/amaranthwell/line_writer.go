package main

import (
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// lineCapacity is the number of log lines that may wait for a slow output.
	lineCapacity = 2048
	// batchBytes is the size up to which waiting lines are written together.
	batchBytes = 16 << 10
)

// lineWriter writes lines in the background. It drops lines, and counts them,
// instead of blocking.
type lineWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// newLineWriter returns a lineWriter to out. Its goroutine lives as long as the
// process.
func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, lineCapacity)}
	go func() {
		for line := range w.lines {
			batch := w.more(line)
			if n := w.dropped.Swap(0); n > 0 {
				batch = append(batch, "event=log-lines-dropped count="+strconv.FormatUint(n, 10)+"\n"...)
			}
			// There is nowhere to report that the log cannot be written.
			_, _ = out.Write(batch)
		}
	}()
	return w
}

// more appends the lines that already wait to batch.
func (w *lineWriter) more(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write queues a line. It never fails.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
