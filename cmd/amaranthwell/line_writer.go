package main

import (
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// lineCapacity is the number of log lines that can be queued for a slow output.
	lineCapacity = 2048
	// batchBytes is the size from which no further line is added to a batch.
	batchBytes = 16 << 10
)

// lineWriter writes lines in the background. If its queue is full, it drops and counts
// lines instead of blocking.
type lineWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// newLineWriter returns a lineWriter to out. Its goroutine runs until the process
// exits.
func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, lineCapacity)}
	go func() {
		for line := range w.lines {
			batch := w.appendWaiting(line)
			if n := w.dropped.Swap(0); n > 0 {
				batch = append(batch, "event=log-lines-dropped count="+strconv.FormatUint(n, 10)+"\n"...)
			}
			// A failure to write the log cannot be reported anywhere.
			_, _ = out.Write(batch)
		}
	}()
	return w
}

// appendWaiting appends queued lines to batch.
func (w *lineWriter) appendWaiting(batch []byte) []byte {
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

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
