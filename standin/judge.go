package standin

import (
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
)

const (
	// judgeShards is the number of locks that a Judge spreads its keys over.
	judgeShards = 64
	// maxTwice is the number of tasks that a Judge lists as started twice.
	maxTwice = 20
	// maxIndex is the largest index of a task that a Judge counts.
	maxIndex = 1<<16 - 1
)

// A TaskStarts is the number of starts of one task.
type TaskStarts struct {
	// Key is the submission key.
	Key string `json:"key"`
	// Index is the task's index in its submission.
	Index int `json:"index"`
	// Count is the number of starts; it stops at 255.
	Count int `json:"count"`
}

// A Judge counts the starts of each task, to prove that none starts twice.
// It is safe for concurrent use.
type Judge struct {
	seed   maphash.Seed
	shards [judgeShards]judgeShard

	started  atomic.Int64
	finished atomic.Int64

	mu           sync.Mutex
	startedTwice int64
	twice        []TaskStarts
}

// judgeShard holds the counts of the keys with one hash. A key's counts are a
// byte a task, so that a million tasks take little more than a megabyte.
type judgeShard struct {
	mu     sync.Mutex
	counts map[string][]uint8
}

// NewJudge returns a Judge that has counted nothing.
func NewJudge() *Judge {
	j := &Judge{seed: maphash.MakeSeed()}
	for i := range j.shards {
		j.shards[i].counts = make(map[string][]uint8)
	}
	return j
}

func (j *Judge) shard(key string) *judgeShard {
	return &j.shards[maphash.String(j.seed, key)%judgeShards]
}

// start counts a start of the task, whose index is in [0, maxIndex].
func (j *Judge) start(key string, index int) {
	j.started.Add(1)
	if j.shard(key).add(key, index) == 2 {
		j.noteTwice(key, index)
	}
}

// add counts a start and returns the task's count.
func (s *judgeShard) add(key string, index int) uint8 {
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

// noteTwice notes a task at its second start.
func (j *Judge) noteTwice(key string, index int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startedTwice++
	if len(j.twice) < maxTwice {
		j.twice = append(j.twice, TaskStarts{Key: key, Index: index})
	}
}

func (j *Judge) finish() {
	j.finished.Add(1)
}

// Starts returns the number of starts of the task.
func (j *Judge) Starts(key string, index int) int {
	s := j.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts[key]
	if index < 0 || index >= len(counts) {
		return 0
	}
	return int(counts[index])
}

// Started returns the number of starts of all tasks.
func (j *Judge) Started() int {
	return int(j.started.Load())
}

// Finished returns the number of started tasks that have come to their end.
func (j *Judge) Finished() int {
	return int(j.finished.Load())
}

// StartedTwice returns the number of tasks that started more than once, and
// the first of them with their counts.
func (j *Judge) StartedTwice() (int, []TaskStarts) {
	j.mu.Lock()
	n := int(j.startedTwice)
	twice := append([]TaskStarts{}, j.twice...)
	j.mu.Unlock()
	for i, t := range twice {
		twice[i].Count = j.Starts(t.Key, t.Index)
	}
	return n, twice
}

// Keys returns the number of submission keys seen.
func (j *Judge) Keys() int {
	n := 0
	for i := range j.shards {
		s := &j.shards[i]
		s.mu.Lock()
		n += len(s.counts)
		s.mu.Unlock()
	}
	return n
}

// ByKey returns the number of starts of each of every key's tasks.
func (j *Judge) ByKey() map[string][]int {
	byKey := make(map[string][]int)
	for i := range j.shards {
		j.shards[i].collect(byKey)
	}
	return byKey
}

func (s *judgeShard) collect(byKey map[string][]int) {
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

// Reset forgets all that was counted.
func (j *Judge) Reset() {
	for i := range j.shards {
		s := &j.shards[i]
		s.mu.Lock()
		s.counts = make(map[string][]uint8)
		s.mu.Unlock()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.started.Store(0)
	j.finished.Store(0)
	j.startedTwice, j.twice = 0, nil
}
