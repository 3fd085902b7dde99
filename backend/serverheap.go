package backend

// notInHeap is the position of a server that is not in the heap.
const notInHeap = -1

// A serverHeap is a heap of the servers that can run one more task of a
// demand, the one with the earliest expected finish first.
type serverHeap struct {
	demand  demand
	index   int
	servers []*server
}

// first returns the server with the earliest expected finish, or nil.
func (h *serverHeap) first() *server {
	if len(h.servers) == 0 {
		return nil
	}
	return h.servers[0]
}

// update adds s, moves it to its position or removes it, after a change of s.
// The parameter open reports whether s can run one more task.
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

// down moves the server at the position down, and reports whether it moved.
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
