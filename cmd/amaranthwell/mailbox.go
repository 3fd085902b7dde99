package main

import "time"

// Sizes of a mailbox.
const (
	// maxEvents is the maximum number of queued events that handleWaiting handles
	// before their effects are carried out.
	maxEvents = 512
	// eventCapacity is the number of events that can be queued.
	eventCapacity = 4096
)

// A mailbox queues events for the control goroutine, which owns an instance.
type mailbox[I any] struct {
	events chan func(now time.Time, i I)
	// stopped is closed when the control goroutine returns.
	stopped chan struct{}
}

func newMailbox[I any]() mailbox[I] {
	return mailbox[I]{events: make(chan func(time.Time, I), eventCapacity), stopped: make(chan struct{})}
}

// post queues an event for the control goroutine. It blocks while the queue is full,
// and drops the event if the goroutine has stopped.
func (m mailbox[I]) post(event func(now time.Time, i I)) {
	select {
	case m.events <- event:
	case <-m.stopped:
	}
}

// call queues an event for the control goroutine and waits until it was handled. It
// returns false if the goroutine has stopped.
func (m mailbox[I]) call(event func(now time.Time, i I)) bool {
	done := make(chan struct{})
	m.post(func(now time.Time, i I) {
		event(now, i)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-m.stopped:
		return false
	}
}

// handleWaiting handles up to maxEvents events that are already queued, so that
// their effects are carried out together. Only the control goroutine calls it.
func (m mailbox[I]) handleWaiting(now time.Time, i I) {
	for range maxEvents {
		select {
		case event := <-m.events:
			event(now, i)
		default:
			return
		}
	}
}
