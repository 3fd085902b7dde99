package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// The load and the trouble of TestCapacityUnderLateCommandsAndLostAnswers.
const (
	shortJobGap       = 16 * time.Millisecond
	shortJobsTime     = 10 * time.Second
	lateCommandShare  = 0.05
	lostAnswerShare   = 0.2
	lossyWorkersShare = 0.4
)

// trouble makes commands late for all workers and loses answers of a share of them.
func (sim *simulation) trouble(late, lost float64) {
	sim.usualLate, sim.usualLost, sim.lostPolls = late, lost, true
	sim.lateCommands, sim.lostAnswers = late, lost
	sim.lossy = make(map[string]bool)
	for n, f := range sim.workers {
		if float64(n*7%10) < 10*lossyWorkersShare {
			sim.lossy[f.entry.ID] = true
		}
	}
}

// shortLoad submits short jobs at regular intervals for shortJobsTime and returns the worth
// of their answers as a share of the largest possible one.
func (sim *simulation) shortLoad(probe func()) float64 {
	first := sim.nextJob
	for at := time.Duration(0); at < shortJobsTime; at += shortJobGap {
		sim.after(at, func() { sim.submit(sim.random.IntN(len(simulationZones))) })
	}
	for at := time.Duration(0); at < shortJobsTime; at += 10 * time.Millisecond {
		sim.after(at, probe)
	}
	sim.run(shortJobsTime + 5*time.Second)
	objective := time.Duration(shortStretch*float64(shortRunTime)) + shortSlack
	worth := 0.0
	for _, j := range sim.jobs {
		took := j.ended.Sub(j.arrived)
		switch {
		case j.end != dispatch.Completed:
		case took <= objective:
			worth++
		case took <= 3*objective:
			worth += 0.2
		}
	}
	return worth / float64(sim.nextJob-first)
}

// TestCapacityUnderLateCommandsAndLostAnswers guards against a leader that takes workers out
// of use because commands are late and answers are lost, while the workers work.
func TestCapacityUnderLateCommandsAndLostAnswers(t *testing.T) {
	is := is.New(t)
	const seedsOfLoad = 6
	var worth, polls, starts, capacity float64
	var inDoubt [16]float64
	probes := 0
	for seed := range uint64(seedsOfLoad) {
		sim := newSimulationOf(seed, simulationConfig{short: true})
		sim.run(warmUp)
		sim.trouble(lateCommandShare, lostAnswerShare)
		before := sim.counts
		worth += sim.shortLoad(func() {
			probes++
			for _, n := range sim.instances {
				if n.instance == nil || !n.instance.Leading() {
					continue
				}
				for reason, millicores := range n.instance.InDoubt(sim.now) {
					inDoubt[reason] += float64(millicores)
				}
			}
		}) / seedsOfLoad
		capacity = float64(len(sim.workers) * slotsPerWorker * taskCPU)
		polls += float64(sim.counts.polls-before.polls) / seedsOfLoad
		starts += float64(sim.counts.starts-before.starts) / seedsOfLoad
		is.Equal(sim.violations, nil)
	}
	t.Logf("worth %.3f, %.0f starts, %.0f polls", worth, starts, polls)
	for _, reason := range dispatch.DoubtReasons() {
		t.Logf("in doubt, %v: %.1f %% of the capacity", reason, 100*inDoubt[reason]/float64(probes)/capacity)
	}
	is.True(worth > 0.9)
}
