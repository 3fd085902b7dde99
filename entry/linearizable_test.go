package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/amaranthwell/amaranthwell/caller"
)

// linearizabilityRuns is the number of randomized fault runs whose histories are
// checked.
const linearizabilityRuns = 60

// A keyEvent is an event of a key: an answer to a submission under it, or the start of
// one of its job's tasks.
type keyEvent struct {
	key caller.Key
	// status and reason are those of the answer. They are empty for a start.
	status caller.Status
	reason caller.Reason
}

// keyState is the state of a key in keyModel.
type keyState struct {
	// status is that of the first definite answer, or empty before it. Every
	// answer is definite unless its status is unknown.
	status caller.Status
	// gone is set once a caller was answered that the owner has ended.
	gone bool
}

// keyModel defines which answers and starts may follow each other under one key:
// definite answers are all the same, no task starts after the answer not-run or
// complete, and no definite answer follows the one that the owner has ended.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		at := make(map[caller.Key]int)
		var parts [][]porcupine.Operation
		for _, op := range history {
			key := op.Input.(keyEvent).key
			n, ok := at[key]
			if !ok {
				n = len(parts)
				at[key] = n
				parts = append(parts, nil)
			}
			parts[n] = append(parts[n], op)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		s, e := state.(keyState), output.(keyEvent)
		switch {
		case e.status == "":
			return s.status != caller.NotRun && s.status != caller.Complete, s
		case e.status == caller.Unknown:
			s.gone = s.gone || e.reason == caller.ReasonOwnerGone
			return true, s
		case s.gone:
			return false, s
		}
		allowed := s.status == "" || s.status == e.status
		s.status = e.status
		return allowed, s
	},
	DescribeOperation: func(_, output any) string { return fmt.Sprint(output) },
}

// history returns the events of all keys in a fault run: the given starts, and the
// answers to callers. The map answered holds the time of the answer to each caller.
func (s *faultRun) history(starts []porcupine.Operation, answered map[int]time.Time) []porcupine.Operation {
	history := starts
	for id, job := range s.submitted {
		for _, a := range s.answers[id] {
			e := keyEvent{key: job.Key, status: a.Status, reason: a.Reason}
			history = append(history, porcupine.Operation{
				ClientId: int(id), Input: e, Output: e,
				Call: s.submittedAt[id].UnixNano(), Return: answered[int(id)].UnixNano(),
			})
		}
	}
	return history
}

// watchKeys begins to record the first and the last start under each key and the times
// of the answers to callers. The function that it returns builds the history from what
// was recorded until then.
func (s *faultRun) watchKeys() func() []porcupine.Operation {
	answered := make(map[int]time.Time)
	first, last := make(map[caller.Key]time.Time), make(map[caller.Key]time.Time)
	s.observer = func(ev event) {
		switch ev.kind {
		case eventAnswered:
			answered[int(ev.answer.Caller)] = s.now
		case eventStarted:
			if _, ok := first[ev.start.Key]; !ok {
				first[ev.start.Key] = s.now
			}
			last[ev.start.Key] = s.now
		}
	}
	return func() []porcupine.Operation {
		var starts []porcupine.Operation
		for _, job := range s.jobs {
			for _, at := range []map[caller.Key]time.Time{first, last} {
				if t, ok := at[job.Key]; ok {
					e := keyEvent{key: job.Key}
					starts = append(starts, porcupine.Operation{Input: e, Output: e, Call: t.UnixNano(), Return: t.UnixNano()})
				}
			}
		}
		return s.history(starts, answered)
	}
}

// TestKeysAreLinearizable checks that the history of each key under random faults is
// linearizable: a definite answer never changes, and no task starts after it unless the
// job failed.
func TestKeysAreLinearizable(t *testing.T) {
	const lanes = 8
	for lane := range lanes {
		t.Run(fmt.Sprintf("lane-%d", lane), func(t *testing.T) {
			t.Parallel()
			for seed := lane; seed < linearizabilityRuns; seed += lanes {
				s := newFaultRun(uint64(seed))
				history := s.watchKeys()
				s.execute()
				if !porcupine.CheckOperations(keyModel, history()) {
					t.Fatalf("seed %d: the history of a key is not linearizable", seed)
				}
			}
		})
	}
}
