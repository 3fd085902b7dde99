package entry_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
)

// The entry instances of a test case by their roles: the job's owner, the relay
// through which the job is submitted, a holder of its tasks, another instance through
// which the job is resubmitted and other jobs are submitted, and the joiner, which is the
// next holder of some of the holder's servers. The owner is in availability zone a, the
// relay and the other instance in b, the holder and the joiner in c.
var (
	ownerRole  = instanceAddress(0)
	relayRole  = instanceAddress(1)
	holderRole = instanceAddress(5)
	otherRole  = instanceAddress(4)
	joinerRole = instanceAddress(2)
)

// Sizes and times of a test case. 12 servers with 8 slots each have 96 slots.
const (
	caseInstances = 6
	caseServers   = 12
	caseTasks     = 200
	// earlyTick is the time between ticks before the scenario is armed, and
	// lateTick that after busyTime. In between, when most events happen, it is
	// simulationTick.
	earlyTick = 200 * time.Millisecond
	lateTick  = 500 * time.Millisecond
	// busyTime is the time after the scenario's own actions within which most
	// of their effects happen.
	busyTime = 8 * time.Second
	// maxStepWait is the time within which each step is reached, if at all.
	// A shutdown takes longest: it waits until the keys can no longer be used.
	maxStepWait = 45 * time.Second
	// lastRepeat is the time from a fault to the last resubmission of the job.
	// It is longer than each pause and cut. finalTime is the time from the last
	// fault to the end of the test case. Within it the last resubmission must
	// be answered: relayGrace, which is 2 s, after longTimeout at the latest.
	// One second is added.
	lastRepeat = 24 * time.Second
	finalTime  = lastRepeat + longTimeout + 3*time.Second
	// shortTimeout and longTimeout are the timeouts of the jobs.
	shortTimeout = 5 * time.Second
	longTimeout  = 8 * time.Second
)

// A trigger injects a fault when a step is reached, and then sets fired.
type trigger struct {
	step  step
	fault fault
	fired bool
}

// A matrixCase is one run of a scenario with faults at its steps.
type matrixCase struct {
	*simulation
	scenario  scenario
	triggers  []*trigger
	submitted map[entry.CallerID]caller.Job
	job       caller.Job
	// firstCaller is the first caller of the job, earlyRepeats the callers
	// that resubmit it before the owner's first process has ended, and
	// laterCallers the callers of the other jobs, which are submitted later.
	firstCaller  entry.CallerID
	earlyRepeats []entry.CallerID
	laterCallers []entry.CallerID
	// cutZones holds the availability zones that are cut off from the others.
	cutZones map[string]bool
	// affected counts the envelopes and starts that faults have affected.
	affected int
	// ownerIncarnation is the incarnation of the owner's first process.
	ownerIncarnation int
	// pair is set if the test case has two faults.
	pair bool
	// armed is set once the scenario has reached the part in which faults are
	// injected, and armedAt is the time of that.
	armed   bool
	armedAt time.Time
	// lastInjected is when the last fault was injected, or the end of busyTime
	// if that is later.
	lastInjected time.Time
}

// newMatrixCase returns a test case that injects the faults of the triggers into
// scenario s when their steps are reached.
func newMatrixCase(seed uint64, s scenario, triggers ...*trigger) *matrixCase {
	c := &matrixCase{
		simulation: newSimulation(seed, caseInstances, caseServers),
		scenario:   s,
		triggers:   triggers,
		submitted:  make(map[entry.CallerID]caller.Job),
		cutZones:   make(map[string]bool),
	}
	c.ownerIncarnation = c.nodes[ownerRole].incarnation
	c.lose = func(from, to netip.AddrPort) bool {
		return c.cutZones[c.nodes[from].zone] != c.cutZones[c.nodes[to].zone]
	}
	c.observer = c.watch
	c.tickEvery = earlyTick
	return c
}

// arm begins the part of the scenario in which faults are injected and ticks are
// simulationTick apart.
func (c *matrixCase) arm() {
	c.armed, c.armedAt, c.tickEvery = true, c.now, simulationTick
}

// allFired reports whether all faults have been injected.
func (c *matrixCase) allFired() bool {
	return !slices.ContainsFunc(c.triggers, func(t *trigger) bool { return !t.fired })
}

// watch observes an event and injects the faults whose steps it is, each once.
func (c *matrixCase) watch(ev event) {
	for _, t := range c.triggers {
		if c.armed && !t.fired && t.step.reachedBy(c, ev) {
			t.fired = true
			c.lastInjected = c.now
			t.fault.apply(c)
			c.scheduleResubmissions()
		}
	}
}

// scheduleResubmissions is called when a fault has been injected. It resubmits the job
// at once, after half a second, after busyTime and after lastRepeat, and submits another
// job after a second.
func (c *matrixCase) scheduleResubmissions() {
	c.after(0, func() { c.resubmitEarly(otherRole) })
	c.after(500*time.Millisecond, func() { c.resubmitEarly(relayRole) })
	c.after(time.Second, func() { c.submitAnother(40) })
	c.after(busyTime, func() { c.resubmit(otherRole) })
	c.after(lastRepeat, func() { c.resubmit(relayRole) })
}

// resubmit submits the job again through the instance at addr and returns the new
// caller. It returns 0 if that instance is down or the job has no key yet.
func (c *matrixCase) resubmit(addr netip.AddrPort) entry.CallerID {
	if c.job.Key.IsZero() || !c.nodes[addr].up {
		return 0
	}
	id := c.submit(addr, c.job)
	c.submitted[id] = c.job
	return id
}

// resubmitEarly submits the job again through the instance at addr, unless the owner's
// first process has ended, and adds the caller to earlyRepeats.
func (c *matrixCase) resubmitEarly(addr netip.AddrPort) {
	if c.nodes[ownerRole].incarnation == c.ownerIncarnation {
		c.earlyRepeats = append(c.earlyRepeats, c.resubmit(addr))
	}
}

// submitAnother submits a new job with a key of the other instance, to check that the
// system still serves jobs.
func (c *matrixCase) submitAnother(tasks int) {
	n := c.nodes[otherRole]
	if !n.up || n.paused || n.instance.Leaving() {
		return
	}
	job := caller.Job{Key: c.key(otherRole), Route: "thumbnails", Timeout: longTimeout, Tasks: payloads(tasks)}
	id := c.submit(otherRole, job)
	c.submitted[id] = job
	c.laterCallers = append(c.laterCallers, id)
}

// submitJob submits the job of the test case through the relay.
func (c *matrixCase) submitJob(route string, timeout time.Duration, tasks int) {
	c.job = caller.Job{Key: c.key(ownerRole), Route: route, Timeout: timeout, Tasks: payloads(tasks)}
	c.notify(event{kind: eventKeyIssued, at: ownerRole})
	if !c.nodes[relayRole].up {
		return
	}
	c.notify(event{kind: eventSubmitted, at: relayRole})
	c.firstCaller = c.submit(relayRole, c.job)
	c.submitted[c.firstCaller] = c.job
}

// execute runs the test case and returns its violations.
func (c *matrixCase) execute() []string {
	c.scenario.run(c)
	c.run(busyTime)
	c.tickEvery = lateTick
	c.lastInjected = c.now
	for c.now.Sub(c.lastInjected) < finalTime || !c.allFired() && c.now.Sub(c.armedAt) < maxStepWait {
		c.run(time.Second)
	}
	found := c.violations(c.submitted)
	found = append(found, c.contradictions()...)
	if c.harmless() {
		found = append(found, c.shortfalls()...)
	}
	for _, t := range c.triggers {
		if c.pair {
			// One fault may prevent the step of the other.
			break
		}
		if !t.fired {
			found = append(found, fmt.Sprintf("step %q was not reached", t.step.name))
		} else if t.fault.mustAffect && c.affected == 0 {
			found = append(found, fmt.Sprintf("%q affected nothing", t.fault.name))
		}
	}
	return found
}

// contradictions returns the keys with two different definite answers.
func (c *matrixCase) contradictions() []string {
	answered := make(map[caller.Key]caller.Status)
	var found []string
	for id := entry.CallerID(1); id <= c.lastID; id++ {
		for _, a := range c.answers[id] {
			if a.Status == caller.Unknown {
				continue
			}
			if before, ok := answered[a.Key]; ok && before != a.Status {
				found = append(found, fmt.Sprintf("the callers of a key were answered %s and %s", before, a.Status))
			}
			answered[a.Key] = a.Status
		}
	}
	return found
}

// harmless reports whether all faults of the test case are harmless, so that the job
// must end as it does without them.
func (c *matrixCase) harmless() bool {
	for _, t := range c.triggers {
		if !t.fault.harmless {
			return false
		}
	}
	return true
}

// shortfalls describes the callers that got another status than those that are allowed
// if all faults are harmless.
func (c *matrixCase) shortfalls() []string {
	var found []string
	check := func(who string, id entry.CallerID, allowed ...caller.Status) {
		if id == 0 {
			return
		}
		for _, a := range c.answers[id] {
			for _, s := range allowed {
				if a.Status == s {
					return
				}
			}
			found = append(found, fmt.Sprintf("%s was answered %s (%s), not one of %v", who, a.Status, a.Reason, allowed))
		}
	}
	check("the first caller", c.firstCaller, c.scenario.ends...)
	for _, id := range c.earlyRepeats {
		check("an early repeat", id, c.scenario.ends...)
	}
	for _, id := range c.laterCallers {
		// A refusal because of load is correct.
		check("the caller of a later job", id, caller.Complete, caller.NotRun)
	}
	if c.nodes[ownerRole].incarnation != c.ownerIncarnation {
		return found
	}
	for id, job := range c.submitted {
		if job.Key == c.job.Key {
			check("a repeat", id, c.scenario.ends...)
		}
	}
	return found
}
