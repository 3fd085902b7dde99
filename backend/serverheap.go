package backend

// notInHeap is the position of a server that is not in the heap.
const notInHeap = -1

// A serverHeap is a heap of the servers that can run one more task with a given
// demand. The server on which the task is expected to finish first is the root.
type serverHeap struct {
	demand demand
	// index is the position of the heap in dispatcher.heaps.
	index   int
	servers []*server
}

// first returns the server on which a task is expected to finish first, or nil
// if the heap is empty.
func (h *serverHeap) first() *server {
	if len(h.servers) == 0 {
		return nil
	}
	return h.servers[0]
}

// update restores the heap after a change of s: if open is true, that is, if s
// can run one more task, it adds s or moves it to its new position; otherwise
// it removes s.
func (h *serverHeap) update(s *server, open bool) {
	at := int(s.positions[h.index])
	switch {
	case open && at == notInHeap:
		h.servers = append(h.servers, s)
		h.set(len(h.servers)-1, s)
		h.up(len(h.servers) - 1)
	case open:
		h.fix(at)
	case at != notInHeap:
		h.remove(at)
	}
}

func (h *serverHeap) remove(at int) {
	last := len(h.servers) - 1
	h.servers[at].positions[h.index] = notInHeap
	moved := h.servers[last]
	h.servers = h.servers[:last]
	if at != last {
		h.set(at, moved)
		h.fix(at)
	}
}

func (h *serverHeap) fix(at int) {
	if !h.down(at) {
		h.up(at)
	}
}

func (h *serverHeap) set(at int, s *server) {
	h.servers[at] = s
	s.positions[h.index] = int32(at)
}

func (h *serverHeap) swap(i, j int) {
	a, b := h.servers[i], h.servers[j]
	h.set(i, b)
	h.set(j, a)
}

func (h *serverHeap) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !faster(h.servers[at], h.servers[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

// down moves the server at position at towards the leaves until no child of it
// is faster. It returns true if the server has moved.
func (h *serverHeap) down(at int) bool {
	start := at
	for {
		child := 2*at + 1
		if child >= len(h.servers) {
			break
		}
		if child+1 < len(h.servers) && faster(h.servers[child+1], h.servers[child]) {
			child++
		}
		if !faster(h.servers[child], h.servers[at]) {
			break
		}
		h.swap(at, child)
		at = child
	}
	return at != start
}
