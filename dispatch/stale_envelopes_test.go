package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// longJob returns a new job of one task that runs for 3.5 s.
func (sim *simulation) longJob() *simulatedJob {
	const runTime = 3500 * time.Millisecond
	j := sim.submittedNowhere()
	j.shape = &jobShape{
		steps:    []dispatch.Step{{Tasks: 1, Needs: dispatch.Resources{Millicores: taskCPU, Memory: 10}, Estimate: runTime}},
		runTimes: []time.Duration{runTime}, stretch: 4, slack: time.Second, patience: maxLongPatience,
	}
	return j
}

// followerOf returns an instance of a zone that does not lead.
func (sim *simulation) followerOf(zone int) *simulatedInstance {
	for _, n := range sim.instances {
		if n.zone == zone && n != sim.leaderOf(zone) {
			return n
		}
	}
	panic("no such instance")
}

// TestForwardOfAFormerStreamFollowsItsWithdrawal guards against a job that runs although its
// receiver has withdrawn it: the link to the leader breaks with the envelope in which the job was
// forwarded, and the leader handles that envelope after the withdrawal that came over the next
// stream. It must not run the job beside its next submission.
func TestForwardOfAFormerStreamFollowsItsWithdrawal(t *testing.T) {
	is := is.New(t)
	var violations []string
	for seed := range uint64(30) {
		sim := newSimulationOf(seed, simulationConfig{apart: true, sound: true, staleEnvelopes: true})
		sim.run(warmUp)
		r := sim.followerOf(0)
		sim.disconnect(r.name(), sim.leaderOf(0).name(), 50*time.Millisecond, false)
		r.submit(sim.longJob())
		sim.run(100 * time.Millisecond)
		for caller, job := range r.callers {
			r.leave(caller, job)
		}
		sim.run(6 * time.Second)
		violations = append(violations, sim.violations...)
	}
	is.Equal(violations, nil)
}
