package main

import "sync"

// waiters holds the callers that wait for an answer, by ID. It is safe for
// concurrent use.
type waiters[ID ~uint64, A any] struct {
	mu sync.Mutex
	// lastID is the ID of the caller that was added last.
	lastID  ID
	waiting map[ID]chan A
}

func newWaiters[ID ~uint64, A any]() *waiters[ID, A] {
	return &waiters[ID, A]{waiting: make(map[ID]chan A)}
}

// add adds a caller. It returns the ID of the caller and the channel for its answer.
func (w *waiters[ID, A]) add() (ID, <-chan A) {
	answers := make(chan A, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	w.waiting[w.lastID] = answers
	return w.lastID, answers
}

// answer sends an answer to a waiting caller. It does nothing if the caller was removed.
func (w *waiters[ID, A]) answer(id ID, a A) {
	if answers := w.remove(id); answers != nil {
		answers <- a
	}
}

// remove removes a caller and returns its channel, or nil if it was removed before.
func (w *waiters[ID, A]) remove(id ID) chan A {
	w.mu.Lock()
	defer w.mu.Unlock()
	answers := w.waiting[id]
	delete(w.waiting, id)
	return answers
}
