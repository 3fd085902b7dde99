package entry

// A jobHeap is a heap of jobs for package container/heap. The job that is due
// first is its minimum.
type jobHeap []*job

// Len returns the number of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less orders jobs by their due times, then by their keys.
func (h jobHeap) Less(a, b int) bool {
	if c := h[a].due.Compare(h[b].due); c != 0 {
		return c < 0
	}
	return compareKeys(h[a].key, h[b].key) < 0
}

// Swap exchanges two jobs and updates their heapIndex.
func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push appends a *job.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
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
