package entry

// A jobHeap holds jobs, the one that is due first at its top, as a heap of the
// package container/heap.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(a, b int) bool {
	if c := h[a].due.Compare(h[b].due); c != 0 {
		return c < 0
	}
	return compareKeys(h[a].key, h[b].key) < 0
}

func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].at, h[b].at = a, b
}

// Push appends a *job.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.at = len(*h)
	*h = append(*h, j)
}

// Pop removes the last job and returns it.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}
