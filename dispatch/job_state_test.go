package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/chart"
)

// TestTasksOfAnEndedJobTakeNoEvent guards against an event of a run that reaches a job that has
// ended, whatever the way: nothing of the job changes, and it is not queued.
func TestTasksOfAnEndedJobTakeNoEvent(t *testing.T) {
	for _, before := range [][]chart.Event{nil, {eventPlace}, {eventPlace, eventLoseRun}} {
		is := is.New(t)
		j := newActiveJob(Job{ID: "1", Steps: []Step{{Tasks: 1}, {Tasks: 1, After: []int{0}}}})
		first, blocked := j.steps[0][0], j.steps[1][0]
		for _, event := range before {
			is.True(first.apply(event))
		}
		state, placed, left := first.state, j.placed, j.totalRemaining
		is.True(j.apply(eventEnd))
		is.True(!j.apply(eventForward))
		for _, event := range []chart.Event{eventUnblock, eventPlace, eventLoseRun, eventSucceed} {
			is.True(!first.apply(event))
			is.True(!blocked.apply(event))
		}
		var q queue
		q.add(j)
		is.Equal(len(q.jobs), 0)
		is.Equal(first.state, state)
		is.Equal(j.placed, placed)
		is.Equal(j.totalRemaining, left)
	}
}

// TestTaskCountsFollowItsState guards against counts of tasks that differ from their states.
func TestTaskCountsFollowItsState(t *testing.T) {
	is := is.New(t)
	j := newActiveJob(Job{ID: "1", Steps: []Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}}})
	first, second := j.steps[0][0], j.steps[0][1]
	is.Equal(len(j.waiting), 2)
	is.True(!j.started)
	is.True(first.apply(eventPlace))
	is.True(!first.apply(eventPlace)) // it has a run
	is.Equal(len(j.waiting), 1)
	is.Equal(j.placed, 1)
	is.True(first.apply(eventLoseRun))
	is.Equal(j.placed, 0)
	is.Equal(j.waiting, []*task{second, first})
	is.True(first.apply(eventSucceed))
	is.True(!first.apply(eventLoseRun))
	is.True(!first.apply(eventSucceed)) // a repeated report
	is.Equal(j.remaining, []int{1, 1})
	is.Equal(j.totalRemaining, 2)
	is.True(j.started) // it can't be refused as not run any more
}
