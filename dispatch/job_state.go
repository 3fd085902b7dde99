package dispatch

import (
	_ "embed" // For the embedded charts.

	"github.com/amaranthwell/amaranthwell/chart"
)

//go:embed job.chart.toml
var jobChartText []byte

//go:embed task.chart.toml
var taskChartText []byte

// jobChart is the chart of the states of a job at its leader, and taskChart that of the states
// of its tasks.
var (
	jobChart  = chart.MustParse(jobChartText)
	taskChart = chart.MustParse(taskChartText)
)

// The states and events of jobChart that the code uses. The runs of a suspended job are
// stopped, and no task of it is started.
var (
	jobActive    = jobChart.MustState("active")
	jobSuspended = jobChart.MustState("suspended")
	jobEnded     = jobChart.MustState("ended")

	eventSuspend = jobChart.MustEvent("suspend")
	eventForward = jobChart.MustEvent("forward")
	eventEnd     = jobChart.MustEvent("end")
)

// The states and events of taskChart that the code uses. A blocked task, in the initial state,
// waits for earlier steps, and a placed one for its run.
var (
	taskWaiting = taskChart.MustState("waiting")
	taskPlaced  = taskChart.MustState("placed")
	taskDone    = taskChart.MustState("done")

	eventUnblock = taskChart.MustEvent("unblock")
	eventPlace   = taskChart.MustEvent("place")
	eventLoseRun = taskChart.MustEvent("lose-run")
	eventSucceed = taskChart.MustEvent("succeed")
)

// JobChart returns the chart of the states of a job at its leader.
func JobChart() *chart.Chart { return jobChart }

// TaskChart returns the chart of the states of a task at the leader of its job.
func TaskChart() *chart.Chart { return taskChart }

// apply applies an event of jobChart to j, and reports whether j takes it in its state.
func (j *activeJob) apply(event chart.Event) bool {
	state, ok := jobChart.Next(j.state, event)
	j.state = state
	return ok
}

// apply applies an event of taskChart to t, and reports whether t takes it in its state. No
// task of a job that has ended takes an event.
func (t *task) apply(event chart.Event) bool {
	state, ok := taskChart.Next(t.state, event)
	if !ok || t.job.state == jobEnded {
		return false
	}
	t.job.count(t, t.state, state)
	t.state = state
	return true
}

// count updates what j knows of its tasks by state for t, which changes its state.
func (j *activeJob) count(t *task, from, to chart.State) {
	switch from {
	case taskWaiting:
		j.removeWaiting(t)
	case taskPlaced:
		j.placed--
	}
	switch to {
	case taskWaiting:
		j.waiting = append(j.waiting, t)
	case taskPlaced:
		j.placed++
		j.started = true
	case taskDone:
		j.remaining[t.id.Step]--
		j.totalRemaining--
		j.started = true
	}
}
