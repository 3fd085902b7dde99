package standin

import "slices"

// slots determines which accepted tasks of a backend server run and which wait, in
// order of arrival. It is not safe for concurrent use.
type slots struct {
	// size is the number of slots, and connections the largest number of accepted
	// requests that have not ended.
	size        int
	connections int

	// running is the number of tasks that have started and not ended. The server
	// counts it.
	running int
	// waiting holds the tickets of the tasks without a slot, in order of arrival.
	waiting []*ticket
	// reserved is the number of slots in use by tasks that run or are about to
	// start.
	reserved int
}

// ticket is an accepted task's place in the queue; granted is closed when the task
// gets a slot.
type ticket struct {
	granted chan struct{}
}

// open returns the number of accepted requests that have not ended: those with a slot
// and those that wait.
func (s *slots) open() int {
	return s.reserved + len(s.waiting)
}

// accept returns a ticket for a new request, or nil if all connections are in use.
func (s *slots) accept() *ticket {
	if s.open() >= s.connections {
		return nil
	}
	t := &ticket{granted: make(chan struct{})}
	s.waiting = append(s.waiting, t)
	s.grant()
	return t
}

// grant assigns free slots to the tasks that have waited longest.
func (s *slots) grant() {
	for s.reserved < s.size && len(s.waiting) > 0 {
		s.reserved++
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
	}
}

// release frees a slot and assigns it to the next waiting task.
func (s *slots) release() {
	s.reserved--
	s.grant()
}

// withdraw drops a task that has not started, whether it waits or already has a
// slot.
func (s *slots) withdraw(t *ticket) {
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	s.release()
}
