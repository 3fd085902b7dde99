package naive

import (
	"context"
	"sync"
)

// A task is one task of a job and its result.
type task struct {
	// ctx ends when the job has ended, has timed out or was cancelled, or when its
	// caller has disconnected.
	ctx     context.Context
	key     string
	route   string
	index   int
	payload []byte
	// result and err are set before done is called. done is called exactly
	// once.
	result []byte
	err    error
	done   func()
}

// A queue is an unbounded first-in, first-out queue of tasks. It is safe for
// concurrent use.
type queue struct {
	mu       sync.Mutex
	notEmpty *sync.Cond
	tasks    []*task
	closed   bool
}

func newQueue() *queue {
	q := new(queue)
	q.notEmpty = sync.NewCond(&q.mu)
	return q
}

// push appends tasks to the queue.
func (q *queue) push(tasks []*task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tasks = append(q.tasks, tasks...)
	q.notEmpty.Broadcast()
}

// pop removes and returns the oldest task, and blocks while the queue is empty.
// It returns false once the queue is closed and empty.
func (q *queue) pop() (*task, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.tasks) == 0 && !q.closed {
		q.notEmpty.Wait()
	}
	if len(q.tasks) == 0 {
		return nil, false
	}
	t := q.tasks[0]
	q.tasks[0] = nil
	q.tasks = q.tasks[1:]
	return t, true
}

// close makes pop return false once the queue is empty.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notEmpty.Broadcast()
}
