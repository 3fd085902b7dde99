package naive

import (
	"context"
	"sync"
)

// A task is one task of a job, with what became of it.
type task struct {
	// ctx ends when the job's answer is no longer wanted.
	ctx     context.Context
	key     string
	route   string
	index   int
	payload []byte
	// result and err are set before done is called.
	result []byte
	err    error
	done   func()
}

// A queue holds tasks in their order of arrival, without a bound.
type queue struct {
	mu     sync.Mutex
	filled *sync.Cond
	tasks  []*task
	closed bool
}

func newQueue() *queue {
	q := new(queue)
	q.filled = sync.NewCond(&q.mu)
	return q
}

// push appends tasks.
func (q *queue) push(tasks []*task) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tasks = append(q.tasks, tasks...)
	q.filled.Broadcast()
}

// pop waits for the oldest task and removes it. It returns false once the
// queue is closed and empty.
func (q *queue) pop() (*task, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.tasks) == 0 && !q.closed {
		q.filled.Wait()
	}
	if len(q.tasks) == 0 {
		return nil, false
	}
	t := q.tasks[0]
	q.tasks[0] = nil
	q.tasks = q.tasks[1:]
	return t, true
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.filled.Broadcast()
}
