package backend

// notInHeap is the position of a server that is not on a shelf.
const notInHeap = -1

// A serverHeap is a heap of the servers that can take one more task of a demand,
// the one with the least expected finish first.
type serverHeap struct {
	demand  demand
	index   int
	servers []*server
}

// first returns the server with the least expected finish, or nil.
func (f *serverHeap) first() *server {
	if len(f.servers) == 0 {
		return nil
	}
	return f.servers[0]
}

// update puts s where it belongs after a change, or takes it off the shelf.
func (f *serverHeap) update(s *server, open bool) {
	at := int(s.positions[f.index])
	switch {
	case open && at == notInHeap:
		f.servers = append(f.servers, s)
		f.set(len(f.servers)-1, s)
		f.up(len(f.servers) - 1)
	case open:
		f.fix(at)
	case at != notInHeap:
		f.remove(at)
	}
}

func (f *serverHeap) remove(at int) {
	last := len(f.servers) - 1
	f.servers[at].positions[f.index] = notInHeap
	moved := f.servers[last]
	f.servers = f.servers[:last]
	if at != last {
		f.set(at, moved)
		f.fix(at)
	}
}

func (f *serverHeap) fix(at int) {
	if !f.down(at) {
		f.up(at)
	}
}

func (f *serverHeap) set(at int, s *server) {
	f.servers[at] = s
	s.positions[f.index] = int32(at)
}

func (f *serverHeap) swap(i, j int) {
	a, b := f.servers[i], f.servers[j]
	f.set(i, b)
	f.set(j, a)
}

func (f *serverHeap) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !faster(f.servers[at], f.servers[parent]) {
			return
		}
		f.swap(at, parent)
		at = parent
	}
}

// down reports whether it moved the server at the position.
func (f *serverHeap) down(at int) bool {
	start := at
	for {
		child := 2*at + 1
		if child >= len(f.servers) {
			break
		}
		if child+1 < len(f.servers) && faster(f.servers[child+1], f.servers[child]) {
			child++
		}
		if !faster(f.servers[child], f.servers[at]) {
			break
		}
		f.swap(at, child)
		at = child
	}
	return at != start
}
