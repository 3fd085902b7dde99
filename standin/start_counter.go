package standin

import (
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
)

const (
	// counterShards is the number of shards, each with its own lock, that the keys
	// of a StartCounter are distributed over.
	counterShards = 64
	// maxListedTwice is the largest number of tasks that a StartCounter lists as
	// started more than once.
	maxListedTwice = 20
	// maxIndex is the largest task index that a StartCounter accepts.
	maxIndex = 1<<16 - 1
)

// A TaskStarts is the number of starts of one task.
type TaskStarts struct {
	// Key is the submission key.
	Key string `json:"key"`
	// Index is the task's index in its submission.
	Index int `json:"index"`
	// Count is the number of starts, at most 255.
	Count int `json:"count"`
}

// A StartCounter counts the starts of each task, so that tests can check that no task
// starts twice. It is safe for concurrent use.
type StartCounter struct {
	seed   maphash.Seed
	shards [counterShards]counterShard

	started  atomic.Int64
	finished atomic.Int64

	mu sync.Mutex
	// startedTwice is the number of tasks that started more than once, and twice
	// lists the first of them, at most maxListedTwice, without their counts.
	startedTwice int64
	twice        []TaskStarts
}

// counterShard holds the start counts of the submission keys that hash to it. The count
// of a task is at its index in the slice of its key. Each count is one byte, so that a
// million tasks take little more than a megabyte.
type counterShard struct {
	mu     sync.Mutex
	counts map[string][]uint8
}

// NewStartCounter returns a StartCounter without any starts.
func NewStartCounter() *StartCounter {
	c := &StartCounter{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].counts = make(map[string][]uint8)
	}
	return c
}

func (c *StartCounter) shard(key string) *counterShard {
	return &c.shards[maphash.String(c.seed, key)%counterShards]
}

// start counts a start of a task. The index must be in [0, maxIndex].
func (c *StartCounter) start(key string, index int) {
	c.started.Add(1)
	if c.shard(key).add(key, index) == 2 {
		c.recordTwice(key, index)
	}
}

// add counts a start of a task and returns the number of its starts, at most 255.
func (s *counterShard) add(key string, index int) uint8 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts[key]
	if index >= len(counts) {
		counts = append(counts, make([]uint8, index+1-len(counts))...)
		s.counts[key] = counts
	}
	if counts[index] < math.MaxUint8 {
		counts[index]++
	}
	return counts[index]
}

// recordTwice records that a task has started for the second time.
func (c *StartCounter) recordTwice(key string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedTwice++
	if len(c.twice) < maxListedTwice {
		c.twice = append(c.twice, TaskStarts{Key: key, Index: index})
	}
}

func (c *StartCounter) finish() {
	c.finished.Add(1)
}

// Starts returns the number of starts of the task.
func (c *StartCounter) Starts(key string, index int) int {
	s := c.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts[key]
	if index < 0 || index >= len(counts) {
		return 0
	}
	return int(counts[index])
}

// Started returns the number of starts of all tasks.
func (c *StartCounter) Started() int {
	return int(c.started.Load())
}

// Finished returns the number of task runs that have ended.
func (c *StartCounter) Finished() int {
	return int(c.finished.Load())
}

// StartedTwice returns the number of tasks that started more than once, and the
// first of them, at most maxListedTwice, with their counts.
func (c *StartCounter) StartedTwice() (int, []TaskStarts) {
	c.mu.Lock()
	n := int(c.startedTwice)
	twice := append([]TaskStarts{}, c.twice...)
	c.mu.Unlock()
	for i, t := range twice {
		twice[i].Count = c.Starts(t.Key, t.Index)
	}
	return n, twice
}

// Keys returns the number of submission keys with at least one start.
func (c *StartCounter) Keys() int {
	n := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		n += len(s.counts)
		s.mu.Unlock()
	}
	return n
}

// ByKey returns, by submission key, the number of starts of each task at the task's
// index.
func (c *StartCounter) ByKey() map[string][]int {
	byKey := make(map[string][]int)
	for i := range c.shards {
		c.shards[i].collect(byKey)
	}
	return byKey
}

// collect adds the counts of the shard to byKey.
func (s *counterShard) collect(byKey map[string][]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, counts := range s.counts {
		starts := make([]int, len(counts))
		for i, n := range counts {
			starts[i] = int(n)
		}
		byKey[key] = starts
	}
}

// Reset clears all counts.
func (c *StartCounter) Reset() {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		s.counts = make(map[string][]uint8)
		s.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started.Store(0)
	c.finished.Store(0)
	c.startedTwice, c.twice = 0, nil
}
