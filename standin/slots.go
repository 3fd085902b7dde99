package standin

import "slices"

// slots decides which accepted tasks of a backend server run and which wait.
// Its owner guards it.
type slots struct {
	size        int
	connections int

	running int
	waiting []*ticket
	// reserved counts the slots taken, running or about to.
	reserved int
}

// ticket is a waiting task's place; granted is closed when it gets a slot.
type ticket struct {
	granted chan struct{}
}

// open returns the number of requests that have been accepted.
func (s *slots) open() int {
	return s.reserved + len(s.waiting)
}

// accept takes in a request and returns its ticket, or nil if all connections
// are in use.
func (s *slots) accept() *ticket {
	if s.open() >= s.connections {
		return nil
	}
	t := &ticket{granted: make(chan struct{})}
	s.waiting = append(s.waiting, t)
	s.grant()
	return t
}

// grant gives idle slots to the tasks that have waited longest.
func (s *slots) grant() {
	for s.reserved < s.size && len(s.waiting) > 0 {
		s.reserved++
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
	}
}

// release gives a slot back.
func (s *slots) release() {
	s.reserved--
	s.grant()
}

// withdraw drops a task that has not started, whether it waits or has a slot.
func (s *slots) withdraw(t *ticket) {
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	s.release()
}
