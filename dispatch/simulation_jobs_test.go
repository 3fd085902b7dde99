package dispatch_test

import "fmt"

// submit submits a new job to an instance of a zone.
func (sim *simulation) submit(zone int) *simulatedJob {
	sim.nextJob++
	j := &simulatedJob{id: fmt.Sprintf("%016x", sim.nextJob), tasks: 1 + sim.random.IntN(5), zone: zone, arrived: sim.now}
	if sim.short {
		j.tasks = 8
	}
	if sim.stepped && sim.faulty() {
		j.shape = sim.randomShape()
	}
	if sim.successions && sim.faulty() {
		j.shape = sim.longShape()
	}
	sim.jobs[j.id] = j
	sim.try(j)
	return j
}

// submitShaped submits a new job of a shape to an instance of a zone.
func (sim *simulation) submitShaped(zone int, shape *jobShape) *simulatedJob {
	sim.nextJob++
	j := &simulatedJob{id: fmt.Sprintf("%016x", sim.nextJob), shape: shape, zone: zone, arrived: sim.now}
	sim.jobs[j.id] = j
	sim.try(j)
	return j
}

// submittedNowhere returns a new job that the test submits to an instance of its choice.
func (sim *simulation) submittedNowhere() *simulatedJob {
	sim.nextJob++
	j := &simulatedJob{id: fmt.Sprintf("%016x", sim.nextJob), tries: 1, arrived: sim.now}
	sim.jobs[j.id] = j
	return j
}

// try submits a job to a live instance of its zone. If each zone has a leader of its own,
// the zone of a job that is submitted again is another one.
func (sim *simulation) try(j *simulatedJob) {
	if sim.apart && j.tries > 0 {
		j.zone = sim.random.IntN(len(simulationZones))
	}
	j.tries++
	var live []*simulatedInstance
	for _, n := range sim.instances {
		if n.zone == j.zone && n.instance != nil {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		sim.resubmit(j)
		return
	}
	if sim.shards && sim.random.IntN(2) == 0 {
		live = live[:1] // more than its shard can run
	}
	live[sim.random.IntN(len(live))].submit(j)
}

// maxTries is the number of times that a caller submits a job.
const maxTries = 4

// resubmit submits a job again after a while, as a caller does that got no answer.
func (sim *simulation) resubmit(j *simulatedJob) {
	if j.tries < maxTries && j.end == 0 {
		sim.after(resubmitAfter, func() { sim.try(j) })
	}
}
