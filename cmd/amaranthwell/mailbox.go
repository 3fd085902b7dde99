package main

import "time"

// Sizes of a mailbox.
const (
	// maxEvents is the number of events that are taken before what they
	// call for is done.
	maxEvents = 512
	// eventCapacity is the number of events that may wait.
	eventCapacity = 4096
)

// A mailbox carries events to the one goroutine that owns an instance.
type mailbox[I any] struct {
	events  chan func(now time.Time, i I)
	stopped chan struct{}
}

func newMailbox[I any]() mailbox[I] {
	return mailbox[I]{events: make(chan func(time.Time, I), eventCapacity), stopped: make(chan struct{})}
}

// do hands an event to the goroutine.
func (m mailbox[I]) do(event func(now time.Time, i I)) {
	select {
	case m.events <- event:
	case <-m.stopped:
	}
}

// ask hands an event to the goroutine and waits until it was taken. It reports
// whether it was.
func (m mailbox[I]) ask(event func(now time.Time, i I)) bool {
	done := make(chan struct{})
	m.do(func(now time.Time, i I) {
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

// takeMore takes the events that already wait, so that what they call for is
// done together. Only the goroutine calls it.
func (m mailbox[I]) takeMore(now time.Time, i I) {
	for range maxEvents {
		select {
		case event := <-m.events:
			event(now, i)
		default:
			return
		}
	}
}
